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

// watchTime returns the length of a watch of the key-value service; zero for a process that relies on the lookouts.
//
// The lookouts are the first by rank of the processes that this one hears and that reach the service, so that a
// process which hears no other is its own.
func (s *Daemon) watchTime() time.Duration {
	self := s.peers.Self().Name()
	var l, lost []string
	for _, p := range s.peers.All() {
		switch {
		case !p.Alive() || p.Member().Leaving():
		case p.StoreLost():
			lost = append(lost, p.Member().Name())
		default:
			l = append(l, p.Member().Name())
		}
	}
	if s.storeLost() {
		lost = append(lost, self)
	} else {
		l = append(l, self)
	}
	if len(l) == 0 {
		l = lost
	}
	if i := slices.Index(rank.Order("lookout", l), self); i >= 0 && i < lookouts {
		return lookoutWatch
	}
	return 0
}

// snapshot returns what the process has read of the key-value service beyond the changes operated and servers.
func (s *Daemon) snapshot(operated, servers uint64) (l []bulrushlug.KVEntry, manifest, backends uint64) {
	if s.operated.NewestRevision() > operated {
		l, manifest = s.operated.Items(), s.operated.Revision()
	}
	if s.servers.NewestRevision() > servers {
		l, backends = append(l, s.servers.Items()...), s.servers.Revision()
	}
	return l, manifest, backends
}

// ask reads from other processes what this one has not seen.
func (s *Daemon) ask(c context.Context) error {
	for c.Err() == nil {
		select {
		case p := <-s.news:
			s.askOne(c, p)
		case <-c.Done():
		}
	}
	return nil
}

// hear notes which changes the process of r saw, and asks it for those that this one has not seen. A process that the
// service does not answer keeps entries that may be gone; only one that knows nothing at all asks it.
func (s *Daemon) hear(r bulrushlug.Report) {
	operated, servers := r.Seen()
	if !r.StoreLost() {
		s.operated.NotifyRevision(operated)
		s.servers.NotifyRevision(servers)
	}
	if operated <= s.operated.NewestRevision() && servers <= s.servers.NewestRevision() || s.watchTime() > 0 && !s.storeLost() {
		return
	}
	if r.StoreLost() && s.operated.NewestRevision() > 0 && s.servers.NewestRevision() > 0 {
		return
	}
	select {
	case s.news <- r.Member():
	default:
	}
}

func (s *Daemon) askOne(c context.Context, p bulrushlug.Member) {
	l, m, b, err := s.client.Snapshot(c, p.Address(), s.operated.NewestRevision(), s.servers.NewestRevision())
	if err != nil {
		_ = s.logger.Log("event", "notAsked", "peer", p.Name(), "err", err)
		return
	}
	var operated, servers []bulrushlug.KVEntry
	for _, i := range l {
		if strings.HasPrefix(i.Key(), platform.BackendPrefix) {
			servers = append(servers, i)
		} else {
			operated = append(operated, i)
		}
	}
	if m > 0 {
		s.operated.ApplySnapshot(operated, m)
	}
	if b > 0 {
		s.servers.ApplySnapshot(servers, b)
	}
}
