package mirror

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
)

func put(t *testing.T, m *memtxn.Store, k, v string, lease uint64) {
	t.Helper()
	if _, err := m.Commit(context.Background(), nil, []bulrushlug.Write{bulrushlug.PutWrite(k, []byte(v), lease)}); err != nil {
		t.Fatal(err)
	}
}

func remove(t *testing.T, m *memtxn.Store, k string) {
	t.Helper()
	if _, err := m.Commit(context.Background(), nil, []bulrushlug.Write{bulrushlug.RemoveWrite(k)}); err != nil {
		t.Fatal(err)
	}
}

// text returns the entries as a list of key=value.
func text(l []bulrushlug.KVEntry) string {
	var s []string
	for _, i := range l {
		s = append(s, i.Key()+"="+string(i.Value()))
	}
	return strings.Join(s, " ")
}

func TestMirror(t *testing.T) {
	for name, x := range map[string]struct {
		options []option
		action  func(t *testing.T, m *memtxn.Store, r *Mirror)
		want    string
	}{
		"initial entries": {action: func(*testing.T, *memtxn.Store, *Mirror) {}, want: "p/a=1 p/b=1"},
		"a change":        {action: func(t *testing.T, m *memtxn.Store, _ *Mirror) { put(t, m, "p/a", "2", 0) }, want: "p/a=2 p/b=1"},
		"a removal":       {action: func(t *testing.T, m *memtxn.Store, _ *Mirror) { remove(t, m, "p/a") }, want: "p/b=1"},
		"another prefix":  {action: func(t *testing.T, m *memtxn.Store, _ *Mirror) { put(t, m, "q/a", "2", 0) }, want: "p/a=1 p/b=1"},
		"entries survive an outage": {action: func(_ *testing.T, m *memtxn.Store, r *Mirror) {
			m.SetOutage(true)
			time.Sleep(20 * time.Second)
			if r.OutageDuration() < 15*time.Second {
				panic(fmt.Sprint("OutageDuration is ", r.OutageDuration()))
			}
		}, want: "p/a=1 p/b=1"},
		"a change in an outage is applied after it": {action: func(t *testing.T, m *memtxn.Store, _ *Mirror) {
			m.SetOutage(true)
			time.Sleep(5 * time.Second)
			m.SetOutage(false)
			put(t, m, "p/a", "2", 0)
			m.SetOutage(true)
			time.Sleep(5 * time.Second)
			m.SetOutage(false)
			time.Sleep(1500 * time.Millisecond)
		}, want: "p/a=2 p/b=1"},
		"a compacted history": {action: func(t *testing.T, m *memtxn.Store, _ *Mirror) {
			m.SetOutage(true)
			time.Sleep(2 * time.Second)
			m.SetOutage(false)
			put(t, m, "p/a", "2", 0)
			remove(t, m, "p/b")
			m.Compact()
			time.Sleep(1500 * time.Millisecond)
		}, want: "p/a=2"},
		"entries that expire in an outage and come back": {options: []option{WithGracePeriod()}, action: func(t *testing.T, m *memtxn.Store, _ *Mirror) {
			m.SetOutage(true)
			time.Sleep(4 * time.Second)
			m.SetOutage(false)
			remove(t, m, "p/a")
			time.Sleep(1900 * time.Millisecond)
			put(t, m, "p/a", "1", 0)
			time.Sleep(5 * time.Second)
		}, want: "p/a=1 p/b=1"},
		"entries that expire in an outage are retained for the grace period": {options: []option{WithGracePeriod()}, action: func(t *testing.T, m *memtxn.Store, _ *Mirror) {
			m.SetOutage(true)
			time.Sleep(4 * time.Second)
			m.SetOutage(false)
			remove(t, m, "p/a")
			time.Sleep(1500 * time.Millisecond)
		}, want: "p/a=1 p/b=1"},
		"entries that expire in an outage and do not come back": {options: []option{WithGracePeriod()}, action: func(t *testing.T, m *memtxn.Store, _ *Mirror) {
			m.SetOutage(true)
			time.Sleep(4 * time.Second)
			m.SetOutage(false)
			remove(t, m, "p/a")
			time.Sleep(5 * time.Second)
		}, want: "p/b=1"},
		"a removal late in the grace period": {options: []option{WithGracePeriod()}, action: func(t *testing.T, m *memtxn.Store, _ *Mirror) {
			m.SetOutage(true)
			time.Sleep(4 * time.Second)
			m.SetOutage(false)
			time.Sleep(2 * time.Second)
			remove(t, m, "p/a")
			time.Sleep(1500 * time.Millisecond)
		}, want: "p/b=1"},
		"a removal after an outage in which other processes reported": {options: []option{WithGracePeriod()}, action: func(t *testing.T, m *memtxn.Store, r *Mirror) {
			m.SetOutage(true)
			time.Sleep(4 * time.Second)
			m.SetOutage(false)
			remove(t, m, "p/a")
			for range 16 {
				r.NotifyRevision(1)
				time.Sleep(100 * time.Millisecond)
			}
		}, want: "p/b=1"},
		"a removal without an outage acts at once": {options: []option{WithGracePeriod()}, action: func(t *testing.T, m *memtxn.Store, _ *Mirror) {
			time.Sleep(5 * time.Second)
			remove(t, m, "p/a")
			time.Sleep(10 * time.Millisecond)
		}, want: "p/b=1"},
		"snapshot of another process in an outage": {action: func(_ *testing.T, m *memtxn.Store, r *Mirror) {
			m.SetOutage(true)
			time.Sleep(2 * time.Second)
			r.ApplySnapshot([]bulrushlug.KVEntry{bulrushlug.NewKVEntry("p/a", []byte("9"), 90)}, 99)
		}, want: "p/a=9"},
		"snapshot of another process replaces retained entries": {options: []option{WithGracePeriod()}, action: func(_ *testing.T, m *memtxn.Store, r *Mirror) {
			m.SetOutage(true)
			time.Sleep(2 * time.Second)
			r.ApplySnapshot([]bulrushlug.KVEntry{bulrushlug.NewKVEntry("p/a", []byte("9"), 90)}, 99)
		}, want: "p/a=9"},
		"old snapshot of another process": {action: func(_ *testing.T, m *memtxn.Store, r *Mirror) {
			m.SetOutage(true)
			time.Sleep(2 * time.Second)
			r.ApplySnapshot([]bulrushlug.KVEntry{bulrushlug.NewKVEntry("p/a", []byte("0"), 1)}, 1)
		}, want: "p/a=1 p/b=1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memtxn.New()
				put(t, m, "p/a", "1", 0)
				put(t, m, "p/b", "1", 0)
				c, stop := context.WithCancel(t.Context())
				got := ""
				r := New(m, "p/", log.NewNopLogger(), func(l []bulrushlug.KVEntry) { got = text(l) }, x.options...)
				go func() { _ = r.Run(c) }()
				time.Sleep(time.Second)
				x.action(t, m, r)
				time.Sleep(time.Millisecond)
				synctest.Wait()
				if got != x.want || text(r.Entries()) != x.want {
					t.Errorf("published %q, holds %q", got, text(r.Entries()))
				}
				stop()
				m.SetOutage(true)
				synctest.Wait()
			})
		})
	}
}

