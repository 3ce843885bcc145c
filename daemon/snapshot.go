package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/platform"
	"bulrushlug.dev/bulrushlug/rank"
)

// watchTimeout returns how long a watch on the key-value service waits; zero if this process leaves watching to others.
//
// The watching processes are the highest-ranked by rendezvous hashing among those that this one hears from and that reach
// the service. A process that hears from no other therefore watches for itself. All processes must use the same ranking
// key.
func (s *Daemon) watchTimeout() time.Duration {
	self := s.membership.Self().Name()
	var l, unreachable []string
	for _, p := range s.membership.All() {
		switch {
		case !p.Alive() || p.Member().Leaving():
		case p.StoreLost():
			unreachable = append(unreachable, p.Member().Name())
		default:
			l = append(l, p.Member().Name())
		}
	}
	if s.storeLost() {
		unreachable = append(unreachable, self)
	} else {
		l = append(l, self)
	}
	if len(l) == 0 {
		l = unreachable
	}
	if i := slices.Index(rank.Order("lookout", l), self); i >= 0 && i < watcherCount {
		return watcherTimeout
	}
	return 0
}

// snapshot returns the entries of each mirror that has seen a newer revision than the given one, and the revisions up to
// which they are complete; a revision is zero if that mirror has nothing newer.
func (s *Daemon) snapshot(operatorRevision, backendRevision uint64) (l []bulrushlug.KVEntry, manifest, backends uint64) {
	if s.operatorMirror.NewestRevision() > operatorRevision {
		l, manifest = s.operatorMirror.Snapshot()
	}
	if s.backendMirror.NewestRevision() > backendRevision {
		b, n := s.backendMirror.Snapshot()
		l, backends = append(l, b...), n
	}
	return l, manifest, backends
}

// fetchSnapshots fetches changes that this process has missed from its peers, until c ends.
func (s *Daemon) fetchSnapshots(c context.Context) error {
	for c.Err() == nil {
		select {
		case p := <-s.snapshotPeers:
			s.fetchSnapshot(c, p)
		case <-c.Done():
		}
	}
	return nil
}

// observeRevisions notes which revisions the sender of r has seen, and requests a snapshot from it if this process has
// missed any. A sender that can't reach the service may hold deleted entries, so it is asked only while one of this
// process's mirrors is empty.
func (s *Daemon) observeRevisions(r bulrushlug.Report) {
	operatorRevision, backendRevision := r.SeenRevisions()
	if !r.StoreLost() {
		s.operatorMirror.NotifyRevision(operatorRevision)
		s.backendMirror.NotifyRevision(backendRevision)
	}
	if operatorRevision <= s.operatorMirror.NewestRevision() && backendRevision <= s.backendMirror.NewestRevision() || s.watchTimeout() > 0 && !s.storeLost() {
		return
	}
	if r.StoreLost() && s.operatorMirror.NewestRevision() > 0 && s.backendMirror.NewestRevision() > 0 {
		return
	}
	select {
	case s.snapshotPeers <- r.Member():
	default:
	}
}

// fetchSnapshot fetches the changes that this process has missed from process p.
func (s *Daemon) fetchSnapshot(c context.Context, p bulrushlug.Member) {
	l, m, b, err := s.lotClient.Snapshot(c, p.Address(), s.operatorMirror.NewestRevision(), s.backendMirror.NewestRevision())
	if err != nil {
		_ = s.logger.Log("event", "notAsked", "peer", p.Name(), "err", err)
		return
	}
	var operators, backends []bulrushlug.KVEntry
	for _, i := range l {
		if strings.HasPrefix(i.Key(), platform.BackendPrefix) {
			backends = append(backends, i)
		} else {
			operators = append(operators, i)
		}
	}
	if m > 0 {
		s.operatorMirror.ApplySnapshot(operators, m)
	}
	if b > 0 {
		s.backendMirror.ApplySnapshot(backends, b)
	}
}
