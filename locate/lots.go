// Package locate finds the process that runs a lot, for the front ends.
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
	shardCount    = 8
	submitTimeout = 1500 * time.Millisecond // Longest wait for one process that accepts a lot.
	submitTries   = 3                       // Processes to which one lot is offered in one round.
	roundPause    = 200 * time.Millisecond  // Time between two rounds; trouble that is shorter than the caller's patience passes.
	readExtra     = 800 * time.Millisecond  // Time beyond the caller's own wait for one process.
	readTries     = 3                       // Processes that are asked for one lot.
	pause         = 150 * time.Millisecond  // Time between tries; a change of replicas takes about as long.
	// diskWait is the time after which a lot is worth another try where no process with a disk is heard: another entry
	// may hear some at once, and processes that were killed are back by then.
	diskWait  = time.Second
	maxPlaces = 20000                  // Lots of one shard whose place is remembered; all are forgotten beyond it.
	retryWait = 400 * time.Millisecond // Time after which a refused call is worth another try.
)

// remote reaches the processes with disks.
type remote interface {
	Submit(c context.Context, a string, l bulrushlug.Lot) error
	Read(c context.Context, a string, q bulrushlug.LotQuery) (bulrushlug.LotPage, error)
	Body(c context.Context, a string, q bulrushlug.LotQuery) ([]byte, error)
	End(c context.Context, a string, q bulrushlug.LotQuery) error
}

// Router hands calls about lots to the processes that run them.
type Router struct {
	remote remote
	table  bulrushlug.TxnStore
	prefix string // Prefix of the records of lots.
	peers  *peers.Membership
	logger log.Logger
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	places map[string]string // Disk of the primary, by lot.
}

// New returns a front to the lots whose records are the entries of t under prefix; calls that fail go to the log g.
func New(r remote, t bulrushlug.TxnStore, prefix string, p *peers.Membership, g log.Logger) *Router {
	l := &Router{remote: r, table: t, prefix: prefix, peers: p, logger: g}
	for i := range l.shards {
		l.shards[i].places = map[string]string{}
	}
	return l
}

func (l *Router) shard(i string) *shard { return &l.shards[xxhash.Sum64String(i)%shardCount] }

func (l *Router) remember(i, disk string) {
	s := l.shard(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.places) >= maxPlaces {
		clear(s.places)
	}
	s.places[i] = disk
}

// SetPrimary notes that the process with the given disk became the primary of the lots in ids.
func (l *Router) SetPrimary(disk string, ids []string) {
	for _, i := range ids {
		l.remember(i, disk)
	}
}

func (l *Router) forget(i string) {
	s := l.shard(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.places, i)
}

func (l *Router) place(i string) string {
	s := l.shard(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.places[i]
}

// noted logs a call that failed, with what was known of the processes with disks, and returns its error.
func (l *Router) noted(call, i string, err error) error {
	if err != nil {
		_ = l.logger.Log("event", "lotCallFailed", "call", call, "lot", i, "place", l.place(i), "disksHeard", len(l.peers.LiveDataPeers()),
			"kind", bulrushlug.KindOf(err), "err", err)
	}
	return err
}

// Submit offers x to processes with disks until one accepts it or the caller's time is over; it fails at once where
// none is heard.
func (l *Router) Submit(c context.Context, x bulrushlug.Lot) error {
	return l.noted("submit", x.ID(), l.submit(c, x))
}

func (l *Router) submit(c context.Context, x bulrushlug.Lot) error {
	doubt := false
	for {
		err := l.round(c, x, &doubt)
		if err == nil {
			return nil
		}
		if !doubt && len(l.peers.LiveDataPeers()) == 0 {
			return bulrushlug.WrapError(bulrushlug.KindOf(err), "lot "+x.ID(), err).WithWait(diskWait)
		}
		if e := bulrushlug.Sleep(c, roundPause); e == nil {
			continue
		}
		if doubt {
			return bulrushlug.WrapError(bulrushlug.KindUncertain, "lot "+x.ID(), err)
		}
		return bulrushlug.WrapError(bulrushlug.KindOf(err), "lot "+x.ID(), err).WithWait(retryWait)
	}
}

// round offers x to each process with a disk once; doubt becomes true if one may have accepted it.
func (l *Router) round(c context.Context, x bulrushlug.Lot, doubt *bool) error {
	var err error = bulrushlug.Errorf(bulrushlug.KindUnplaceable, "no process with a disk is there")
	for n, p := range l.order() {
		if n == submitTries || c.Err() != nil {
			break
		}
		if err = l.submitTo(c, p.Member().Address(), x); err == nil {
			l.remember(x.ID(), p.Disk())
			return nil
		}
		*doubt = *doubt || bulrushlug.KindOf(err).Answer().Ran()
		if bulrushlug.KindOf(err) != bulrushlug.KindMisdirected {
			continue
		}
		l.forget(x.ID())
		if a, e := l.find(c, x.ID()); e == nil {
			*doubt = true
			if err = l.submitTo(c, a, x); err == nil {
				return nil
			}
		}
	}
	return err
}

func (l *Router) submitTo(c context.Context, a string, x bulrushlug.Lot) error {
	c, stop := context.WithTimeout(c, submitTimeout)
	defer stop()
	return l.remote.Submit(c, a, x)
}

// order returns the processes with disks by turns: those that reach the key-value service first, and of them those
// of the own zone.
func (l *Router) order() []peers.Peer {
	all := l.peers.LiveDataPeers()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b peers.Peer) int { return cmp.Compare(l.distance(a), l.distance(b)) })
	return all
}

