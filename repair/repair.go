// Package repair re-replicates chunks whose VMs are gone, and deletes jobs and files after their retention.
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
	checkInterval = 10 * time.Second // Time between two checks for lost data VMs.
	sweepInterval = 10 * time.Minute // Time between two full rounds.
	roundTimeout  = 5 * time.Minute  // Timeout of one round.
)

// Repairer maintains the records and chunks of all organisations; rendezvous hashing assigns each record to one data VM.
type Repairer struct {
	self       string
	jobs       *jobs.Store
	replicator *copies.Replicator
	roster     bulrushlug.Roster
	retention  time.Duration
	recorder   bulrushlug.Recorder
	counts     *expvar.Map
	known      map[string]bool // Data VMs that were listed and are not gone; only Run uses it.
	lastSweep  time.Time       // End of the last full round; only Run uses it.
	due        time.Time       // Next round of replication; zero for none before the next full one. Only Run uses it.
	backoff    time.Duration   // Time from the last round to due, if that round failed; only Run uses it.
}

// New returns the repairer of the process on VM v; jobs are deleted d after they are final, and files d after their
// creation.
func New(v string, j *jobs.Store, x *copies.Replicator, g bulrushlug.Roster, d time.Duration, e bulrushlug.Recorder, m *expvar.Map) *Repairer {
	return &Repairer{self: v, jobs: j, replicator: x, roster: g, retention: d, recorder: e, counts: m, known: map[string]bool{}}
}

// Run re-replicates chunks and deletes expired records until c ends.
func (r *Repairer) Run(c context.Context) error {
	for bulrushlug.Sleep(c, checkInterval) == nil {
		if r.dataVMLost() {
			r.due, r.backoff = time.Now(), 0
		}
		sweep := time.Since(r.lastSweep) > sweepInterval
		if sweep || !r.due.IsZero() && !time.Now().Before(r.due) {
			r.schedule(r.round(c, r.rereplicate))
		}
		if sweep {
			r.round(c, r.deleteExpired)
			r.lastSweep = time.Now()
		}
	}
	return nil
}

// schedule sets when chunks are replicated again: after a back-off if a round failed, not before the next sweep otherwise.
func (r *Repairer) schedule(ok bool) {
	if ok {
		r.due, r.backoff = time.Time{}, 0
		return
	}
	r.backoff = min(max(checkInterval, 2*r.backoff), sweepInterval)
	r.due = time.Now().Add(r.backoff)
}

