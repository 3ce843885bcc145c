package slots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

// remoteReport is the load that another process reported, by identifier of the server.
type remoteReport struct {
	at    time.Time
	loads map[string]remoteLoad
}

// remoteLoad is the load of other processes at one server.
type remoteLoad struct {
	online, batch int
	moment        time.Duration // Sum over the online requests of the time from the start of the table to their report.
	answers       bulrushlug.Answers
}

func (l remoteLoad) plus(m remoteLoad) remoteLoad {
	return remoteLoad{l.online + m.online, l.batch + m.batch, l.moment + m.moment, l.answers.Plus(m.answers)}
}

func (l remoteLoad) minus(m remoteLoad) remoteLoad {
	return remoteLoad{l.online - m.online, l.batch - m.batch, l.moment - m.moment, l.answers.Minus(m.answers)}
}

// age returns the mean age of the reports of the online requests, at d after the start of the table.
func (l remoteLoad) age(d time.Duration) time.Duration {
	if l.online == 0 {
		return 0
	}
	return d - l.moment/time.Duration(l.online)
}

// UpdateRemote replaces the load reported by the process on VM vm.
func (t *Table) UpdateRemote(vm string, l []bulrushlug.Usage) {
	now := time.Now()
	since := now.Sub(t.start)
	m := [shardCount]map[string]remoteLoad{}
	online := 0
	for _, u := range l {
		online += int(u.Online())
		i := xxhash.Sum64String(u.Backend()) % shardCount
		if m[i] == nil {
			m[i] = map[string]remoteLoad{}
		}
		m[i][u.Backend()] = remoteLoad{int(u.Online()), int(u.Batch()), time.Duration(u.Online()) * since, u.Answers()}
	}
	for i := range t.shards {
		t.shards[i].updateRemote(vm, remoteReport{now, m[i]})
	}
	if t.chooser.NeedsNews() {
		t.shard(vm).recordDemand(vm, online, now)
	}
}

func (s *shard) updateRemote(vm string, r remoteReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeRemote(vm)
	if len(r.loads) == 0 {
		return
	}
	if e := r.at.Add(remoteTimeout); len(s.remote) == 0 || e.Before(s.expiry) {
		s.expiry = e
	}
	s.remote[vm] = r
	for id, l := range r.loads {
		s.totals[id] = s.totals[id].plus(l)
	}
}

// removeRemote removes the report of VM vm from remote and totals; the caller holds the lock.
func (s *shard) removeRemote(vm string) {
	for id, l := range s.remote[vm].loads {
		x := s.totals[id].minus(l)
		if x == (remoteLoad{}) {
			delete(s.totals, id)
			continue
		}
		s.totals[id] = x
	}
	delete(s.remote, vm)
}

// expire removes the reports of which no newer one came within remoteTimeout; the caller holds the lock.
func (s *shard) expire(now time.Time) {
	if now.Before(s.expiry) {
		return
	}
	s.expiry = now.Add(remoteTimeout)
	for vm, r := range s.remote {
		if e := r.at.Add(remoteTimeout); !now.Before(e) {
			s.removeRemote(vm)
		} else if e.Before(s.expiry) {
			s.expiry = e
		}
	}
}

// totalLoad returns the online requests and batch items of all processes at e.
func (s *shard) totalLoad(e *entry, now time.Time) (online, batch int) {
	s.expire(now)
	r := s.totals[e.backend.ID()]
	return e.online + r.online, e.batch + r.batch
}

// age returns the mean age of what this process knows of the requests of others at server id.
func (s *shard) age(id string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals[id].age(now.Sub(s.start))
}

// batchVMs returns the VMs of the processes that run batch items at server id.
func (s *shard) batchVMs(id string, now time.Time) (l []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for vm, r := range s.remote {
		if r.loads[id].batch > 0 {
			l = append(l, vm)
		}
	}
	return l
}

// Usages returns the load of this process at each server where it has any.
func (t *Table) Usages() []bulrushlug.Usage {
	var l []bulrushlug.Usage
	for i := range t.shards {
		l = append(l, t.shards[i].usages(t.chooser.NeedsNews())...)
	}
	return l
}

// usages returns the load of this process at the servers of the shard, and their answers to it if news is set.
func (s *shard) usages(news bool) (l []bulrushlug.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, e := range s.entries {
		var a bulrushlug.Answers
		if news {
			a = e.answers.at(now)
		}
		if e.online+e.batch > 0 || a != (bulrushlug.Answers{}) {
			l = append(l, bulrushlug.NewUsage(id, uint32(e.online), uint32(e.batch)).WithAnswers(a))
		}
	}
	return l
}