// TestSnapshotOfRetainedEntries has another process, which does not reach the service, take a snapshot after an outage in
// which the owner of an entry left.
func TestSnapshotOfRetainedEntries(t *testing.T) {
	for name, x := range map[string]struct {
		back  bool          // The owner writes its entry again after the snapshot.
		after time.Duration // Time from the end of the outage to the snapshot.
		first string        // What the other process holds at once.
		want  string        // What it holds later.
	}{
		"retained":            {after: 1500 * time.Millisecond, first: "p/a=1 p/b=1", want: "p/b=1"},
		"retained no longer":  {after: 5 * time.Second, first: "p/b=1", want: "p/b=1"},
		"the owner came back": {after: 1500 * time.Millisecond, back: true, first: "p/a=1 p/b=1", want: "p/a=2 p/b=1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, none := memtxn.New(), memtxn.New()
				none.SetOutage(true)
				put(t, m, "p/a", "1", 0)
				put(t, m, "p/b", "1", 0)
				c, stop := context.WithCancel(t.Context())
				r := New(m, "p/", log.NewNopLogger(), func([]bulrushlug.KVEntry) {}, WithGracePeriod())
				q := New(none, "p/", log.NewNopLogger(), func([]bulrushlug.KVEntry) {}, WithGracePeriod())
				go func() { _ = r.Run(c) }()
				go func() { _ = q.Run(c) }()
				time.Sleep(time.Second)
				m.SetOutage(true)
				time.Sleep(4 * time.Second)
				m.SetOutage(false)
				remove(t, m, "p/a")
				time.Sleep(x.after)
				q.ApplySnapshot(r.Snapshot())
				first := text(q.Entries())
				if x.back {
					put(t, m, "p/a", "2", 0)
					time.Sleep(200 * time.Millisecond)
					q.ApplySnapshot(r.Snapshot())
				}
				time.Sleep(gracePeriod + 2*sweepInterval)
				if got := text(q.Entries()); first != x.first || got != x.want {
					t.Errorf("it holds %q, later %q", first, got)
				}
				stop()
				m.SetOutage(true)
				synctest.Wait()
			})
		})
	}
}

