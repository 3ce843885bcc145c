// Package locate routes calls about lots from the front ends to the processes that run the lots.
package locate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/peers"
)

const (
	shardCount        = 8
	submitTimeout     = 1500 * time.Millisecond // Bounds one attempt to submit a lot to a process.
	maxSubmitAttempts = 3                       // Processes that a lot is offered to in one round.
	roundDelay        = 200 * time.Millisecond  // Delay between rounds; bridges faults that are shorter than the caller's timeout.
	recordTimeout     = 300 * time.Millisecond  // Bounds the read of the placement record before a lot is refused.
	readMargin        = 800 * time.Millisecond  // Time that one process has on top of the caller's own wait.
	maxCallAttempts   = 3                       // Attempts of one call about a lot.
	retryDelay        = 150 * time.Millisecond  // Delay between attempts; a change of replicas takes about as long.
	// noDiskRetryAfter is the retry delay named to the caller if no process with a disk is known to be alive: another
	// entry may know one, and killed processes have restarted by then.
	noDiskRetryAfter   = time.Second
	noRoomRetryAfter   = time.Second            // Retry delay named if no process that was asked has room for the lot.
	maxCachedPrimaries = 20000                  // Lots per shard whose primary is cached; a full cache is cleared.
	retryAfter         = 400 * time.Millisecond // Retry delay named to the caller of other refused calls.
)

// remote calls the processes with disks.
type remote interface {
	Submit(c context.Context, a string, l bulrushlug.Lot) error
	Read(c context.Context, a string, q bulrushlug.LotQuery) (bulrushlug.LotPage, error)
	Body(c context.Context, a string, q bulrushlug.LotQuery) ([]byte, error)
	End(c context.Context, a string, q bulrushlug.LotQuery) error
}

// Router routes calls about lots to the processes that run them.
type Router struct {
	remote remote
	store  bulrushlug.TxnStore
	prefix string // Key prefix of the placement records.
	peers  *peers.Membership
	logger log.Logger
	shards [shardCount]shard
}

type shard struct {
	mu        sync.Mutex
	primaries map[string]string // Disk of the primary, by lot.
}

// New returns a router to the lots whose placement records are the entries of t under prefix; failed calls are
// logged to g.
func New(r remote, t bulrushlug.TxnStore, prefix string, p *peers.Membership, g log.Logger) *Router {
	l := &Router{remote: r, store: t, prefix: prefix, peers: p, logger: g}
	for i := range l.shards {
		l.shards[i].primaries = map[string]string{}
	}
	return l
}

func (l *Router) shard(i string) *shard { return &l.shards[xxhash.Sum64String(i)%shardCount] }

func (l *Router) cachePrimary(i, disk string) {
	s := l.shard(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.primaries) >= maxCachedPrimaries {
		clear(s.primaries)
	}
	s.primaries[i] = disk
}

// SetPrimary caches the process with the given disk as the primary of the lots in ids.
func (l *Router) SetPrimary(disk string, ids []string) {
	for _, i := range ids {
		l.cachePrimary(i, disk)
	}
}

func (l *Router) evictPrimary(i string) {
	s := l.shard(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.primaries, i)
}

