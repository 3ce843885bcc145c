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

const (
	snapshotFanout = 4                      // Number of processes that ask the same one for changes.
	snapshotWait   = 250 * time.Millisecond // Longest wait of a process that is asked for a change which it has not seen yet.
)

// lookouts returns the processes that this one hears from and that reach the service, itself included, in the order in
// which they pass on changes: the first ones, whose number it returns, watch the service, each other one asks the one above it in
// a tree. Without any, those that don't reach the service. All processes must use the same ranking key.
func (s *Daemon) lookouts() (l []string, watchers int) {
	self := s.membership.Self().Name()
	var unreachable []string
	for _, p := range s.membership.All() {
		switch {
		case !p.Alive() || p.Member().Leaving():
		case p.StoreLost():
			unreachable = append(unreachable, p.Member().Name())
		default:
			l = append(l, p.Member().Name())
		}
	}
	if s.storeSilent() {
		unreachable = append(unreachable, self)
	} else {
		l = append(l, self)
	}
	switch {
	case len(l) == 0:
		return rank.Order("lookout", unreachable), watcherCount
	case len(unreachable) > 0:
		return rank.Order("lookout", l), outageWatchers
	}
	return rank.Order("lookout", l), watcherCount
}

// watchTimeout returns how long a watch on the key-value service waits; zero if this process leaves watching to others.
// A process that hears from no other watches for itself.
func (s *Daemon) watchTimeout() time.Duration {
	l, n := s.lookouts()
	if i := slices.Index(l, s.membership.Self().Name()); i >= 0 && i < n {
		return watcherTimeout
	}
	return 0
}

// snapshotParent returns the process that this one asks for changes first; ok is false if it is to ask no one.
func (s *Daemon) snapshotParent() (m bulrushlug.Member, ok bool) {
	l, n := s.lookouts()
	i := rank.Parent(slices.Index(l, s.membership.Self().Name()), n, snapshotFanout)
	if i < 0 {
		return m, false
	}
	p, ok := s.membership.ByVM(l[i])
	return p.Member(), ok
}

// snapshot returns the entries of each mirror that has seen a newer revision than the given one, and the revisions up to
// which they are complete; a revision is zero if that mirror has nothing newer. It waits for snapshotWait until one has.
func (s *Daemon) snapshot(c context.Context, operatorRevision, backendRevision uint64) (l []bulrushlug.KVEntry, manifest, backends uint64) {
	x, stop := context.WithTimeout(c, snapshotWait)
	defer stop()
	for x.Err() == nil {
		o, b := s.operatorMirror.Newer(operatorRevision), s.backendMirror.Newer(backendRevision)
		if o == nil || b == nil {
			break
		}
		select {
		case <-o:
		case <-b:
		case <-x.Done():
		}
	}
	if s.operatorMirror.NewestRevision() > operatorRevision {
		l, manifest = s.operatorMirror.Snapshot()
	}
	if s.backendMirror.NewestRevision() > backendRevision {
		b, n := s.backendMirror.Snapshot()
		l, backends = append(l, b...), n
	}
	return l, manifest, backends
}

// fetchSnapshots fetches changes that this process has missed from its peers, until c ends: from the one above it in the
// tree, so that no process serves many at once, or from the one that reported the change. While a mirror is empty, only
// the latter is known to have something.
func (s *Daemon) fetchSnapshots(c context.Context) error {
	for c.Err() == nil {
		select {
		case p := <-s.snapshotPeers:
			if x, ok := s.snapshotParent(); ok && s.operatorMirror.NewestRevision() > 0 && s.backendMirror.NewestRevision() > 0 {
				if s.fetchSnapshot(c, x) || x.Name() == p.Name() {
					continue
				}
			}
			s.fetchSnapshot(c, p)
		case <-c.Done():
		}
	}
	return nil
}

// observeRevisions notes which revisions the sender of r has seen, and requests a snapshot from it if this process has
// missed any. A sender that can't reach the service may hold servers that are gone, so it is asked only while one of this
// process's mirrors is empty, or for what operators wrote if this process can't reach the service either.
func (s *Daemon) observeRevisions(r bulrushlug.Report) {
	operatorRevision, backendRevision := r.SeenRevisions()
	if !r.StoreLost() {
		s.operatorMirror.NotifyRevision(operatorRevision)
		s.backendMirror.NotifyRevision(backendRevision)
	}
	if operatorRevision <= s.operatorMirror.NewestRevision() && backendRevision <= s.backendMirror.NewestRevision() || s.watchTimeout() > 0 && !s.storeSilent() {
		return
	}
	missed := s.storeSilent() && operatorRevision > s.operatorMirror.NewestRevision()
	if r.StoreLost() && !missed && s.operatorMirror.NewestRevision() > 0 && s.backendMirror.NewestRevision() > 0 {
		return
	}
	select {
	case s.snapshotPeers <- r.Member():
	default:
	}
}

// fetchSnapshot fetches the changes that this process has missed from process p, and reports whether there were any.
func (s *Daemon) fetchSnapshot(c context.Context, p bulrushlug.Member) bool {
	l, m, b, err := s.lotClient.Snapshot(c, p.Address(), s.operatorMirror.NewestRevision(), s.backendMirror.NewestRevision())
	if err != nil {
		_ = s.logger.Log("event", "notAsked", "peer", p.Name(), "err", err)
		return false
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
	if q, ok := s.membership.ByVM(p.Name()); ok && q.StoreLost() && s.backendMirror.NewestRevision() > 0 {
		return m > 0
	}
	if b > 0 {
		s.backendMirror.ApplySnapshot(backends, b)
	}
	return m > 0 || b > 0
}
