// Package batch runs the jobs that a process owns.
//
// The owner of a job is the first data VM by rank that answers. Ownership only saves work: what counts is
// the compare-and-swap of the job's record, which refuses the results of all but the newest owner.
package batch

import (
	"context"
	"expvar"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/copies"
	"bulrushlug.dev/bulrushlug/jobs"
	"bulrushlug.dev/bulrushlug/rank"
	"bulrushlug.dev/bulrushlug/sched"
)

const (
	scanPause = 1500 * time.Millisecond // Time between two reads of the open jobs.
	scanTime  = 10 * time.Second        // Bounds one read.
	probeTime = time.Second             // Bounds one probe.
	deadAfter = 6 * time.Second         // Time without an answer after which an owner is replaced.
	stopTime  = 5 * time.Second         // Bounds the release of the jobs at a planned stop.
)

// Runner owns and runs jobs.
type Runner struct {
	self      string
	jobs      *jobs.Store
	copies    *copies.Replicator
	scheduler *sched.Scheduler // Items that run.
	open      *sched.Scheduler // Chunks whose items run or wait.
	stage     bulrushlug.Stage
	source    bulrushlug.ConfigSource
	roster    bulrushlug.Roster
	prober    bulrushlug.Prober
	recorder  bulrushlug.Recorder
	counts    *expvar.Map

	mu     sync.Mutex           // Guards the fields below.
	runs   map[string]*run      // By job.
	owners map[string]sight     // What was last seen of each job that others own.
	heard  map[string]time.Time // When a VM last answered, or was first probed.
	closed bool                 // No more jobs are claimed.
}

// sight is what a process saw of the record of a job.
type sight struct {
	owner   string
	fence   uint64
	results int
	at      time.Time // When the record was last seen to change.
}

func sightOf(x bulrushlug.Job) sight {
	return sight{owner: x.Owner(), fence: x.Fence(), results: len(x.Results()), at: time.Now()}
}

// option sets one part of a runner.
type option func(r *Runner)

// WithPipe runs items by the pipe g, admitted by l.
func WithPipe(g bulrushlug.Stage, l *sched.Scheduler) option {
	return func(r *Runner) { r.stage, r.scheduler = g, l }
}

// WithStores keeps jobs in j and chunks in x.
func WithStores(j *jobs.Store, x *copies.Replicator) option {
	return func(r *Runner) { r.jobs, r.copies = j, x }
}

// WithMembership takes configuration, members and their health from f, o and p.
func WithMembership(f bulrushlug.ConfigSource, o bulrushlug.Roster, p bulrushlug.Prober) option {
	return func(r *Runner) { r.source, r.roster, r.prober = f, o, p }
}

// WithTelemetry records events and counts.
func WithTelemetry(e bulrushlug.Recorder, m *expvar.Map) option {
	return func(r *Runner) { r.recorder, r.counts = e, m }
}

// New returns the runner on VM v.
func New(v string, o ...option) *Runner {
	r := &Runner{
		self:   v,
		open:   sched.New(func() int { return openChunks }),
		runs:   map[string]*run{},
		owners: map[string]sight{},
		heard:  map[string]time.Time{},
	}
	for _, f := range o {
		f(r)
	}
	return r
}

// Run claims and runs jobs until c ends; then it releases them.
func (r *Runner) Run(c context.Context) error {
	w, stop := context.WithCancel(context.WithoutCancel(c))
	defer stop()
	for bulrushlug.Sleep(c, scanPause) == nil {
		r.scan(c, w)
	}
	r.release(w)
	return nil
}

// scan reads the open jobs, claims those that this process should own, and passes on cancellations.
func (r *Runner) scan(c, w context.Context) {
	c, stop := context.WithTimeout(c, scanTime)
	defer stop()
	l, err := r.jobs.ListOpen(c)
	if err != nil {
		r.counts.Add("scanFailed", 1)
		return
	}
	for _, o := range l {
		if x := r.running(o.ID()); x != nil {
			if o.Cancel() {
				x.Cancel()
			}
			continue
		}
		if r.shouldOwn(c, o) {
			r.claim(c, w, o)
		}
	}
	r.forget(l)
}

