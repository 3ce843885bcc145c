package slots

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/turns"
)

const (
	yardTick  = 10 * time.Millisecond
	yardSlots = 8
	itemDue   = 18 * time.Second
	lastLot   = 34 * time.Second // No request and no lot comes after that.
)

// yard is a wave of online requests beside lots at servers that admit by arrival. A third of the servers leaves after 5 s,
// and many lots come after 9 s.
type yard struct {
	wave
	data        int // Processes that run items.
	leaving     int
	lots, burst float64 // Items a second, and those on top from 9 s to 12 s.
	random      *rand.Rand
	tables      []*Table // Those of the entries first.
	jobs        map[string][]*job
	waiting     [][]*job // By data process.
	running     [][]*job
	yardResult
}

type yardResult struct {
	online, late  int // Requests, and those that began too late.
	items, inTime int // Items that completed.
	cut, vain     int // Runs that were cut, and those among them that had not begun.
}

func (r *yardResult) add(o yardResult) {
	r.online, r.late, r.items, r.inTime = r.online+o.online, r.late+o.late, r.items+o.items, r.inTime+o.inTime
	r.cut, r.vain = r.cut+o.cut, r.vain+o.vain
}

// job is an online request, or an item or a run of it.
type job struct {
	*Reservation
	done, left time.Duration // Work.
	sent, due  time.Time     // When an online request was sent, or an item is due; zero for the other one.
	begun      bool
	cutAt      time.Time // When the server notices that the run was cut.
}

// play plays a copy of x; rule says that processes take slots in turn.
func (x yard) play(seed uint64, rule bool) yardResult {
	x.random, x.jobs, x.waiting, x.running = rand.New(rand.NewPCG(seed, 2)), map[string][]*job{}, make([][]*job, x.data), make([][]*job, x.data)
	for i := range x.entries {
		x.tables = append(x.tables, New(fmt.Sprint("e", i), alone))
	}
	var vms []string
	for i := range x.data {
		vms = append(vms, fmt.Sprint("d", i))
	}
	for _, v := range vms {
		var o []option
		if rule {
			o = append(o, WithStartRule(turns.New(v)))
		}
		x.tables = append(x.tables, New(v, func() []string { return vms }, o...))
	}
	var l []bulrushlug.Backend
	for i := range x.servers {
		l = append(l, backend(fmt.Sprint("s", i), yardSlots))
	}
	for _, t := range x.tables {
		t.Update(l)
	}
	begin, requests, items := time.Now(), 0.0, 0.0
	for n := 0; n < 5400; n++ {
		time.Sleep(yardTick)
		t := time.Since(begin)
		x.work()
		for i, b := range x.tables {
			if (n+7*i)%28 == 0 {
				x.report(i, b)
			}
		}
		if n == 500 {
			for i := range x.leaving {
				l[i] = backend(fmt.Sprint("s", i), yardSlots, bulrushlug.BackendDraining(true))
			}
			for _, b := range x.tables {
				b.Update(l)
			}
		}
		if t < lastLot {
			rate, lots := x.low, x.lots
			if t%(6*time.Second) > 3600*time.Millisecond {
				rate = x.high
			}
			if t > 9*time.Second && t < 12*time.Second {
				lots += x.burst
			}
			for requests += x.random.ExpFloat64() * rate * yardTick.Seconds(); requests >= 1; requests-- {
				x.request()
			}
			for items += lots * yardTick.Seconds(); items >= 1; items-- {
				i := x.random.IntN(x.data)
				x.waiting[i] = append(x.waiting[i], &job{left: time.Duration((4.1 + x.random.NormFloat64()) * float64(time.Second)), due: time.Now().Add(itemDue)})
			}
		}
		for i := range x.data {
			if (n+i)%5 == 0 {
				x.start(i)
			}
		}
	}
	return x.yardResult
}

// work has the servers run the first jobs that arrived, more slowly the more there are.
func (x *yard) work() {
	now := time.Now()
	for id, q := range x.jobs {
		n := min(len(q), yardSlots)
		for _, j := range q[:n] {
			if !j.begun && j.due.IsZero() {
				x.online++
				if now.Sub(j.sent) > 250*time.Millisecond {
					x.late++
				}
			}
			if !j.begun {
				j.left += 50 * time.Millisecond // Its prompt is read.
			}
			if j.begun = true; j.cutAt.IsZero() {
				d := time.Duration(float64(yardTick) / (1 + 0.03*float64(n)))
				j.left, j.done = j.left-d, j.done+d
			}
		}
		x.jobs[id] = slices.DeleteFunc(q, func(j *job) bool {
			if !j.cutAt.IsZero() || j.left > 0 {
				return !j.cutAt.IsZero() && !now.Before(j.cutAt)
			}
			j.Release()
			if !j.due.IsZero() {
				x.items++
				if now.Before(j.due) {
					x.inTime++
				}
			}
			return true
		})
	}
}