// TestSnapshotIsComplete takes snapshots while entries come and go: each holds what is in force at its revision.
func TestSnapshotIsComplete(t *testing.T) {
	m := New(memtxn.New(), "p/", log.NewNopLogger(), func([]bulrushlug.KVEntry) {})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := uint64(1); n <= 20000; n++ {
			v := []byte(nil)
			if n%2 == 1 {
				v = []byte("1")
			}
			m.apply([]bulrushlug.KVEntry{bulrushlug.NewKVEntry("p/a", v, n)}, n)
		}
	}()
	for {
		l, n := m.Snapshot()
		if len(l) != int(n%2) {
			t.Fatalf("%d entries at revision %d", len(l), n)
		}
		select {
		case <-done:
			return
		default:
		}
	}
}

// silentWatch is a service whose watches deliver no changes for some time and do not fail.
type silentWatch struct {
	*memtxn.Store
	until time.Time
}

func (d *silentWatch) Watch(c context.Context, p string, n uint64, w time.Duration) ([]bulrushlug.KVEntry, uint64, error) {
	if time.Now().Before(d.until) {
		if err := bulrushlug.Sleep(c, w); err != nil {
			return nil, 0, err
		}
		return nil, n, nil
	}
	return d.Store.Watch(c, p, n, w)
}