func (l *Router) cachedPrimary(i string) string {
	s := l.shard(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primaries[i]
}

// logFailure logs a failed call with the cached primary and the number of known disks, and returns its error.
func (l *Router) logFailure(call, i string, err error) error {
	if err != nil {
		_ = l.logger.Log("event", "lotCallFailed", "call", call, "lot", i, "place", l.cachedPrimary(i), "disksHeard", len(l.peers.LiveDataPeers()),
			"kind", bulrushlug.KindOf(err), "err", err)
	}
	return err
}

// submission is what the process has learned about a lot that is being submitted.
type submission struct {
	accepted  bool // The lot is accepted, so only its primary may acknowledge it.
	uncertain bool // The lot may be accepted, or another process may be accepting it.
}

// Submit offers x to processes with disks until one accepts it or c ends; it fails at once if no such process is
// known to be alive and x is not accepted already. An accepted lot is only offered to its primary.
//
// An error that promises that no part of x runs means that x is known not to be accepted. KindConflict means that another
// organisation has a lot with the identifier of x.
func (l *Router) Submit(c context.Context, x bulrushlug.Lot) error {
	return l.logFailure("submit", x.ID(), l.submit(c, x))
}

func (l *Router) submit(c context.Context, x bulrushlug.Lot) error {
	var s submission
	for {
		err := l.submitRound(c, x, &s)
		if err == nil || bulrushlug.KindOf(err) == bulrushlug.KindConflict {
			return err
		}
		if !s.uncertain && len(l.peers.LiveDataPeers()) == 0 {
			err = l.refusal(c, x.ID(), err, noDiskRetryAfter)
			if l.cachedPrimary(x.ID()) == "" {
				return err
			}
		}
		if !s.uncertain && bulrushlug.KindOf(err) == bulrushlug.KindOverloaded { // There will be no room for some time.
			return l.refusal(c, x.ID(), err, noRoomRetryAfter)
		}
		if e := bulrushlug.Sleep(c, roundDelay); e == nil {
			continue
		}
		if s.uncertain {
			return bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+x.ID(), err)
		}
		return l.refusal(c, x.ID(), err, retryAfter)
	}
}

// refusal returns the error of a submission of lot i that failed with err and left nothing behind. An earlier
// submission may have been accepted: unless the record says that none was, the error is of KindUncertain.
func (l *Router) refusal(c context.Context, i string, err error, d time.Duration) error {
	c, stop := context.WithTimeout(context.WithoutCancel(c), recordTimeout)
	defer stop()
	if _, e := l.primaryDisk(c, i); e == nil || bulrushlug.KindOf(e) != bulrushlug.KindNotFound {
		return bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+i, err)
	}
	return bulrushlug.WrapError(bulrushlug.KindOf(err), "lot "+i, err).WithRetryAfter(d)
}

// submitRound offers x once to its primary if it is accepted, and to the preferred processes with disks otherwise.
func (l *Router) submitRound(c context.Context, x bulrushlug.Lot, s *submission) error {
	if s.accepted || l.cachedPrimary(x.ID()) != "" {
		return l.submitToPrimary(c, x, s)
	}
	var err error = bulrushlug.Errorf(bulrushlug.KindUnplaceable, "no process with a disk available")
	for n, p := range l.candidates() {
		if n == maxSubmitAttempts || c.Err() != nil {
			break
		}
		if err = l.submitTo(c, p.Member().Address(), x); err == nil {
			l.cachePrimary(x.ID(), p.DiskID())
			return nil
		}
		if bulrushlug.KindOf(err) == bulrushlug.KindConflict {
			return err
		}
		s.uncertain = s.uncertain || bulrushlug.KindOf(err).Response().MayHaveRun()
		if bulrushlug.KindOf(err) != bulrushlug.KindMisdirected {
			continue
		}
		s.uncertain = true
		if e := l.submitToPrimary(c, x, s); e == nil || s.accepted {
			return e
		}
	}
	return err
}

// submitToPrimary offers x to the process that runs it by the cache or the record, if x is accepted.
func (l *Router) submitToPrimary(c context.Context, x bulrushlug.Lot, s *submission) error {
	s.uncertain = true
	d, err := l.primaryDisk(c, x.ID())
	if err != nil {
		s.accepted = s.accepted && bulrushlug.KindOf(err) != bulrushlug.KindNotFound
		return err
	}
	s.accepted = true
	a, err := l.diskAddress(x.ID(), d)
	if err == nil {
		err = l.submitTo(c, a, x)
	}
	if err != nil {
		l.evictPrimary(x.ID())
	}
	return err
}

func (l *Router) submitTo(c context.Context, a string, x bulrushlug.Lot) error {
	c, stop := context.WithTimeout(c, submitTimeout)
	defer stop()
	return l.remote.Submit(c, a, x)
}

// candidates returns the processes with disks in random order, those that reach the key-value service first, and
// of them those of this zone.
func (l *Router) candidates() []peers.Peer {
	all := l.peers.LiveDataPeers()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b peers.Peer) int { return cmp.Compare(l.preference(a), l.preference(b)) })
	return all
}

