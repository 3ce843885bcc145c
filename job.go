package bulrushlug

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Status is the state of a batch job.
type Status string

// The states of a batch job, as the OpenAI interface names them.
const (
	StatusRunning    = Status("in_progress")
	StatusCancelling = Status("cancelling")
	StatusCancelled  = Status("cancelled")
	StatusCompleted  = Status("completed")
	StatusFailed     = Status("failed")
)

// Final reports whether a job in state s changes no more.
func (s Status) Final() bool {
	return s == StatusCancelled || s == StatusCompleted || s == StatusFailed
}

// Result is the committed outcome of one chunk of a job; values are immutable.
type Result struct {
	chunk  uint32   // Number of the input chunk.
	done   uint32   // Items that were answered.
	failed uint32   // Items that can't be done.
	output ChunkRef // Answers; empty if done is zero.
	errors ChunkRef // Reasons; empty if failed is zero.
}

// NewResult returns the outcome of input chunk n.
func NewResult(n, done, failed uint32, output, errors ChunkRef) Result {
	return Result{chunk: n, done: done, failed: failed, output: output, errors: errors}
}

// Chunk returns the number of the input chunk.
func (r Result) Chunk() uint32 { return r.chunk }

// Done returns the number of items that were answered.
func (r Result) Done() uint32 { return r.done }

// Failed returns the number of items that can't be done.
func (r Result) Failed() uint32 { return r.failed }

// Output returns where the answers are.
func (r Result) Output() ChunkRef { return r.output }

// Errors returns where the reasons are.
func (r Result) Errors() ChunkRef { return r.errors }

// Job is the record of a batch job; values are immutable.
type Job struct {
	id           string
	organisation string
	input        string // File with the items.
	endpoint     string // Path that all items call.
	status       Status
	created      time.Time
	due          time.Time
	finished     time.Time // Zero until the status is final.
	owner        string    // VM that runs the job; empty before the first one.
	fence        uint64    // Rises with each change of the owner.
	results      []Result  // Sorted by chunk, at most one for each.
	items        uint64    // Items of the input.
	problem      string    // Why the job failed or will miss its due time.
	window       string    // Completion window that the caller gave.
	metadata     map[string]string
}

// JobOption sets some fields of a job.
type JobOption func(j *Job)

// NewJob returns job i of organisation o over the file f.
func NewJob(i, o, f, endpoint string, opts ...JobOption) Job {
	j := Job{id: i, organisation: o, input: f, endpoint: endpoint, status: StatusRunning}
	for _, g := range opts {
		g(&j)
	}
	return j
}

// JobTimes sets when the job was accepted, is due and was finished.
func JobTimes(created, due, finished time.Time) JobOption {
	return func(j *Job) { j.created, j.due, j.finished = created, due, finished }
}

// JobOwner sets owner and fence.
func JobOwner(o string, n uint64) JobOption { return func(j *Job) { j.owner, j.fence = o, n } }

// JobStatus sets status and problem.
func JobStatus(s Status, problem string) JobOption {
	return func(j *Job) { j.status, j.problem = s, problem }
}

// JobItems sets the number of items and the results.
func JobItems(n uint64, r []Result) JobOption { return func(j *Job) { j.items, j.results = n, r } }

// JobMetadata sets completion window and metadata.
func JobMetadata(w string, m map[string]string) JobOption {
	return func(j *Job) { j.window, j.metadata = w, maps.Clone(m) }
}

// With returns a copy with the given options.
func (j Job) With(opts ...JobOption) Job {
	for _, g := range opts {
		g(&j)
	}
	return j
}

// WithResults returns a copy with those results of l whose chunks have none yet.
func (j Job) WithResults(l []Result) Job {
	r := slices.Clone(j.results)
	for _, x := range l {
		i, found := slices.BinarySearchFunc(r, x.chunk, func(y Result, n uint32) int { return cmp.Compare(y.chunk, n) })
		if !found {
			r = slices.Insert(r, i, x)
		}
	}
	j.results = r
	return j
}

// ID returns the identifier.
func (j Job) ID() string { return j.id }

// Organisation returns the organisation that owns the job.
func (j Job) Organisation() string { return j.organisation }

// Input returns the file with the items.
func (j Job) Input() string { return j.input }

// Endpoint returns the path that all items call.
func (j Job) Endpoint() string { return j.endpoint }

// Status returns the state.
func (j Job) Status() Status { return j.status }

// Problem returns why the job failed or will miss its due time.
func (j Job) Problem() string { return j.problem }

// Created returns when the job was accepted.
func (j Job) Created() time.Time { return j.created }

// Due returns when the job should be done.
func (j Job) Due() time.Time { return j.due }

// Finished returns when the status became final, or zero.
func (j Job) Finished() time.Time { return j.finished }

// Owner returns the VM that runs the job.
func (j Job) Owner() string { return j.owner }

// Fence returns the number of the ownership.
func (j Job) Fence() uint64 { return j.fence }

// Results returns the committed results, sorted by chunk.
func (j Job) Results() []Result { return j.results }

// Items returns the number of items.
func (j Job) Items() uint64 { return j.items }

// Window returns the completion window that the caller gave.
func (j Job) Window() string { return j.window }

// Metadata returns what the caller attached.
func (j Job) Metadata() map[string]string { return j.metadata }

// Counts returns the items that were answered and those that can't be done.
func (j Job) Counts() (done, failed uint64) {
	for _, r := range j.results {
		done += uint64(r.done)
		failed += uint64(r.failed)
	}
	return done, failed
}