// report sends the report of table i to the other tables.
func (x *yard) report(i int, b *Table) {
	report(b, x.tables)
	for k, c := range x.tables[x.entries:] {
		if i >= x.entries && c != b && c.starts != nil {
			c.starts.Observe(b.self, len(x.waiting[i-x.entries]) > 0)
		}
		x.preempt(k)
	}
}

// request sends an online request, of which the processes with items at its server hear at once.
func (x *yard) request() {
	b := x.tables[x.random.IntN(x.entries)]
	s, vms := b.AcquireOnline("s", nil)
	if s == nil {
		x.online, x.late = x.online+1, x.late+1
		return
	}
	id := s.Backend().ID()
	x.jobs[id] = append(x.jobs[id], &job{Reservation: s, left: 600 * time.Millisecond, sent: time.Now()})
	for i, c := range x.tables[x.entries:] {
		if slices.Contains(vms, c.self) {
			c.UpdateRemote(b.self, b.Usages())
			x.preempt(i)
		}
	}
}

// preempt cuts runs of data process i, those that are due last first.
func (x *yard) preempt(i int) {
	x.running[i] = slices.DeleteFunc(x.running[i], func(j *job) bool { return j.left <= 0 })
	slices.SortStableFunc(x.running[i], func(a, b *job) int { return a.due.Compare(b.due) })
	for id, n := range x.tables[x.entries+i].Preemptions() {
		for _, j := range slices.Backward(slices.Clone(x.running[i])) {
			if n == 0 || j.Backend().ID() != id {
				continue
			}
			n--
			x.cut++
			if !j.begun {
				x.vain++
			}
			j.Release()
			j.cutAt = time.Now().Add(40 * time.Millisecond)
			x.running[i] = slices.DeleteFunc(x.running[i], func(k *job) bool { return k == j })
			x.waiting[i] = append(x.waiting[i], &job{left: j.left, done: j.done, due: j.due})
		}
	}
}

// start starts waiting items of data process i: those that can't be in time last, and those that have begun first.
func (x *yard) start(i int) {
	late := func(j *job) int {
		left := 1.24*max(0, 4.1-j.done.Seconds()) + 0.5
		return cmp.Compare(left, time.Until(j.due).Seconds())
	}
	slices.SortStableFunc(x.waiting[i], func(a, b *job) int {
		return cmp.Or(late(a)-late(b), cmp.Compare(min(b.done, 1), min(a.done, 1)), a.due.Compare(b.due))
	})
	for len(x.waiting[i]) > 0 {
		j := x.waiting[i][0]
		if j.Reservation = x.tables[x.entries+i].AcquireBatch("s"); j.Reservation == nil {
			return
		}
		id := j.Backend().ID()
		x.waiting[i], x.running[i] = x.waiting[i][1:], append(x.running[i], j)
		x.jobs[id] = append(x.jobs[id], j)
	}
}

// TestStartsInTurn replays a wave beside more lots than the servers can run in time. Taking idle slots in turn cuts fewer
// runs, hardly any of them in vain, and completes nearly as many items in time.
func TestStartsInTurn(t *testing.T) {
	for name, w := range map[string]struct {
		yard
		plays uint64 // Few servers need many plays.
	}{
		"few":  {yard{wave: wave{entries: 4, servers: 10, low: 18, high: 86}, data: 3, leaving: 3, lots: 6, burst: 29}, 6},
		"tens": {yard{wave: wave{entries: 12, servers: 28, low: 49, high: 240}, data: 10, leaving: 8, lots: 16, burst: 80}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var after, before yardResult
				for i := range w.plays {
					after.add(w.play(i, true))
					before.add(w.play(i, false))
				}
				t.Logf("%+v, without a rule %+v", after, before)
				if 10*after.cut > 9*before.cut || 3*after.vain > before.vain {
					t.Errorf("%d runs were cut, %d of them in vain", after.cut, after.vain)
				}
				if 100*after.inTime < 95*before.inTime || 100*after.late > 108*before.late {
					t.Errorf("%d items in time, %d requests late", after.inTime, after.late)
				}
			})
		})
	}
}
