package repair

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/copies"
	"bulrushlug.dev/bulrushlug/jobs"
	"bulrushlug.dev/bulrushlug/memkv"
)

type noRecorder struct{}

func (noRecorder) Record(bulrushlug.Event) {}

// roster lists data VMs, each in a zone of its own.
type roster struct {
	mu   sync.Mutex
	vms  []string
	gone map[string]bool
}

func (r *roster) Members() (l []bulrushlug.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.vms {
		if !r.gone[v] {
			l = append(l, bulrushlug.NewMember(v, v, "r", "z-"+v, "data").WithDataFolder(true))
		}
	}
	return l
}

func (r *roster) Member(n string) (m bulrushlug.Member, ok bool) {
	for _, m := range r.Members() {
		if m.Name() == n {
			return m, true
		}
	}
	return m, false
}

func (r *roster) Gone(n string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone[n]
}

func (r *roster) lose(n string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone[n] = true
}

// chunks is an in-memory chunk store; reads of the chunks in broken fail.
type chunks struct {
	mu     sync.Mutex
	data   map[string][]byte
	broken map[string]bool // By file and index.
}

func (v *chunks) Put(_ context.Context, a, f string, n uint32, p []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.data[fmt.Sprint(a, f, n)] = p
	return nil
}

func (v *chunks) Get(_ context.Context, a, f string, n uint32) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b, ok := v.data[fmt.Sprint(a, f, n)]
	if !ok || v.broken[fmt.Sprint(f, n)] {
		return nil, bulrushlug.Errorf(bulrushlug.KindStorage, "chunk %d of %s is unreadable", n, f)
	}
	return b, nil
}

func (v *chunks) Drop(context.Context, string, string, uint32) error { return nil }

// system is a file of three chunks and a job of three results, each with replicas on VMs a and b of three.
type system struct {
	store     *memkv.Store
	roster    *roster
	chunks    *chunks
	jobs      *jobs.Store
	repairers []*Repairer // One for each VM that stays; each record is assigned to one of them.
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{store: memkv.New(), roster: &roster{vms: []string{"a", "b"}, gone: map[string]bool{}}, chunks: &chunks{data: map[string][]byte{}, broken: map[string]bool{}}}
	s.jobs = jobs.New(s.store)
	x := copies.New(s.chunks, s.roster, 2)
	put := func(f string, n uint32) bulrushlug.ChunkRef {
		p, err := x.Put(t.Context(), f, n, 1, fmt.Append(nil, f, n))
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	if err := s.jobs.AddFile(t.Context(), bulrushlug.NewFile("f", "o", "n", "batch", time.Now(), []bulrushlug.ChunkRef{put("f", 0), put("f", 1), put("f", 2)})); err != nil {
		t.Fatal(err)
	}
	var l []bulrushlug.Result
	for n := range uint32(3) {
		l = append(l, bulrushlug.NewResult(n, 1, 0, put("out", n), put("err", n)))
	}
	if _, err := s.jobs.Create(t.Context(), bulrushlug.NewJob("j", "o", "f", "/v1/completions", bulrushlug.JobItems(3, l))); err != nil {
		t.Fatal(err)
	}
	s.roster.vms = append(s.roster.vms, "c")
	for _, v := range []string{"b", "c"} {
		s.repairers = append(s.repairers, New(v, s.jobs, x, s.roster, time.Hour, noRecorder{}, new(expvar.Map).Init()))
	}
	return s
}

// replicas returns the VMs of every chunk by its name.
func (s *system) replicas(t *testing.T) map[string][]string {
	t.Helper()
	f, err := s.jobs.File(t.Context(), "o", "f")
	if err != nil {
		t.Fatal(err)
	}
	j, err := s.jobs.Job(t.Context(), "o", "j")
	if err != nil {
		t.Fatal(err)
	}
	l := f.Chunks()
	for _, x := range j.Results() {
		l = append(l, x.Output(), x.Errors())
	}
	m := map[string][]string{}
	for _, p := range l {
		v := slices.Clone(p.VMs())
		slices.Sort(v)
		m[fmt.Sprint(p.File(), p.Index())] = v
	}
	return m
}

// TestReplicasBesideUnreadableChunk loses a VM while one chunk can't be read: the new replicas of the others are
// recorded.
func TestReplicasBesideUnreadableChunk(t *testing.T) {
	for name, broken := range map[string]string{
		"none":                   "",
		"the first of the file":  "f0",
		"the second of the file": "f1",
		"the last of the file":   "f2",
		"an output":              "out1",
		"the last output":        "out2",
		"errors":                 "err1",
		"the last errors":        "err2",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.chunks.broken[broken] = true
			s.roster.lose("a")
			failed := 0
			for _, r := range s.repairers {
				if err := r.rereplicate(t.Context()); err != nil {
					failed++
				}
			}
			if (failed > 0) != (broken != "") {
				t.Errorf("%d rounds failed", failed)
			}
			for k, v := range s.replicas(t) {
				want := []string{"b", "c"}
				if k == broken {
					want = []string{"a", "b"}
				}
				if !slices.Equal(v, want) {
					t.Errorf("replicas of %s are recorded on %v", k, v)
				}
			}
		})
	}
}

// TestRoundAfterOutage loses a VM while the key-value service is unavailable: its chunks are replicated soon after it.
func TestRoundAfterOutage(t *testing.T) {
	for name, outage := range map[string]time.Duration{"none": 0, "one round": checkInterval + time.Second, "a minute": time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t)
				c, stop := context.WithCancel(t.Context())
				var w sync.WaitGroup
				for _, r := range s.repairers {
					w.Go(func() { _ = r.Run(c) })
				}
				time.Sleep(checkInterval + checkInterval/2)
				s.store.SetOutage(outage > 0)
				s.roster.lose("a")
				time.Sleep(outage)
				s.store.SetOutage(false)
				time.Sleep(2 * checkInterval)
				for k, v := range s.replicas(t) {
					if !slices.Equal(v, []string{"b", "c"}) {
						t.Errorf("replicas of %s are recorded on %v", k, v)
					}
				}
				stop()
				w.Wait()
			})
		})
	}
}
