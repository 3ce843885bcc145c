package batch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	maxOpenChunks   = 32                     // Chunks that run at once, over all jobs.
	maxJobChunks    = 4                      // Chunks of one job that run at once.
	commitInterval  = 500 * time.Millisecond // Time between two commits of one job.
	storeRetryDelay = time.Second            // Delay before a failed read or write is retried.
)

var errNotOwner = bulrushlug.Errorf(bulrushlug.KindConflict, "another process owns the job")

// run is the execution of a job by one owner, identified by the fencing token of the job.
type run struct {
	*Runner
	job  bulrushlug.Job // The job as claimed, with the results committed before.
	stop context.CancelFunc
	done chan struct{} // Closed when the run has ended.

	mu              sync.Mutex          // Guards the fields below.
	cancelRequested bool                // The job was cancelled.
	stopItems       context.CancelFunc  // Cancels the running items; nil before they start.
	pending         []bulrushlug.Result // Results that are not yet committed.
	startedAt       time.Time
	itemsDone       uint64 // Items that this run has finished.
}

// execute runs the chunks that have no result yet and finishes the job.
func (r *run) execute(c context.Context) error {
	f, err := r.input(c)
	if bulrushlug.KindOf(err) == bulrushlug.KindNotFound {
		return r.finish(c, func(x bulrushlug.Job) (bulrushlug.Job, error) {
			return withFinalStatus(x, bulrushlug.StatusFailed, err.Error()), nil
		})
	}
	if err != nil {
		return err
	}
	w, halt := context.WithCancel(c)
	defer halt()
	r.mu.Lock()
	r.stopItems, r.startedAt = halt, time.Now()
	if r.cancelRequested {
		halt()
	}
	r.mu.Unlock()
	committed := make(chan error, 1)
	q := make(chan struct{})
	go func() { committed <- r.commitLoop(c, q, halt) }()
	r.runChunks(c, w, f)
	close(q)
	if err := <-committed; err != nil {
		return err
	}
	return r.finish(c, func(x bulrushlug.Job) (bulrushlug.Job, error) { return finalStatus(x, f) })
}

// input returns the record of the input file, retrying until the key-value service answers.
func (r *run) input(c context.Context) (bulrushlug.File, error) {
	for {
		f, err := r.jobs.File(c, r.job.Organisation(), r.job.Input())
		if err == nil || bulrushlug.KindOf(err) == bulrushlug.KindNotFound {
			return f, err
		}
		if err := bulrushlug.Sleep(c, storeRetryDelay); err != nil {
			return f, err
		}
	}
}

// runChunks runs the chunks of f that have no result yet, at most maxJobChunks at once, until w ends.
func (r *run) runChunks(c, w context.Context, f bulrushlug.File) {
	have := map[uint32]bool{}
	for _, x := range r.job.Results() {
		have[x.Chunk()] = true
	}
	slots := make(chan struct{}, maxJobChunks)
	var g sync.WaitGroup
	for i, p := range f.Chunks() {
		if have[uint32(i)] {
			continue
		}
		select {
		case slots <- struct{}{}:
		case <-w.Done():
			g.Wait()
			return
		}
		g.Go(func() {
			defer func() { <-slots }()
			if r.chunkSlots.Acquire(w, r.job.Organisation(), r.job.Due()) != nil {
				return
			}
			defer r.chunkSlots.Release(r.job.Organisation(), false)
			r.runChunk(c, w, uint32(i), p)
		})
	}
	g.Wait()
}

// runChunk runs the items of chunk n until w ends and queues its result; if the job is cancelled, finished items are
// kept.
func (r *run) runChunk(c, w context.Context, n uint32, p bulrushlug.ChunkRef) {
	b, err := r.readChunk(w, p)
	if err != nil {
		return
	}
	l := bytes.Split(bytes.TrimRight(b, "\n"), []byte("\n"))
	o := make([]outcome, len(l))
	var g sync.WaitGroup
	for i, x := range l {
		g.Go(func() {
			if y, err := r.runItem(w, n, i, x); err == nil {
				o[i] = y
			}
		})
	}
	g.Wait()
	if w.Err() != nil && !r.cancelled() {
		return
	}
	if err := r.queueResult(c, n, o); err != nil {
		return
	}
}

// readChunk returns the chunk of p, retrying until a replica answers.
func (r *run) readChunk(c context.Context, p bulrushlug.ChunkRef) ([]byte, error) {
	for {
		b, err := r.replicator.Get(c, p)
		if err == nil {
			return b, nil
		}
		r.recorder.Record(bulrushlug.NewEvent("chunkUnreadable",
			bulrushlug.ForJob(r.job.ID(), r.job.Organisation()), bulrushlug.WithDetail(err.Error())))
		if err := bulrushlug.Sleep(c, storeRetryDelay); err != nil {
			return nil, err
		}
	}
}

// queueResult stores the lines of o as the result of chunk n and queues the result for commit.
func (r *run) queueResult(c context.Context, n uint32, o []outcome) error {
	var out, bad bytes.Buffer
	var done, failed uint32
	for _, x := range o {
		switch {
		case x.line == nil:
		case x.failed:
			failed++
			bad.Write(append(x.line, '\n'))
		default:
			done++
			out.Write(append(x.line, '\n'))
		}
	}
	if done+failed == 0 {
		return nil
	}
	a, err := r.storeResult(c, "out", n, done, out.Bytes())
	if err != nil {
		return err
	}
	e, err := r.storeResult(c, "err", n, failed, bad.Bytes())
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.itemsDone += uint64(done + failed)
	r.pending = append(r.pending, bulrushlug.NewResult(n, done, failed, a, e))
	return nil
}

