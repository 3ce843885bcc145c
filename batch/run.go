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
	openChunks  = 32                     // Chunks of all jobs that are open at once.
	jobChunks   = 4                      // Chunks of one job that are open at once.
	commitPause = 500 * time.Millisecond // Time between two commits of one job.
	storePause  = time.Second            // Pause before a failed read or write is tried again.
)

var errNotOwner = bulrushlug.Errorf(bulrushlug.KindConflict, "another process owns the job")

// run is one ownership of one job.
type run struct {
	*Runner
	job  bulrushlug.Job // As claimed; its results are those committed before.
	stop context.CancelFunc
	done chan struct{} // Closed when the run has ended.

	mu      sync.Mutex // Guards the fields below.
	cancel  bool       // The job was cancelled.
	halt    context.CancelFunc
	pending []bulrushlug.Result // Not yet committed.
	began   time.Time
	items   uint64 // Items finished by this run.
}

// execute runs all chunks that have no result, and finishes the job.
func (r *run) execute(c context.Context) error {
	f, err := r.input(c)
	if bulrushlug.KindOf(err) == bulrushlug.KindNotFound {
		return r.finish(c, func(x bulrushlug.Job) (bulrushlug.Job, error) {
			return ended(x, bulrushlug.StatusFailed, err.Error()), nil
		})
	}
	if err != nil {
		return err
	}
	w, halt := context.WithCancel(c)
	defer halt()
	r.mu.Lock()
	r.halt, r.began = halt, time.Now()
	if r.cancel {
		halt()
	}
	r.mu.Unlock()
	committed := make(chan error, 1)
	q := make(chan struct{})
	go func() { committed <- r.commits(c, q, halt) }()
	r.chunks(c, w, f)
	close(q)
	if err := <-committed; err != nil {
		return err
	}
	return r.finish(c, func(x bulrushlug.Job) (bulrushlug.Job, error) { return final(x, f) })
}

// input reads the record of the input file until the store answers.
func (r *run) input(c context.Context) (bulrushlug.File, error) {
	for {
		f, err := r.jobs.File(c, r.job.Organisation(), r.job.Input())
		if err == nil || bulrushlug.KindOf(err) == bulrushlug.KindNotFound {
			return f, err
		}
		if err := bulrushlug.Sleep(c, storePause); err != nil {
			return f, err
		}
	}
}

// chunks runs the chunks of f that have no result, a few at a time, until w ends.
func (r *run) chunks(c, w context.Context, f bulrushlug.File) {
	have := map[uint32]bool{}
	for _, x := range r.job.Results() {
		have[x.Chunk()] = true
	}
	slots := make(chan struct{}, jobChunks)
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
			if r.open.Acquire(w, r.job.Organisation(), r.job.Due()) != nil {
				return
			}
			defer r.open.Release(r.job.Organisation(), false)
			r.chunk(c, w, uint32(i), p)
		})
	}
	g.Wait()
}

// chunk runs the items of chunk n until w ends, and queues its result; if the job is cancelled, what is done is kept.
func (r *run) chunk(c, w context.Context, n uint32, p bulrushlug.ChunkRef) {
	b, err := r.read(w, p)
	if err != nil {
		return
	}
	l := bytes.Split(bytes.TrimRight(b, "\n"), []byte("\n"))
	o := make([]outcome, len(l))
	var g sync.WaitGroup
	for i, x := range l {
		g.Go(func() {
			if y, err := r.item(w, n, i, x); err == nil {
				o[i] = y
			}
		})
	}
	g.Wait()
	if w.Err() != nil && !r.cancelled() {
		return
	}
	if err := r.keep(c, n, o); err != nil {
		return
	}
}

// read fetches a chunk until one of its copies answers.
func (r *run) read(c context.Context, p bulrushlug.ChunkRef) ([]byte, error) {
	for {
		b, err := r.copies.Get(c, p)
		if err == nil {
			return b, nil
		}
		r.recorder.Record(bulrushlug.NewEvent("chunkUnreadable",
			bulrushlug.ForJob(r.job.ID(), r.job.Organisation()), bulrushlug.WithDetail(err.Error())))
		if err := bulrushlug.Sleep(c, storePause); err != nil {
			return nil, err
		}
	}
}

// keep stores the lines in o as the result of chunk n.
func (r *run) keep(c context.Context, n uint32, o []outcome) error {
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
	a, err := r.put(c, "out", n, done, out.Bytes())
	if err != nil {
		return err
	}
	e, err := r.put(c, "err", n, failed, bad.Bytes())
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items += uint64(done + failed)
	r.pending = append(r.pending, bulrushlug.NewResult(n, done, failed, a, e))
	return nil
}