func (r *Runner) running(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// forget drops what is known of jobs that are no longer open.
func (r *Runner) forget(l []bulrushlug.OpenJob) {
	open := map[string]bool{}
	for _, o := range l {
		open[o.ID()] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.owners {
		if !open[id] {
			delete(r.owners, id)
		}
	}
}

// shouldOwn reports whether this process is the first that answers in the order of the job, and its owner neither
// answers nor gets on.
func (r *Runner) shouldOwn(c context.Context, o bulrushlug.OpenJob) bool {
	n, ok := r.seen(o.ID())
	if !ok {
		x, err := r.jobs.Job(c, o.Organisation(), o.ID())
		if err != nil {
			return false
		}
		n = sightOf(x)
		r.note(o.ID(), n)
	}
	if n.owner != "" && n.owner != r.self && (r.answers(c, n.owner) || !r.stands(c, o, n)) {
		return false
	}
	f := rank.First(o.ID(), r.candidates(), func(v string) bool { return v == r.self || r.answers(c, v) })
	return f == r.self
}

// stands reports whether the record of o has not changed for deadAfter; an owner that is only cut off from its
// peers goes on writing it.
func (r *Runner) stands(c context.Context, o bulrushlug.OpenJob, n sight) bool {
	x, err := r.jobs.Job(c, o.Organisation(), o.ID())
	if err != nil {
		return false
	}
	m := sightOf(x)
	if m.owner != n.owner || m.fence != n.fence || m.results != n.results {
		r.note(o.ID(), m)
		return false
	}
	return time.Since(n.at) >= deadAfter
}

func (r *Runner) seen(id string) (sight, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.owners[id]
	return n, ok
}

func (r *Runner) note(id string, n sight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners[id] = n
}

// candidates returns the data VMs that stay.
func (r *Runner) candidates() []string {
	var l []string
	for _, m := range r.roster.Members() {
		if m.Data() && !m.Leaving() {
			l = append(l, m.Name())
		}
	}
	return l
}

// answers reports whether the process on VM v answered within deadAfter.
func (r *Runner) answers(c context.Context, v string) bool {
	var a string
	for _, m := range r.roster.Members() {
		if m.Name() == v && !m.Leaving() {
			a = m.Address()
		}
	}
	if a == "" {
		return false
	}
	r.mu.Lock()
	t, ok := r.heard[v]
	if !ok {
		t = time.Now()
		r.heard[v] = t
	}
	r.mu.Unlock()
	if time.Since(t) < scanPause && ok {
		return true
	}
	c, stop := context.WithTimeout(c, probeTime)
	defer stop()
	if r.prober.Probe(c, a) == nil {
		r.mu.Lock()
		r.heard[v] = time.Now()
		r.mu.Unlock()
		return true
	}
	return time.Since(t) < deadAfter
}

// claim makes this process the owner of job o under a new fence, and starts it.
func (r *Runner) claim(c, w context.Context, o bulrushlug.OpenJob) {
	r.mu.Lock()
	seen, closed := r.owners[o.ID()].owner, r.closed
	r.mu.Unlock()
	if closed {
		return
	}
	x, err := r.jobs.Update(c, o.Organisation(), o.ID(), func(x bulrushlug.Job) (bulrushlug.Job, error) {
		if x.Owner() != seen && x.Owner() != r.self {
			r.note(o.ID(), sightOf(x))
			return x, errNotOwner
		}
		if x.Status().Final() {
			return x, bulrushlug.Errorf(bulrushlug.KindConflict, "batch %s is %s", x.ID(), x.Status())
		}
		return x.With(bulrushlug.JobOwner(r.self, x.Fence()+1)), nil
	})
	switch {
	case err == nil:
		r.start(w, x, o.Cancel())
	case x.Status().Final():
		_ = r.jobs.RemoveOpen(c, o.ID())
	}
}

func (r *Runner) start(w context.Context, x bulrushlug.Job, cancel bool) {
	r.recorder.Record(bulrushlug.NewEvent("jobClaimed", bulrushlug.ForJob(x.ID(), x.Organisation())))
	c, stop := context.WithCancel(w)
	n := &run{Runner: r, job: x, stop: stop, done: make(chan struct{})}
	n.cancel = cancel || x.Status() == bulrushlug.StatusCancelling
	r.mu.Lock()
	r.runs[x.ID()] = n
	delete(r.owners, x.ID())
	r.mu.Unlock()
	go func() {
		defer close(n.done)
		defer stop()
		r.ended(x, n.execute(c))
	}()
}

func (r *Runner) ended(x bulrushlug.Job, err error) {
	r.mu.Lock()
	delete(r.runs, x.ID())
	delete(r.owners, x.ID())
	r.mu.Unlock()
	if err == nil {
		r.counts.Add("jobsEnded", 1)
		return
	}
	r.counts.Add("jobsLeft", 1)
	r.recorder.Record(bulrushlug.NewEvent("jobLeft", bulrushlug.ForJob(x.ID(), x.Organisation()), bulrushlug.WithDetail(err.Error())))
}

// release stops all runs and gives their jobs up, so that other processes take them at once.
func (r *Runner) release(w context.Context) {
	w, stop := context.WithTimeout(w, stopTime)
	defer stop()
	r.mu.Lock()
	r.closed = true
	var l []*run
	for _, x := range r.runs {
		l = append(l, x)
	}
	r.mu.Unlock()
	for _, x := range l {
		x.stop()
		<-x.done
		_, _ = r.jobs.Update(w, x.job.Organisation(), x.job.ID(), func(y bulrushlug.Job) (bulrushlug.Job, error) {
			if err := x.owns(y); err != nil {
				return y, err
			}
			return y.With(bulrushlug.JobOwner("", y.Fence())), nil
		})
	}
}