// storeResult stores b, retrying until enough data VMs hold it; without items it does nothing.
func (r *run) storeResult(c context.Context, kind string, n, items uint32, b []byte) (bulrushlug.ChunkRef, error) {
	if items == 0 {
		return bulrushlug.ChunkRef{}, nil
	}
	f := fmt.Sprintf("%s-%s-%d", kind, r.job.ID(), r.job.FencingToken())
	for {
		p, err := r.replicator.Put(c, f, n, items, b)
		if err == nil {
			return p, nil
		}
		r.recorder.Record(bulrushlug.NewEvent("resultNotStored",
			bulrushlug.ForJob(r.job.ID(), r.job.Organisation()), bulrushlug.WithDetail(err.Error())))
		if err := bulrushlug.Sleep(c, storeRetryDelay); err != nil {
			return p, err
		}
	}
}

// commitLoop commits queued results until q is closed and all are written; it stops the items if the job has another
// owner or no record.
func (r *run) commitLoop(c context.Context, q <-chan struct{}, halt func()) error {
	for {
		last := false
		select {
		case <-q:
			last = true
		case <-time.After(commitInterval):
		case <-c.Done():
			return c.Err()
		}
		err := r.commit(c)
		switch {
		case errors.Is(err, errNotOwner), bulrushlug.KindOf(err) == bulrushlug.KindNotFound:
			halt()
			return err
		case err == nil && last && r.pendingCount() == 0:
			return nil
		case err != nil:
			if err := bulrushlug.Sleep(c, storeRetryDelay); err != nil {
				return err
			}
		}
	}
}

func (r *run) pendingCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// commit adds the queued results to the job's record if this run still owns the job.
func (r *run) commit(c context.Context) error {
	r.mu.Lock()
	l := r.pending
	r.mu.Unlock()
	if len(l) == 0 {
		return nil
	}
	x, err := r.jobs.Update(c, r.job.Organisation(), r.job.ID(), func(x bulrushlug.Job) (bulrushlug.Job, error) {
		if err := r.checkOwner(x); err != nil {
			return x, err
		}
		x = x.WithResults(l)
		return x.With(bulrushlug.JobStatus(x.Status(), r.delayWarning(x))), nil
	})
	if err != nil {
		return err
	}
	r.recorder.Record(bulrushlug.NewEvent("chunksCommitted", bulrushlug.ForJob(x.ID(), x.Organisation()),
		bulrushlug.WithDetail(fmt.Sprintf("%d chunks, %d in all", len(l), len(x.Results())))))
	if x.Status() == bulrushlug.StatusCancelling {
		r.Cancel()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = r.pending[len(l):]
	return nil
}

// checkOwner returns errNotOwner unless this run owns x and x is not final.
func (r *run) checkOwner(x bulrushlug.Job) error {
	if x.FencingToken() != r.job.FencingToken() || x.Owner() != r.self || x.Status().Final() {
		return errNotOwner
	}
	return nil
}

// delayWarning returns a warning if x will miss its due time at the current rate, and an empty string otherwise.
func (r *run) delayWarning(x bulrushlug.Job) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, b := x.Counts()
	if r.itemsDone == 0 || a+b >= x.Items() {
		return ""
	}
	each := time.Since(r.startedAt) / time.Duration(r.itemsDone)
	end := time.Now().Add(each * time.Duration(x.Items()-a-b))
	if !end.After(x.Due()) {
		return ""
	}
	return "at the current rate the job will end " + end.Sub(x.Due()).Round(time.Second).String() + " after its due time"
}

// Cancel stops the items; results of finished items are kept.
func (r *run) Cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelRequested = true
	if r.stopItems != nil {
		r.stopItems()
	}
}

func (r *run) cancelled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelRequested
}

// finish replaces the record with what f returns, which is final, and removes the open marker of the job.
func (r *run) finish(c context.Context, f func(x bulrushlug.Job) (bulrushlug.Job, error)) error {
	if !r.cancelled() && c.Err() != nil {
		return c.Err()
	}
	for {
		x, err := r.jobs.Update(c, r.job.Organisation(), r.job.ID(), func(x bulrushlug.Job) (bulrushlug.Job, error) {
			if err := r.checkOwner(x); err != nil {
				return x, err
			}
			return f(x)
		})
		switch {
		case err == nil:
			r.recorder.Record(bulrushlug.NewEvent("jobEnd", bulrushlug.ForJob(x.ID(), x.Organisation()),
				bulrushlug.WithDetail(string(x.Status()))))
			return r.jobs.RemoveOpen(c, x.ID())
		case errors.Is(err, errNotOwner):
			return err
		case bulrushlug.KindOf(err) == bulrushlug.KindNotFound: // The record is gone: nobody reads a result.
			return errors.Join(err, r.jobs.RemoveOpen(c, r.job.ID()))
		}
		if err := bulrushlug.Sleep(c, storeRetryDelay); err != nil {
			return err
		}
	}
}

// finalStatus returns x with its final status once the chunks of f have run.
func finalStatus(x bulrushlug.Job, f bulrushlug.File) (bulrushlug.Job, error) {
	a, b := x.Counts()
	switch {
	case a+b == x.Items():
		return withFinalStatus(x, bulrushlug.StatusCompleted, ""), nil
	case x.Status() == bulrushlug.StatusCancelling:
		return withFinalStatus(x, bulrushlug.StatusCancelled, ""), nil
	}
	return x, bulrushlug.Errorf(bulrushlug.KindInternal, "job %s has results of %d of %d chunks", x.ID(), len(x.Results()), len(f.Chunks()))
}

func withFinalStatus(x bulrushlug.Job, s bulrushlug.Status, problem string) bulrushlug.Job {
	return x.With(bulrushlug.JobStatus(s, problem), bulrushlug.JobTimes(x.Created(), x.Due(), time.Now()))
}