// Explain returns the processes that a new lot would be offered to now, in order. Those of the same zone are in random
// order, which differs each time.
func (l *Router) Explain() []peers.Peer { return l.candidates() }

// preference ranks processes; the lowest is tried first.
func (l *Router) preference(p peers.Peer) int {
	switch {
	case p.StoreLost():
		return 2
	case p.Member().Zone() != l.peers.Self().Zone():
		return 1
	}
	return 0
}

// callPrimary calls f with the address of the process that runs the lot of q, and retries if another process may
// answer.
func (l *Router) callPrimary(c context.Context, q bulrushlug.LotQuery, f func(c context.Context, address string) error) error {
	var err error
	for n := range maxCallAttempts {
		if n > 0 {
			if e := bulrushlug.Sleep(c, retryDelay); e != nil {
				break
			}
		}
		var a string
		if a, err = l.primaryAddress(c, q.ID()); err != nil {
			if bulrushlug.KindOf(err) == bulrushlug.KindNotFound {
				return err
			}
			continue
		}
		if err = l.callWithTimeout(c, q, a, f); err == nil || !retryable(err) {
			return err
		}
		l.evictPrimary(q.ID())
	}
	return bulrushlug.WrapError(bulrushlug.KindStale, "lot "+q.ID(), err).WithRetryAfter(retryAfter)
}

func (l *Router) callWithTimeout(c context.Context, q bulrushlug.LotQuery, a string, f func(c context.Context, address string) error) error {
	c, stop := context.WithTimeout(c, q.Wait()+readMargin)
	defer stop()
	return f(c, a)
}

// retryable reports whether another process may answer after err.
func retryable(err error) bool {
	switch bulrushlug.KindOf(err) {
	case bulrushlug.KindNotFound, bulrushlug.KindCancelled:
		return false
	}
	return true
}

// primaryAddress returns the address of the process that runs lot i, by the cache or the placement record.
func (l *Router) primaryAddress(c context.Context, i string) (string, error) {
	d, err := l.primaryDisk(c, i)
	if err != nil {
		return "", err
	}
	return l.diskAddress(i, d)
}

// primaryDisk returns the disk of the primary of lot i, by the cache or the placement record; KindNotFound means that
// there is no record.
func (l *Router) primaryDisk(c context.Context, i string) (string, error) {
	if d := l.cachedPrimary(i); d != "" {
		return d, nil
	}
	x, err := l.store.Get(c, l.prefix+i)
	if err != nil {
		return "", err
	}
	if x.Revision() == 0 {
		return "", bulrushlug.Errorf(bulrushlug.KindNotFound, "lot %s does not exist", i)
	}
	r, err := codec.DecodeLotRecord(x.Value())
	if err != nil {
		return "", err
	}
	l.cachePrimary(i, r.Replicas()[0])
	return r.Replicas()[0], nil
}

// diskAddress returns the address of the process that serves disk d, on which lot i has its primary.
func (l *Router) diskAddress(i, d string) (string, error) {
	p, ok := l.peers.ByDisk(d)
	if !ok {
		l.evictPrimary(i)
		return "", bulrushlug.Errorf(bulrushlug.KindStale, "lot %s: no known process serves disk %s", i, d)
	}
	return p.Member().Address(), nil
}

// Read returns results of a lot.
func (l *Router) Read(c context.Context, q bulrushlug.LotQuery) (p bulrushlug.LotPage, err error) {
	err = l.callPrimary(c, q, func(c context.Context, a string) error {
		p, err = l.remote.Read(c, a, q)
		return err
	})
	return p, l.logFailure("read", q.ID(), err)
}

// Body returns the body of an item.
func (l *Router) Body(c context.Context, q bulrushlug.LotQuery) (b []byte, err error) {
	err = l.callPrimary(c, q, func(c context.Context, a string) error {
		b, err = l.remote.Body(c, a, q)
		return err
	})
	return b, l.logFailure("body", q.ID(), err)
}

// End ends a lot.
func (l *Router) End(c context.Context, q bulrushlug.LotQuery) error {
	return l.logFailure("end", q.ID(), l.callPrimary(c, q, func(c context.Context, a string) error { return l.remote.End(c, a, q) }))
}