// distance ranks processes; the lowest is asked first.
func (l *Router) distance(p peers.Peer) int {
	switch {
	case p.StoreLost():
		return 2
	case p.Member().Zone() != l.peers.Self().Zone():
		return 1
	}
	return 0
}

// at calls f with the process that runs lot i.
func (l *Router) at(c context.Context, q bulrushlug.LotQuery, f func(c context.Context, address string) error) error {
	var err error
	for n := range readTries {
		if n > 0 {
			if e := bulrushlug.Sleep(c, pause); e != nil {
				break
			}
		}
		var a string
		if a, err = l.find(c, q.ID()); err != nil {
			if bulrushlug.KindOf(err) == bulrushlug.KindNotFound {
				return err
			}
			continue
		}
		if err = l.try(c, q, a, f); err == nil || !elsewhere(err) {
			return err
		}
		l.forget(q.ID())
	}
	return bulrushlug.WrapError(bulrushlug.KindStale, "lot "+q.ID(), err).WithWait(retryWait)
}

func (l *Router) try(c context.Context, q bulrushlug.LotQuery, a string, f func(c context.Context, address string) error) error {
	c, stop := context.WithTimeout(c, q.Wait()+readExtra)
	defer stop()
	return f(c, a)
}

// elsewhere reports whether another process may answer after err.
func elsewhere(err error) bool {
	switch bulrushlug.KindOf(err) {
	case bulrushlug.KindNotFound, bulrushlug.KindCancelled:
		return false
	}
	return true
}

// find returns the address of the process that runs lot i.
func (l *Router) find(c context.Context, i string) (string, error) {
	d := l.place(i)
	if d == "" {
		x, err := l.table.Get(c, l.prefix+i)
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
		d = r.Replicas()[0]
		l.remember(i, d)
	}
	p, ok := l.peers.ByDisk(d)
	if !ok {
		l.forget(i)
		return "", bulrushlug.Errorf(bulrushlug.KindStale, "lot %s is on disk %s, which no known process has", i, d)
	}
	return p.Member().Address(), nil
}

// Read returns results of a lot.
func (l *Router) Read(c context.Context, q bulrushlug.LotQuery) (p bulrushlug.LotPage, err error) {
	err = l.at(c, q, func(c context.Context, a string) error {
		p, err = l.remote.Read(c, a, q)
		return err
	})
	return p, l.noted("read", q.ID(), err)
}

// Body returns the body of an item.
func (l *Router) Body(c context.Context, q bulrushlug.LotQuery) (b []byte, err error) {
	err = l.at(c, q, func(c context.Context, a string) error {
		b, err = l.remote.Body(c, a, q)
		return err
	})
	return b, l.noted("body", q.ID(), err)
}

// End ends a lot.
func (l *Router) End(c context.Context, q bulrushlug.LotQuery) error {
	return l.noted("end", q.ID(), l.at(c, q, func(c context.Context, a string) error { return l.remote.End(c, a, q) }))
}