// dataVMLost records the data VMs that have gone since the last call, and reports whether there are any.
func (r *Repairer) dataVMLost() bool {
	for _, m := range r.roster.Members() {
		if m.HasDataFolder() {
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

// round runs f with a timeout and reports whether it succeeded; an error is recorded.
func (r *Repairer) round(c context.Context, f func(context.Context) error) bool {
	c, stop := context.WithTimeout(c, roundTimeout)
	defer stop()
	if err := f(c); err != nil {
		r.counts.Add("repairFailed", 1)
		r.recorder.Record(bulrushlug.NewEvent("repairFailed", bulrushlug.WithDetail(err.Error())))
		return false
	}
	return true
}

// isAssigned reports whether the record with identifier id is assigned to this VM.
func (r *Repairer) isAssigned(id string) bool {
	var l []string
	for _, m := range r.roster.Members() {
		if m.HasDataFolder() && !m.Leaving() {
			l = append(l, m.Name())
		}
	}
	return rank.First(id, l, func(string) bool { return true }) == r.self
}

// rereplicate restores the replicas of all assigned chunks that lost one.
func (r *Repairer) rereplicate(c context.Context) error {
	l, err := r.jobs.Files(c, "")
	if err != nil {
		return err
	}
	var failed error
	for _, f := range l {
		if r.isAssigned(f.ID()) {
			failed = errors.Join(failed, r.rereplicateFile(c, f))
		}
	}
	x, err := r.jobs.Jobs(c, "")
	if err != nil {
		return err
	}
	for _, j := range x {
		if r.isAssigned(j.ID()) {
			failed = errors.Join(failed, r.rereplicateJob(c, j))
		}
	}
	return failed
}

func (r *Repairer) rereplicateFile(c context.Context, f bulrushlug.File) error {
	fixed := map[int]bulrushlug.ChunkRef{}
	var failed error
	for i, p := range f.Chunks() {
		q, changed, err := r.replicator.Repair(c, p, r.roster.Gone)
		failed = errors.Join(failed, err)
		if changed {
			fixed[i] = q
		}
	}
	if len(fixed) == 0 {
		return failed
	}
	r.counts.Add("chunksRepaired", int64(len(fixed)))
	return errors.Join(failed, r.jobs.UpdateFile(c, f.Organisation(), f.ID(), func(f bulrushlug.File) bulrushlug.File {
		for i, p := range fixed {
			f = f.WithChunk(i, p)
		}
		return f
	}))
}

func (r *Repairer) rereplicateJob(c context.Context, j bulrushlug.Job) error {
	fixed := map[uint32]bulrushlug.Result{}
	var failed error
	for _, x := range j.Results() {
		a, m, err := r.replicator.Repair(c, x.Output(), r.roster.Gone)
		failed = errors.Join(failed, err)
		b, n, err := r.replicator.Repair(c, x.Errors(), r.roster.Gone)
		failed = errors.Join(failed, err)
		if m || n {
			fixed[x.Chunk()] = bulrushlug.NewResult(x.Chunk(), x.Done(), x.Failed(), a, b)
		}
	}
	if len(fixed) == 0 {
		return failed
	}
	r.counts.Add("chunksRepaired", int64(len(fixed)))
	_, err := r.jobs.Update(c, j.Organisation(), j.ID(), func(j bulrushlug.Job) (bulrushlug.Job, error) {
		return replaceResults(j, fixed), nil
	})
	return errors.Join(failed, err)
}

// replaceResults returns j with the results of m in place of those of the same chunks.
func replaceResults(j bulrushlug.Job, m map[uint32]bulrushlug.Result) bulrushlug.Job {
	var l []bulrushlug.Result
	for _, x := range j.Results() {
		if y, ok := m[x.Chunk()]; ok {
			x = y
		}
		l = append(l, x)
	}
	return j.With(bulrushlug.JobItems(j.Items(), l))
}

// deleteExpired deletes assigned jobs that are final, and files that no open job reads, after their retention.
func (r *Repairer) deleteExpired(c context.Context) error {
	x, err := r.jobs.Jobs(c, "")
	if err != nil {
		return err
	}
	needed := map[string]bool{}
	for _, j := range x {
		if !j.Status().Final() {
			needed[j.Input()] = true
		} else if r.isAssigned(j.ID()) && time.Since(j.Finished()) > r.retention {
			if err := r.deleteJob(c, j); err != nil {
				return err
			}
		}
	}
	l, err := r.jobs.Files(c, "")
	if err != nil {
		return err
	}
	for _, f := range l {
		if !needed[f.ID()] && r.isAssigned(f.ID()) && time.Since(f.Created()) > r.retention {
			if err := r.deleteFile(c, f); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Repairer) deleteJob(c context.Context, j bulrushlug.Job) error {
	if err := r.jobs.DeleteJob(c, j); err != nil {
		return err
	}
	for _, x := range j.Results() {
		r.replicator.Drop(c, x.Output())
		r.replicator.Drop(c, x.Errors())
	}
	return nil
}

// deleteFile deletes the record of f and then its chunks.
func (r *Repairer) deleteFile(c context.Context, f bulrushlug.File) error {
	if err := r.jobs.DeleteFile(c, f.Organisation(), f.ID()); err != nil {
		return err
	}
	for _, p := range f.Chunks() {
		r.replicator.Drop(c, p)
	}
	return nil
}
