// Package batch runs the batch jobs that a process owns.
//
// The owner of a job is the first live data VM in the job's rendezvous order. Ownership only avoids duplicate work;
// correctness comes from the fencing token in the job's record, whose compare-and-swap rejects results of former owners.
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
	scanInterval   = 1500 * time.Millisecond // Time between two scans of the open jobs.
	scanTimeout    = 10 * time.Second        // Timeout of one scan.
	probeTimeout   = time.Second             // Timeout of one probe.
	ownerTimeout   = 6 * time.Second         // Time without a response or progress after which an owner is replaced.
	releaseTimeout = 5 * time.Second         // Timeout of the release of the jobs at a planned stop.
)

// Runner claims and runs batch jobs.
type Runner struct {
	self       string
	jobs       *jobs.Store
	replicator *copies.Replicator
	scheduler  *sched.Scheduler // Admits items.
	chunkSlots *sched.Scheduler // Admits chunks.
	stage      bulrushlug.Stage
	source     bulrushlug.ConfigSource
	roster     bulrushlug.Roster
	prober     bulrushlug.Prober
	recorder   bulrushlug.Recorder
	counts     *expvar.Map

	mu           sync.Mutex             // Guards the fields below.
	runs         map[string]*run        // Runs of this process, by job.
	observed     map[string]observation // Last observed change of the record of each job that another process owns, by job.
	lastResponse map[string]time.Time   // Time of the last response to a probe of each VM, or of the first probe.
	closed       bool                   // No more jobs are claimed.
}

// observation is what this process saw of a job's record when the record last changed.
type observation struct {
	owner   string
	fence   uint64
	results int
	at      time.Time // Time at which the change was seen.
}

func observe(x bulrushlug.Job) observation {
	return observation{owner: x.Owner(), fence: x.FencingToken(), results: len(x.Results()), at: time.Now()}
}

// option configures a runner.
type option func(r *Runner)

// WithPipe runs items through the pipe g; l admits them.
func WithPipe(g bulrushlug.Stage, l *sched.Scheduler) option {
	return func(r *Runner) { r.stage, r.scheduler = g, l }
}

// WithStores stores records in j and chunks in x.
func WithStores(j *jobs.Store, x *copies.Replicator) option {
	return func(r *Runner) { r.jobs, r.replicator = j, x }
}

// WithMembership reads the configuration from f and the members from o, and probes them with p.
func WithMembership(f bulrushlug.ConfigSource, o bulrushlug.Roster, p bulrushlug.Prober) option {
	return func(r *Runner) { r.source, r.roster, r.prober = f, o, p }
}

// WithTelemetry records events with e and counts in m.
func WithTelemetry(e bulrushlug.Recorder, m *expvar.Map) option {
	return func(r *Runner) { r.recorder, r.counts = e, m }
}

// New returns the runner of the process on VM v.
func New(v string, o ...option) *Runner {
	r := &Runner{
		self:         v,
		chunkSlots:   sched.New(func() int { return maxOpenChunks }),
		runs:         map[string]*run{},
		observed:     map[string]observation{},
		lastResponse: map[string]time.Time{},
	}
	for _, f := range o {
		f(r)
	}
	return r
}

// Run claims and runs jobs until c ends, and then releases them.
func (r *Runner) Run(c context.Context) error {
	w, stop := context.WithCancel(context.WithoutCancel(c))
	defer stop()
	for bulrushlug.Sleep(c, scanInterval) == nil {
		r.scan(c, w)
	}
	r.releaseJobs(w)
	return nil
}

// scan lists the open jobs, claims those that this process should own, and cancels runs whose job was cancelled.
// The runs that it starts end with w.
func (r *Runner) scan(c, w context.Context) {
	c, stop := context.WithTimeout(c, scanTimeout)
	defer stop()
	l, err := r.jobs.ListOpen(c)
	if err != nil {
		r.counts.Add("scanFailed", 1)
		return
	}
	for _, o := range l {
		if x := r.runOf(o.ID()); x != nil {
			if o.Cancel() {
				x.Cancel()
			}
			continue
		}
		if r.shouldOwn(c, o) {
			r.claim(c, w, o)
		}
	}
	r.pruneObservations(l)
}

