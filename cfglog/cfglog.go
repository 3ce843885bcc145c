// Package cfglog keeps the numbered history of the configuration in the key-value service.
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
	prefix        = "config/log/"
	headKey       = "config/snapshot/head"
	partPrefix    = "config/snapshot/part/"
	snapshotEvery = 256                    // Changes from one snapshot to the next.
	partBytes     = 700 * 1024             // Entities in one part of a snapshot; JSON and base64 stay below 1 MB.
	keptTime      = time.Hour              // Age at which a change that a snapshot holds is removed.
	settleTime    = 8 * time.Second        // Bounds one proposal.
	retryPause    = 200 * time.Millisecond // Pause before a call is made again.
)

// Log writes changes one after the other; each takes the next free number.
type Log struct {
	store    bulrushlug.Store
	state    *state.State
	rule     *fresh.Tracker
	announce bulrushlug.Announcer
	recorder bulrushlug.Recorder
}

// New returns the ledger in store k.
func New(k bulrushlug.Store, s *state.State, r *fresh.Tracker, a bulrushlug.Announcer, e bulrushlug.Recorder) *Log {
	return &Log{store: k, state: s, rule: r, announce: a, recorder: e}
}

func key(n uint64) string { return fmt.Sprintf("%s%012d", prefix, n) }

// NewID returns an identifier for a change.
func NewID() string { return uuid.NewString() }

// Propose writes the change that p works out, and returns its revision once it is accepted.
//
// KindConflict and KindStale mean that nothing was written; KindUncertain means that it may have been.
func (l *Log) Propose(c context.Context, p bulrushlug.Proposal) (uint64, error) {
	c, stop := context.WithTimeout(c, settleTime)
	defer stop()
	if !l.rule.Fresh() {
		return 0, bulrushlug.Errorf(bulrushlug.KindStale, "this process sees neither the key-value service nor a majority of the zones")
	}
	n, err := l.write(c, p)
	if err != nil {
		return 0, err
	}
	if err := l.settle(c, n); err != nil {
		return n, err
	}
	l.snapshot(c, n)
	return n, nil
}

// write finds the next free number for the change of p.
func (l *Log) write(c context.Context, p bulrushlug.Proposal) (uint64, error) {
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
		y, err := l.place(c, x)
		if err != nil {
			return 0, err
		}
		l.state.Apply([]bulrushlug.Change{y})
		if y.ID() == id {
			l.recorder.Record(bulrushlug.NewEvent("configAccepted",
				bulrushlug.WithDetail(fmt.Sprintf("revision %d: %s by %s", y.Revision(), y.Entity(), y.Author()))))
			return y.Revision(), nil
		}
	}
}

// place writes x under its number and returns the change that stands there in the end.
func (l *Log) place(c context.Context, x bulrushlug.Change) (bulrushlug.Change, error) {
	b, err := codec.JSON(codec.EncodeChange(x))
	if err != nil {
		return x, bulrushlug.WrapError(bulrushlug.KindInternal, x.Entity(), err)
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
		if bulrushlug.Sleep(c, retryPause) != nil {
			return x, undecided(sent, x)
		}
	}
}

func undecided(sent bool, x bulrushlug.Change) error {
	if !sent {
		return bulrushlug.Errorf(bulrushlug.KindStoreDown, "change of %s: not written", x.Entity())
	}
	return bulrushlug.Errorf(bulrushlug.KindUncertain,
		"change of %s: the key-value service does not answer; send it again with --change-id %s", x.Entity(), x.ID())
}

// read returns the change under number n.
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

// settle waits until a majority of the zones holds revision n.
func (l *Log) settle(c context.Context, n uint64) error {
	for l.rule.Accepted() < n {
		l.announce.Announce()
		if bulrushlug.Sleep(c, retryPause) != nil {
			return bulrushlug.Errorf(bulrushlug.KindUncertain,
				"revision %d is written, but a majority of the zones has not confirmed it", n)
		}
	}
	return nil
}

// ApplyNext reads the change after the current revision and applies it; it reports false if there is none.
func (l *Log) ApplyNext(c context.Context) (bool, error) {
	n := l.state.Config().Revision()
	t := time.Now()
	x, err := l.read(c, n+1)
	switch {
	case bulrushlug.KindOf(err) == bulrushlug.KindNotFound:
		l.rule.Confirm(t, n)
		return false, nil
	case err != nil:
		return false, err
	}
	l.rule.ObserveRevision(x.Revision())
	return l.state.Apply([]bulrushlug.Change{x}), nil
}

// Load moves to the newest snapshot and applies the changes after it.
func (l *Log) Load(c context.Context) error {
	f, err := l.restore(c)
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
