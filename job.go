package bulrushlug

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Status is the state of a batch job.
type Status string

// The states of a batch job, named as in the OpenAI API.
const (
	StatusRunning    = Status("in_progress")
	StatusCancelling = Status("cancelling")
	StatusCancelled  = Status("cancelled")
	StatusCompleted  = Status("completed")
	StatusFailed     = Status("failed")
)

// Final reports whether s is a terminal state.
func (s Status) Final() bool {
	return s == StatusCancelled || s == StatusCompleted || s == StatusFailed
}

// Result is the committed result of one input chunk of a job; values are immutable.
type Result struct {
	chunk  uint32   // Index of the input chunk.
	done   uint32   // Items that succeeded.
	failed uint32   // Items that failed permanently.
	output ChunkRef // Output lines; empty if done is zero.
	errors ChunkRef // Error lines; empty if failed is zero.
}

// NewResult returns the result of input chunk n.
func NewResult(n, done, failed uint32, output, errors ChunkRef) Result {
	return Result{chunk: n, done: done, failed: failed, output: output, errors: errors}
}

// Chunk returns the index of the input chunk.
func (r Result) Chunk() uint32 { return r.chunk }

// Done returns the number of items that succeeded.
func (r Result) Done() uint32 { return r.done }

// Failed returns the number of items that failed permanently.
func (r Result) Failed() uint32 { return r.failed }

// Output returns the location of the output lines.
func (r Result) Output() ChunkRef { return r.output }

// Errors returns the location of the error lines.
func (r Result) Errors() ChunkRef { return r.errors }

// Job is the stored record of a batch job; values are immutable.
type Job struct {
	id           string
	organisation string
	input        string // Identifier of the input file.
	endpoint     string // API path that every item calls.
	status       Status
	created      time.Time
	due          time.Time
	finished     time.Time // Zero until the status is terminal.
	owner        string    // VM that runs the job; empty before it is first claimed.
	fencingToken uint64    // Fencing token; increases with each change of owner.
	results      []Result  // Sorted by chunk, at most one per chunk.
	items        uint64    // Number of items in the input.
	problem      string    // Why the job failed or is expected to miss its due time.
	window       string    // Completion window that the caller requested.
	metadata     map[string]string
}

// JobOption sets fields of a Job.
type JobOption func(j *Job)

// NewJob returns the running job i of organisation o with input file f.
func NewJob(i, o, f, endpoint string, opts ...JobOption) Job {
	j := Job{id: i, organisation: o, input: f, endpoint: endpoint, status: StatusRunning}
	for _, g := range opts {
		g(&j)
	}
	return j
}

// JobTimes sets the times at which the job was accepted, is due and finished.
func JobTimes(created, due, finished time.Time) JobOption {
	return func(j *Job) { j.created, j.due, j.finished = created, due, finished }
}

// JobOwner sets the owner and its fencing token.
func JobOwner(o string, n uint64) JobOption { return func(j *Job) { j.owner, j.fencingToken = o, n } }

// JobStatus sets the status and the reason for a failure or delay.
func JobStatus(s Status, problem string) JobOption {
	return func(j *Job) { j.status, j.problem = s, problem }
}

// JobItems sets the number of items and the committed results.
func JobItems(n uint64, r []Result) JobOption { return func(j *Job) { j.items, j.results = n, r } }

// JobMetadata sets the completion window and the caller's metadata.
func JobMetadata(w string, m map[string]string) JobOption {
	return func(j *Job) { j.window, j.metadata = w, maps.Clone(m) }
}

// With returns a copy with the given options applied.
func (j Job) With(opts ...JobOption) Job {
	for _, g := range opts {
		g(&j)
	}
	return j
}

// WithResults returns a copy that adds the results of l for chunks that have none yet; the first result of a chunk wins.
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

// Input returns the identifier of the input file.
func (j Job) Input() string { return j.input }

// Endpoint returns the API path that every item calls.
func (j Job) Endpoint() string { return j.endpoint }

// Status returns the job's state.
func (j Job) Status() Status { return j.status }

// Problem returns why the job failed or is expected to miss its due time.
func (j Job) Problem() string { return j.problem }

// Created returns the time at which the job was accepted.
func (j Job) Created() time.Time { return j.created }

// Due returns the time by which the job should complete.
func (j Job) Due() time.Time { return j.due }

// Finished returns the time at which the status became terminal, or zero.
func (j Job) Finished() time.Time { return j.finished }

// Owner returns the VM that runs the job; empty before it is first claimed.
func (j Job) Owner() string { return j.owner }

// FencingToken returns the fencing token of the current owner.
func (j Job) FencingToken() uint64 { return j.fencingToken }

// Results returns the committed results, sorted by chunk.
func (j Job) Results() []Result { return j.results }

// Items returns the number of items.
func (j Job) Items() uint64 { return j.items }

// Window returns the completion window that the caller requested.
func (j Job) Window() string { return j.window }

// Metadata returns the caller's metadata.
func (j Job) Metadata() map[string]string { return j.metadata }

// Counts returns the numbers of items that succeeded and that failed permanently.
func (j Job) Counts() (done, failed uint64) {
	for _, r := range j.results {
		done += uint64(r.done)
		failed += uint64(r.failed)
	}
	return done, failed
}
