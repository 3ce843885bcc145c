// Package cfglog stores the log of configuration changes in the key-value service, with snapshots.
package cfglog

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/fresh"
	"bulrushlug.dev/bulrushlug/state"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	prefix           = "config/log/"
	headKey          = "config/snapshot/head"
	partPrefix       = "config/snapshot/part/"
	snapshotInterval = 256                    // Changes between two snapshots.
	maxPartBytes     = 700 * 1024             // Estimated JSON bytes of one part of a snapshot; encoded as base64 it stays below 1 MB.
	logRetention     = time.Hour              // Age at which a change that a snapshot includes is deleted.
	proposeTimeout   = 8 * time.Second        // Timeout of one proposal.
	retryDelay       = 200 * time.Millisecond // Delay before a call is retried.
)

// Log appends changes one by one at the next free revision, and reads them.
type Log struct {
	store     bulrushlug.Store
	state     *state.State
	tracker   *fresh.Tracker
	announcer bulrushlug.Announcer
	recorder  bulrushlug.Recorder
}

// New returns the log in store k, whose changes are applied to s.
func New(k bulrushlug.Store, s *state.State, r *fresh.Tracker, a bulrushlug.Announcer, e bulrushlug.Recorder) *Log {
	return &Log{store: k, state: s, tracker: r, announcer: a, recorder: e}
}

func key(n uint64) string { return fmt.Sprintf("%s%012d", prefix, n) }

// NewID returns a random identifier for a change.
func NewID() string { return uuid.NewString() }

// Propose appends the change that p returns, and returns its revision once a majority of the zones holds it.
//
// KindConflict and KindStale mean that nothing was written, KindUncertain that the change may have been written.
func (l *Log) Propose(c context.Context, p bulrushlug.Proposal) (uint64, error) {
	c, stop := context.WithTimeout(c, proposeTimeout)
	defer stop()
	if !l.tracker.Fresh() {
		return 0, bulrushlug.Errorf(bulrushlug.KindStale, "this process has contact with neither the key-value service nor a majority of the zones")
	}
	n, err := l.append(c, p)
	if err != nil {
		return 0, err
	}
	if err := l.awaitMajority(c, n); err != nil {
		return n, err
	}
	l.snapshot(c, n)
	return n, nil
}

// append writes the change of p at the next free revision; while other changes take that revision it applies them and
// calls p again.
func (l *Log) append(c context.Context, p bulrushlug.Proposal) (uint64, error) {
	var id string
	for {
		f := l.state.Config()
		x, err := p(f)
		if err != nil {
			return 0, err
		}
		if id == "" {
			id = x.ID()
		}
		x = x.WithRevision(f.Revision() + 1)
		y, err := l.writeRevision(c, x)
		if err != nil {
			return 0, err
		}
		l.state.Apply([]bulrushlug.Change{y})
		if y.ID() == id {
			l.recorder.Record(bulrushlug.NewEvent("configAccepted",
				bulrushlug.WithDetail(fmt.Sprintf("revision %d: %s by %s", y.Revision(), y.EntityKey(), y.Author()))))
			return y.Revision(), nil
		}
	}
}

// writeRevision writes x at its revision by compare-and-swap, and returns the change that is there afterwards.
func (l *Log) writeRevision(c context.Context, x bulrushlug.Change) (bulrushlug.Change, error) {
	b, err := codec.JSON(codec.EncodeChange(x))
	if err != nil {
		return x, bulrushlug.WrapError(bulrushlug.KindInternal, x.EntityKey(), err)
	}
	sent := false
	for {
		_, err := l.store.CompareAndSwap(c, key(x.Revision()), b, 0)
		if err == nil {
			return x, nil
		}
		k := bulrushlug.KindOf(err)
		if k == bulrushlug.KindTooLarge {
			return x, err
		}
		if k == bulrushlug.KindConflict {
			y, err := l.read(c, x.Revision())
			if err == nil {
				return y, nil
			}
		}
		sent = sent || k != bulrushlug.KindConflict
		if bulrushlug.Sleep(c, retryDelay) != nil {
			return x, writeError(sent, x)
		}
	}
}

// writeError returns the error of a change whose write was not confirmed in time; sent says that it may have taken
// effect.
func writeError(sent bool, x bulrushlug.Change) error {
	if !sent {
		return bulrushlug.Errorf(bulrushlug.KindStoreDown, "change of %s was not written", x.EntityKey())
	}
	return bulrushlug.Errorf(bulrushlug.KindUncertain,
		"change of %s may have been written, as the key-value service does not answer; retry with --change-id %s", x.EntityKey(), x.ID())
}

// read returns the change at revision n, or KindNotFound.
func (l *Log) read(c context.Context, n uint64) (bulrushlug.Change, error) {
	i, err := l.store.Get(c, key(n))
	if err != nil {
		return bulrushlug.Change{}, err
	}
	if i.Revision() == 0 {
		return bulrushlug.Change{}, bulrushlug.Errorf(bulrushlug.KindNotFound, "%s", key(n))
	}
	return decode(i)
}

func decode(i bulrushlug.KVEntry) (bulrushlug.Change, error) {
	w, err := codec.ParseJSON[wire.Change](i.Value())
	if err != nil {
		return bulrushlug.Change{}, bulrushlug.WrapError(bulrushlug.KindInternal, i.Key(), err)
	}
	return codec.DecodeChange(w)
}

// awaitMajority announces revision n until a majority of the zones holds it.
func (l *Log) awaitMajority(c context.Context, n uint64) error {
	for l.tracker.Accepted() < n {
		l.announcer.Announce()
		if bulrushlug.Sleep(c, retryDelay) != nil {
			return bulrushlug.Errorf(bulrushlug.KindUncertain,
				"revision %d is written, but a majority of the zones has not confirmed it", n)
		}
	}
	return nil
}

// ApplyNext reads the change after the current revision and applies it; it returns false if there is none, which
// confirms that the current revision is the newest.
func (l *Log) ApplyNext(c context.Context) (bool, error) {
	n := l.state.Config().Revision()
	t := time.Now()
	x, err := l.read(c, n+1)
	switch {
	case bulrushlug.KindOf(err) == bulrushlug.KindNotFound:
		l.tracker.Confirm(t, n)
		return false, nil
	case err != nil:
		return false, err
	}
	l.tracker.ObserveRevision(x.Revision())
	return l.state.Apply([]bulrushlug.Change{x}), nil
}

// Load restores the newest snapshot and applies the changes after it.
func (l *Log) Load(c context.Context) error {
	f, err := l.readSnapshot(c)
	if err != nil {
		return err
	}
	l.state.Restore(f)
	for {
		more, err := l.ApplyNext(c)
		if err != nil || !more {
			return err
		}
	}
}