func TestNotifyRevision(t *testing.T) {
	for name, notified := range map[string]bool{"another process saw the change": true, "no process saw the change": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &silentWatch{Store: memtxn.New(), until: time.Now().Add(30 * time.Second)}
				put(t, d.Store, "p/a", "1", 0)
				c, stop := context.WithCancel(t.Context())
				r := New(d, "p/", log.NewNopLogger(), func([]bulrushlug.KVEntry) {})
				go func() { _ = r.Run(c) }()
				time.Sleep(time.Second)
				put(t, d.Store, "p/a", "2", 0)
				if notified {
					i, err := d.Get(c, "p/a")
					if err != nil {
						t.Fatal(err)
					}
					r.NotifyRevision(i.Revision())
				}
				time.Sleep(watchLagTimeout + 2*sweepInterval)
				if got := text(r.Entries()); (got == "p/a=2") != notified {
					t.Errorf("entries are %q", got)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestStandby has a process that relies on snapshots hear of a change.
func TestStandby(t *testing.T) {
	for name, x := range map[string]struct {
		snapshot bool
		after    time.Duration
		want     string
	}{
		"before the snapshot": {after: standbyLagTimeout / 2, want: "p/a=1"},
		"the snapshot":        {snapshot: true, after: standbyLagTimeout / 2, want: "p/a=2"},
		"no snapshot":         {after: standbyLagTimeout + 2*sweepInterval, want: "p/a=2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memtxn.New()
				put(t, m, "p/a", "1", 0)
				c, stop := context.WithCancel(t.Context())
				r := New(m, "p/", log.NewNopLogger(), func([]bulrushlug.KVEntry) {}, WithWatchTimeout(func() time.Duration { return 0 }))
				go func() { _ = r.Run(c) }()
				time.Sleep(time.Second)
				newer := r.Newer(r.NewestRevision())
				put(t, m, "p/a", "2", 0)
				l, n, err := m.List(c, "p/")
				if err != nil {
					t.Fatal(err)
				}
				r.NotifyRevision(n)
				if x.snapshot {
					r.ApplySnapshot(l, n)
				}
				time.Sleep(x.after)
				synctest.Wait()
				if got := text(r.Entries()); got != x.want {
					t.Errorf("entries are %q", got)
				}
				select {
				case <-newer:
				default:
					if x.want == "p/a=2" {
						t.Error("the change is not announced")
					}
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// slowWatch is a service whose watches respond some time after the change.
type slowWatch struct {
	*memtxn.Store
	delay time.Duration
}

func (d *slowWatch) Watch(c context.Context, p string, n uint64, w time.Duration) ([]bulrushlug.KVEntry, uint64, error) {
	l, r, err := d.Store.Watch(c, p, n, w)
	return l, r, errors.Join(err, bulrushlug.Sleep(c, d.delay))
}

// TestWatchOlderThanSnapshot has a watch respond with a change after a snapshot that includes a later one.
func TestWatchOlderThanSnapshot(t *testing.T) {
	for name, x := range map[string]struct {
		later func(t *testing.T, m *memtxn.Store)
		want  string
	}{
		"the entry was removed":   {later: func(t *testing.T, m *memtxn.Store) { remove(t, m, "p/a") }, want: "p/b=1"},
		"the entry changed again": {later: func(t *testing.T, m *memtxn.Store) { put(t, m, "p/a", "3", 0) }, want: "p/a=3 p/b=1"},
		"another entry came":      {later: func(t *testing.T, m *memtxn.Store) { put(t, m, "p/c", "1", 0) }, want: "p/a=2 p/b=1 p/c=1"},
		"no later change":         {later: func(*testing.T, *memtxn.Store) {}, want: "p/a=2 p/b=1"},
		"a change after the snapshot": {later: func(t *testing.T, m *memtxn.Store) {
			put(t, m, "p/a", "3", 0)
			time.AfterFunc(time.Second, func() { put(t, m, "p/a", "4", 0) })
		}, want: "p/a=4 p/b=1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memtxn.New()
				put(t, m, "p/a", "1", 0)
				put(t, m, "p/b", "1", 0)
				c, stop := context.WithCancel(t.Context())
				r := New(&slowWatch{m, 200 * time.Millisecond}, "p/", log.NewNopLogger(), func([]bulrushlug.KVEntry) {})
				go func() { _ = r.Run(c) }()
				time.Sleep(2 * time.Second)
				put(t, m, "p/a", "2", 0)
				synctest.Wait()
				x.later(t, m)
				l, n, err := m.List(c, "p/")
				if err != nil {
					t.Fatal(err)
				}
				r.ApplySnapshot(l, n)
				time.Sleep(3 * time.Second)
				if got := text(r.Entries()); got != x.want {
					t.Errorf("entries are %q", got)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestRemovalDuringOutage guards against an entry that some processes keep for good: it is removed while the processes that
// watch don't, so that they learn of it from a list, in which a removal has no revision.
func TestRemovalDuringOutage(t *testing.T) {
	for name, x := range map[string]struct {
		options []option
		change  func(t *testing.T, m *memtxn.Store) // Takes place at the end of the outage.
		want    string
	}{
		"removed":                  {change: func(t *testing.T, m *memtxn.Store) { remove(t, m, "p/a") }, want: "p/b=1"},
		"removed, history is lost": {change: func(t *testing.T, m *memtxn.Store) { remove(t, m, "p/a"); m.Compact() }, want: "p/b=1"},
		"removed, with a grace period": {options: []option{WithGracePeriod()}, change: func(t *testing.T, m *memtxn.Store) { remove(t, m, "p/a") },
			want: "p/b=1"},
		"the newest is removed": {change: func(t *testing.T, m *memtxn.Store) { remove(t, m, "p/b") }, want: "p/a=1"},
		"removed and put again": {change: func(t *testing.T, m *memtxn.Store) { remove(t, m, "p/a"); put(t, m, "p/a", "1", 0) }, want: "p/a=1 p/b=1"},
		"changed":               {change: func(t *testing.T, m *memtxn.Store) { put(t, m, "p/a", "2", 0) }, want: "p/a=2 p/b=1"},
		"one changed, one removed": {change: func(t *testing.T, m *memtxn.Store) { put(t, m, "p/a", "2", 0); remove(t, m, "p/b") },
			want: "p/a=2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memtxn.New()
				put(t, m, "p/a", "1", 0)
				put(t, m, "p/b", "1", 0)
				c, stop := context.WithCancel(t.Context())
				watcher := New(m, "p/", log.NewNopLogger(), func([]bulrushlug.KVEntry) {}, x.options...)
				standby := New(m, "p/", log.NewNopLogger(), func([]bulrushlug.KVEntry) {}, append(x.options, WithWatchTimeout(func() time.Duration { return 0 }))...)
				go func() { _ = watcher.Run(c) }()
				go func() { _ = standby.Run(c) }()
				reports := func(d time.Duration) {
					for range d / (100 * time.Millisecond) {
						time.Sleep(100 * time.Millisecond)
						n := watcher.NewestRevision()
						standby.NotifyRevision(n)
						if n > standby.NewestRevision() {
							standby.ApplySnapshot(watcher.Snapshot())
						}
					}
				}
				reports(2 * time.Second)
				m.SetOutage(true)
				time.Sleep(4 * time.Second)
				m.SetOutage(false)
				x.change(t, m)
				reports(10 * time.Second)
				if w, s := text(watcher.Entries()), text(standby.Entries()); w != x.want || s != x.want {
					t.Errorf("the one that watches holds %q, the other one %q", w, s)
				}
				if w, s := watcher.NewestRevision(), standby.NewestRevision(); w != s {
					t.Errorf("the one that watches has seen revision %d, the other one %d", w, s)
				}
				stop()
				m.SetOutage(true)
				synctest.Wait()
			})
		})
	}
}