func (r *Runner) runOf(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// pruneObservations removes the observations of jobs that are no longer open.
func (r *Runner) pruneObservations(l []bulrushlug.OpenJob) {
	open := map[string]bool{}
	for _, o := range l {
		open[o.ID()] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.observed {
		if !open[id] {
			delete(r.observed, id)
		}
	}
}

// shouldOwn reports whether the job has no live owner and this process is the first live one in its rendezvous order.
func (r *Runner) shouldOwn(c context.Context, o bulrushlug.OpenJob) bool {
	n, ok := r.observation(o.ID())
	if !ok {
		x, err := r.jobs.Job(c, o.Organisation(), o.ID())
		if err != nil {
			return false
		}
		n = observe(x)
		r.recordObservation(o.ID(), n)
	}
	if n.owner != "" && n.owner != r.self && (r.responsive(c, n.owner) || !r.stalled(c, o, n)) {
		return false
	}
	f := rank.First(o.ID(), r.candidates(), func(v string) bool { return v == r.self || r.responsive(c, v) })
	return f == r.self
}

// stalled reports whether the record of o has not changed for ownerTimeout; an owner that is only partitioned from its
// peers still writes it.
func (r *Runner) stalled(c context.Context, o bulrushlug.OpenJob, n observation) bool {
	x, err := r.jobs.Job(c, o.Organisation(), o.ID())
	if err != nil {
		return false
	}
	m := observe(x)
	if m.owner != n.owner || m.fence != n.fence || m.results != n.results {
		r.recordObservation(o.ID(), m)
		return false
	}
	return time.Since(n.at) >= ownerTimeout
}

func (r *Runner) observation(id string) (observation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.observed[id]
	return n, ok
}

func (r *Runner) recordObservation(id string, n observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed[id] = n
}

// candidates returns the data VMs that are not leaving.
func (r *Runner) candidates() []string {
	var l []string
	for _, m := range r.roster.Members() {
		if m.HasDataFolder() && !m.Leaving() {
			l = append(l, m.Name())
		}
	}
	return l
}

// responsive reports whether the process on VM v is listed and answered a probe within ownerTimeout; it probes v if
// the last response is older than scanInterval.
func (r *Runner) responsive(c context.Context, v string) bool {
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
	t, ok := r.lastResponse[v]
	if !ok {
		t = time.Now()
		r.lastResponse[v] = t
	}
	r.mu.Unlock()
	if time.Since(t) < scanInterval && ok {
		return true
	}
	c, stop := context.WithTimeout(c, probeTimeout)
	defer stop()
	if r.prober.Probe(c, a) == nil {
		r.mu.Lock()
		r.lastResponse[v] = time.Now()
		r.mu.Unlock()
		return true
	}
	return time.Since(t) < ownerTimeout
}

// claim makes this process the owner of job o with a new fencing token, and starts the job.
func (r *Runner) claim(c, w context.Context, o bulrushlug.OpenJob) {
	r.mu.Lock()
	seen, closed := r.observed[o.ID()].owner, r.closed
	r.mu.Unlock()
	if closed {
		return
	}
	x, err := r.jobs.Update(c, o.Organisation(), o.ID(), func(x bulrushlug.Job) (bulrushlug.Job, error) {
		if x.Owner() != seen && x.Owner() != r.self {
			r.recordObservation(o.ID(), observe(x))
			return x, errNotOwner
		}
		if x.Status().Final() {
			return x, bulrushlug.Errorf(bulrushlug.KindConflict, "batch %s is %s", x.ID(), x.Status())
		}
		return x.With(bulrushlug.JobOwner(r.self, x.FencingToken()+1)), nil
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
	n.cancelRequested = cancel || x.Status() == bulrushlug.StatusCancelling
	r.mu.Lock()
	r.runs[x.ID()] = n
	delete(r.observed, x.ID())
	r.mu.Unlock()
	go func() {
		defer close(n.done)
		defer stop()
		r.runEnded(x, n.execute(c))
	}()
}

func (r *Runner) runEnded(x bulrushlug.Job, err error) {
	r.mu.Lock()
	delete(r.runs, x.ID())
	delete(r.observed, x.ID())
	r.mu.Unlock()
	if err == nil {
		r.counts.Add("jobsEnded", 1)
		return
	}
	r.counts.Add("jobsLeft", 1)
	r.recorder.Record(bulrushlug.NewEvent("jobLeft", bulrushlug.ForJob(x.ID(), x.Organisation()), bulrushlug.WithDetail(err.Error())))
}

// releaseJobs stops all runs and clears the owner of their jobs, so that other processes claim them at once.
func (r *Runner) releaseJobs(w context.Context) {
	w, stop := context.WithTimeout(w, releaseTimeout)
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
			if err := x.checkOwner(y); err != nil {
				return y, err
			}
			return y.With(bulrushlug.JobOwner("", y.FencingToken())), nil
		})
	}
}
