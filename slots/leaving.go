package slots

import (
	"slices"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	// leavingTimeout is the time after which a server that told this process that it is leaving, but still is there, may
	// be used as a last resort. Servers that leave exit within seconds.
	leavingTimeout = time.Minute
	// forgetTimeout is the time after which a leaving server that is not on the list is forgotten: entries that were lost
	// in an outage of the key-value service come back.
	forgetTimeout = time.Minute
	maxReported   = 64 // Leaving servers in one report.
)

// departure is what this process knows of a leaving server. It concerns one run of the server: the next one at its
// address or with its identifier is another instance.
type departure struct {
	backend  bulrushlug.Backend
	told     time.Time // First response of the server to this process that said so; zero if only others did.
	unlisted time.Time // When the server was gone from the list; zero while it is on it.
}

// binding reports whether the server must not be used even as a last resort.
//
// What others report is no ground for that: a wrong report could take all servers of a service out. Neither is a response
// of a server that was not the one asked for.
func (d *departure) binding(now time.Time) bool {
	return !d.told.IsZero() && now.Sub(d.told) < leavingTimeout
}

// expired reports whether d is no longer needed given the server l with the same identifier, which is on the list if
// listed.
func (d *departure) expired(l bulrushlug.Backend, listed bool, now time.Time) bool {
	if listed {
		return !l.SameInstance(d.backend)
	}
	// Without its start, nothing tells the server from its next run.
	return d.backend.StartTime() == 0 || !d.unlisted.IsZero() && now.Sub(d.unlisted) > forgetTimeout
}

// RecordDeparture records that a response to this process said that its server is leaving, so that the server gets no
// new requests. It returns the servers of which this process did not know that from a response.
func (t *Table) RecordDeparture(d bulrushlug.Departure) (l []bulrushlug.Backend) {
	if d.Misdirected() {
		for i := range t.shards {
			l = append(l, t.shards[i].recordMisdirected(d.Backend())...)
		}
		return l
	}
	if t.shard(d.Backend().ID()).recordTold(d.Backend()) {
		l = append(l, d.Backend())
	}
	return l
}

// recordTold records that b told this process that it is leaving, and reports whether that is new.
func (s *shard) recordTold(b bulrushlug.Backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	e, listed := s.entries[b.ID()]
	if listed && !e.backend.SameInstance(b) {
		return false
	}
	d, ok := s.leaving[b.ID()]
	if !ok || !d.backend.SameInstance(b) {
		d = &departure{backend: b}
		if !listed {
			d.unlisted = now
		}
		s.leaving[b.ID()] = d
	}
	if !d.told.IsZero() {
		return false
	}
	d.told = now
	return true
}

// recordMisdirected records the departure of the servers on the list that have the address of b but are not b, and
// returns those of which it was not known.
func (s *shard) recordMisdirected(b bulrushlug.Backend) (l []bulrushlug.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e.backend.Address() == b.Address() && !e.backend.SameInstance(b) && s.recordReported(e.backend) {
			l = append(l, e.backend)
		}
	}
	return l
}

// RecordReported records that another process reported the servers in l as leaving, and returns those of which this
// process did not know that.
func (t *Table) RecordReported(l []bulrushlug.Backend) (added []bulrushlug.Backend) {
	for _, b := range l {
		s := t.shard(b.ID())
		s.mu.Lock()
		if s.recordReported(b) {
			added = append(added, b)
		}
		s.mu.Unlock()
	}
	return added
}

// recordReported records that b is leaving if it is on the list, and reports whether that is new; the caller holds the
// lock.
func (s *shard) recordReported(b bulrushlug.Backend) bool {
	e, listed := s.entries[b.ID()]
	if !listed || !e.backend.SameInstance(b) || s.leaving[b.ID()] != nil {
		return false
	}
	s.leaving[b.ID()] = &departure{backend: e.backend}
	return true
}

// forgetDepartures removes departures that are no longer needed, given the servers m on the list; the caller holds the
// lock.
func (s *shard) forgetDepartures(m map[string]bulrushlug.Backend) {
	now := time.Now()
	for id, d := range s.leaving {
		b, listed := m[id]
		switch {
		case d.expired(b, listed, now):
			delete(s.leaving, id)
		case listed:
			d.unlisted = time.Time{}
		case d.unlisted.IsZero():
			d.unlisted = now
		}
	}
}

// Leaving returns the servers on the list that told this process that they are leaving, the last ones first, and at most
// maxReported of them.
func (t *Table) Leaving() []bulrushlug.Backend {
	var l []departure
	for i := range t.shards {
		l = append(l, t.shards[i].told()...)
	}
	slices.SortFunc(l, func(a, b departure) int { return b.told.Compare(a.told) })
	var m []bulrushlug.Backend
	for _, d := range l[:min(len(l), maxReported)] {
		m = append(m, d.backend)
	}
	return m
}

// told returns the departures of servers on the list that told this process so.
func (s *shard) told() (l []departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.leaving {
		if !d.told.IsZero() && d.unlisted.IsZero() {
			l = append(l, *d)
		}
	}
	return l
}

// LastResorts returns the number of reservations at leaving servers, made because their service had no other server.
func (t *Table) LastResorts() uint64 { return t.lastResorts.Load() }

// staying reports whether service v has a server that is not leaving.
func (t *Table) staying(v string) bool {
	for i := range t.shards {
		if t.shards[i].count(v, false, func(d *departure) bool { return d == nil }) > 0 {
			return true
		}
	}
	return false
}