// put stores b until enough data VMs have it; an empty b needs no storing.
func (r *run) put(c context.Context, kind string, n, items uint32, b []byte) (bulrushlug.ChunkRef, error) {
	if items == 0 {
		return bulrushlug.ChunkRef{}, nil
	}
	f := fmt.Sprintf("%s-%s-%d", kind, r.job.ID(), r.job.Fence())
	for {
		p, err := r.copies.Put(c, f, n, items, b)
		if err == nil {
			return p, nil
		}
		r.recorder.Record(bulrushlug.NewEvent("resultNotStored",
			bulrushlug.ForJob(r.job.ID(), r.job.Organisation()), bulrushlug.WithDetail(err.Error())))
		if err := bulrushlug.Sleep(c, storePause); err != nil {
			return p, err
		}
	}
}

// commits writes queued results until q closes and all are written; it stops the chunks if the job is no longer owned.
func (r *run) commits(c context.Context, q <-chan struct{}, halt func()) error {
	for {
		last := false
		select {
		case <-q:
			last = true
		case <-time.After(commitPause):
		case <-c.Done():
			return c.Err()
		}
		err := r.commit(c)
		switch {
		case errors.Is(err, errNotOwner), bulrushlug.KindOf(err) == bulrushlug.KindNotFound:
			halt()
			return err
		case err == nil && last && r.queued() == 0:
			return nil
		case err != nil:
			if err := bulrushlug.Sleep(c, storePause); err != nil {
				return err
			}
		}
	}
}

func (r *run) queued() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// commit writes the queued results into the record, if this run still owns the job.
func (r *run) commit(c context.Context) error {
	r.mu.Lock()
	l := r.pending
	r.mu.Unlock()
	if len(l) == 0 {
		return nil
	}
	x, err := r.jobs.Update(c, r.job.Organisation(), r.job.ID(), func(x bulrushlug.Job) (bulrushlug.Job, error) {
		if err := r.owns(x); err != nil {
			return x, err
		}
		x = x.WithResults(l)
		return x.With(bulrushlug.JobStatus(x.Status(), r.late(x))), nil
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

// owns returns an error if x is owned by another run.
func (r *run) owns(x bulrushlug.Job) error {
	if x.Fence() != r.job.Fence() || x.Owner() != r.self || x.Status().Final() {
		return errNotOwner
	}
	return nil
}

// late returns the warning that x will miss its due time at the present pace, or nothing.
func (r *run) late(x bulrushlug.Job) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, b := x.Counts()
	if r.items == 0 || a+b >= x.Items() {
		return ""
	}
	each := time.Since(r.began) / time.Duration(r.items)
	end := time.Now().Add(each * time.Duration(x.Items()-a-b))
	if !end.After(x.Due()) {
		return ""
	}
	return "at the present pace the job ends " + end.Sub(x.Due()).Round(time.Second).String() + " after it is due"
}

// Cancel stops the items; what is finished is kept.
func (r *run) Cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = true
	if r.halt != nil {
		r.halt()
	}
}

func (r *run) cancelled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancel
}

// finish makes the record what f returns, which is final, and removes the mark of the job.
func (r *run) finish(c context.Context, f func(x bulrushlug.Job) (bulrushlug.Job, error)) error {
	if !r.cancelled() && c.Err() != nil {
		return c.Err()
	}
	for {
		x, err := r.jobs.Update(c, r.job.Organisation(), r.job.ID(), func(x bulrushlug.Job) (bulrushlug.Job, error) {
			if err := r.owns(x); err != nil {
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
		}
		if err := bulrushlug.Sleep(c, storePause); err != nil {
			return err
		}
	}
}

// final returns x with its last status, after the chunks of f were run.
func final(x bulrushlug.Job, f bulrushlug.File) (bulrushlug.Job, error) {
	a, b := x.Counts()
	switch {
	case a+b == x.Items():
		return ended(x, bulrushlug.StatusCompleted, ""), nil
	case x.Status() == bulrushlug.StatusCancelling:
		return ended(x, bulrushlug.StatusCancelled, ""), nil
	}
	return x, bulrushlug.Errorf(bulrushlug.KindInternal, "job %s has %d of %d chunks", x.ID(), len(x.Results()), len(f.Chunks()))
}

func ended(x bulrushlug.Job, s bulrushlug.Status, problem string) bulrushlug.Job {
	return x.With(bulrushlug.JobStatus(s, problem), bulrushlug.JobTimes(x.Created(), x.Due(), time.Now()))
}
