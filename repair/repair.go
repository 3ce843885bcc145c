// Package repair copies chunks whose VMs are gone, and removes what has outlived its retention.
package repair

import (
	"context"
	"errors"
	"expvar"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/copies"
	"bulrushlug.dev/bulrushlug/jobs"
	"bulrushlug.dev/bulrushlug/rank"
)

const (
	lookPause  = 10 * time.Second // Time between two looks at the VMs that hold chunks.
	sweepPause = 10 * time.Minute // Time between two sweeps.
	roundTime  = 5 * time.Minute  // Bounds one round.
)

// Repair works through the records of all organisations; each record is the duty of one data VM.
type Repair struct {
	self      string
	jobs      *jobs.Store
	copies    *copies.Replicator
	roster    bulrushlug.Roster
	retention time.Duration
	recorder  bulrushlug.Recorder
	counts    *expvar.Map
	known     map[string]bool // Data VMs that were listed; only Run uses it.
	swept     time.Time       // When the last sweep ended; only Run uses it.
}

// New returns the repair on VM v; files and jobs are removed d after they are final.
func New(v string, j *jobs.Store, x *copies.Replicator, g bulrushlug.Roster, d time.Duration, e bulrushlug.Recorder, m *expvar.Map) *Repair {
	return &Repair{self: v, jobs: j, copies: x, roster: g, retention: d, recorder: e, counts: m, known: map[string]bool{}}
}

// Run repairs and sweeps until c ends.
func (r *Repair) Run(c context.Context) error {
	for bulrushlug.Sleep(c, lookPause) == nil {
		if r.lost() {
			r.round(c, r.mend)
		}
		if time.Since(r.swept) > sweepPause {
			r.round(c, r.mend)
			r.round(c, r.sweep)
			r.swept = time.Now()
		}
	}
	return nil
}

// lost reports whether a data VM that was listed is gone.
func (r *Repair) lost() bool {
	for _, m := range r.roster.Members() {
		if m.Data() {
			r.known[m.Name()] = true
		}
	}
	lost := false
	for v := range r.known {
		if r.roster.Gone(v) {
			delete(r.known, v)
			lost = true
			r.recorder.Record(bulrushlug.NewEvent("dataVMLost", bulrushlug.WithDetail(v)))
		}
	}
	return lost
}

// round runs f, bounded in time.
func (r *Repair) round(c context.Context, f func(context.Context) error) {
	c, stop := context.WithTimeout(c, roundTime)
	defer stop()
	if err := f(c); err != nil {
		r.counts.Add("repairFailed", 1)
		r.recorder.Record(bulrushlug.NewEvent("repairFailed", bulrushlug.WithDetail(err.Error())))
	}
}

// mine reports whether the record with identifier id is the duty of this VM.
func (r *Repair) mine(id string) bool {
	var l []string
	for _, m := range r.roster.Members() {
		if m.Data() && !m.Leaving() {
			l = append(l, m.Name())
		}
	}
	return rank.First(id, l, func(string) bool { return true }) == r.self
}

// mend makes new copies of all chunks that lost one.
func (r *Repair) mend(c context.Context) error {
	l, err := r.jobs.Files(c, "")
	if err != nil {
		return err
	}
	var failed error
	for _, f := range l {
		if r.mine(f.ID()) {
			failed = errors.Join(failed, r.mendFile(c, f))
		}
	}
	x, err := r.jobs.Jobs(c, "")
	if err != nil {
		return err
	}
	for _, j := range x {
		if r.mine(j.ID()) {
			failed = errors.Join(failed, r.mendJob(c, j))
		}
	}
	return failed
}

func (r *Repair) mendFile(c context.Context, f bulrushlug.File) error {
	fixed := map[int]bulrushlug.ChunkRef{}
	for i, p := range f.Chunks() {
		q, changed, err := r.copies.Repair(c, p, r.roster.Gone)
		if err != nil {
			return err
		}
		if changed {
			fixed[i] = q
		}
	}
	if len(fixed) == 0 {
		return nil
	}
	r.counts.Add("chunksRepaired", int64(len(fixed)))
	return r.jobs.UpdateFile(c, f.Organisation(), f.ID(), func(f bulrushlug.File) bulrushlug.File {
		for i, p := range fixed {
			f = f.WithPart(i, p)
		}
		return f
	})
}

func (r *Repair) mendJob(c context.Context, j bulrushlug.Job) error {
	fixed := map[uint32]bulrushlug.Result{}
	for _, x := range j.Results() {
		a, m, err := r.copies.Repair(c, x.Output(), r.roster.Gone)
		if err != nil {
			return err
		}
		b, n, err := r.copies.Repair(c, x.Errors(), r.roster.Gone)
		if err != nil {
			return err
		}
		if m || n {
			fixed[x.Chunk()] = bulrushlug.NewResult(x.Chunk(), x.Done(), x.Failed(), a, b)
		}
	}
	if len(fixed) == 0 {
		return nil
	}
	r.counts.Add("chunksRepaired", int64(len(fixed)))
	_, err := r.jobs.Update(c, j.Organisation(), j.ID(), func(j bulrushlug.Job) (bulrushlug.Job, error) {
		return replace(j, fixed), nil
	})
	return err
}

// replace puts the results in m in place of those of the same chunks.
func replace(j bulrushlug.Job, m map[uint32]bulrushlug.Result) bulrushlug.Job {
	var l []bulrushlug.Result
	for _, x := range j.Results() {
		if y, ok := m[x.Chunk()]; ok {
			x = y
		}
		l = append(l, x)
	}
	return j.With(bulrushlug.JobItems(j.Items(), l))
}

// sweep removes final jobs and files that no open job needs, once their retention has ended.
func (r *Repair) sweep(c context.Context) error {
	x, err := r.jobs.Jobs(c, "")
	if err != nil {
		return err
	}
	needed := map[string]bool{}
	for _, j := range x {
		if !j.Status().Final() {
			needed[j.Input()] = true
		} else if r.mine(j.ID()) && time.Since(j.Finished()) > r.retention {
			if err := r.dropJob(c, j); err != nil {
				return err
			}
		}
	}
	l, err := r.jobs.Files(c, "")
	if err != nil {
		return err
	}
	for _, f := range l {
		if !needed[f.ID()] && r.mine(f.ID()) && time.Since(f.Created()) > r.retention {
			if err := r.dropFile(c, f); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Repair) dropJob(c context.Context, j bulrushlug.Job) error {
	if err := r.jobs.DeleteJob(c, j); err != nil {
		return err
	}
	for _, x := range j.Results() {
		r.copies.Drop(c, x.Output())
		r.copies.Drop(c, x.Errors())
	}
	return nil
}

// dropFile removes the record of f and then its chunks.
func (r *Repair) dropFile(c context.Context, f bulrushlug.File) error {
	if err := r.jobs.DeleteFile(c, f.Organisation(), f.ID()); err != nil {
		return err
	}
	for _, p := range f.Chunks() {
		r.copies.Drop(c, p)
	}
	return nil
}
