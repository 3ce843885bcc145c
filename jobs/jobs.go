// Package jobs stores the records of files and batch jobs in the key-value service.
package jobs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	filePrefix   = "batch/file/"
	jobPrefix    = "batch/job/"
	openPrefix   = "batch/open/"
	retryDelay   = 100 * time.Millisecond // Delay before a failed write is retried.
	writeTimeout = 5 * time.Second        // Timeout of one change of a record.
	idBytes      = 16                     // Bytes of the hash in a job's identifier.
)

// Store reads and writes the records of files and batch jobs.
type Store struct{ store bulrushlug.Store }

// New returns a store that keeps its records in the key-value service k.
func New(k bulrushlug.Store) *Store { return &Store{store: k} }

// ID returns the identifier of the job that organisation o creates with idempotency key k, or a random one if k is
// empty.
func ID(o, k string) string {
	if k == "" {
		k = uuid.NewString()
	}
	h := sha256.Sum256([]byte(o + "\x00" + k))
	return "batch_" + hex.EncodeToString(h[:idBytes])
}

// createIfAbsent writes v under k if there is no record, and returns the record that is there afterwards.
func (j *Store) createIfAbsent(c context.Context, k string, v []byte) ([]byte, error) {
	for {
		_, err := j.store.CompareAndSwap(c, k, v, 0)
		if err == nil {
			return v, nil
		}
		if bulrushlug.KindOf(err) == bulrushlug.KindTooLarge {
			return nil, err
		}
		i, e := j.store.Get(c, k)
		if e == nil && i.Revision() > 0 {
			return i.Value(), nil
		}
		if bulrushlug.Sleep(c, retryDelay) != nil {
			return nil, err
		}
	}
}

// AddFile stores the record of f.
func (j *Store) AddFile(c context.Context, f bulrushlug.File) error {
	c, stop := context.WithTimeout(c, writeTimeout)
	defer stop()
	b, err := codec.EncodeFile(f)
	if err != nil {
		return err
	}
	_, err = j.createIfAbsent(c, fileKey(f.Organisation(), f.ID()), b)
	return err
}

// File returns the record of file i of organisation o, or KindNotFound.
func (j *Store) File(c context.Context, o, i string) (bulrushlug.File, error) {
	x, err := j.get(c, fileKey(o, i), "file "+i)
	if err != nil {
		return bulrushlug.File{}, err
	}
	return codec.DecodeFile(x.Value())
}

// Files returns the records of all files of organisation o, or of all organisations if o is empty.
func (j *Store) Files(c context.Context, o string) ([]bulrushlug.File, error) {
	return list(c, j.store, keyPrefix(filePrefix, o), codec.DecodeFile)
}

// Jobs returns the records of all jobs of organisation o, or of all organisations if o is empty.
func (j *Store) Jobs(c context.Context, o string) ([]bulrushlug.Job, error) {
	return list(c, j.store, keyPrefix(jobPrefix, o), codec.DecodeJob)
}

func keyPrefix(p, o string) string {
	if o == "" {
		return p
	}
	return p + o + "/"
}

func list[T any](c context.Context, k bulrushlug.Store, p string, f func([]byte) (T, error)) ([]T, error) {
	l, _, err := k.List(c, p)
	if err != nil {
		return nil, err
	}
	var o []T
	for _, i := range l {
		x, err := f(i.Value())
		if err != nil {
			return nil, err
		}
		o = append(o, x)
	}
	return o, nil
}

func (j *Store) get(c context.Context, k, name string) (bulrushlug.KVEntry, error) {
	i, err := j.store.Get(c, k)
	if err != nil {
		return i, err
	}
	if i.Revision() == 0 {
		return i, bulrushlug.Errorf(bulrushlug.KindNotFound, "%s does not exist", name)
	}
	return i, nil
}

// DeleteFile deletes the record of file i of organisation o.
func (j *Store) DeleteFile(c context.Context, o, i string) error {
	k := fileKey(o, i)
	x, err := j.get(c, k, "file "+i)
	if err != nil {
		return err
	}
	return j.store.Delete(c, k, x.Revision())
}

// UpdateFile replaces the record of file i of organisation o with what f returns for it.
func (j *Store) UpdateFile(c context.Context, o, i string, f func(bulrushlug.File) bulrushlug.File) error {
	g := func(x bulrushlug.File) (bulrushlug.File, error) { return f(x), nil }
	_, err := update(c, j, fileKey(o, i), "file "+i, g, codec.DecodeFile, codec.EncodeFile)
	return err
}

// update replaces the record under k with what f returns for it, by optimistic concurrency control: after a conflicting
// write it reads the record and calls f again.
func update[T any](c context.Context, j *Store, k, name string, f func(T) (T, error), decode func([]byte) (T, error), encode func(T) ([]byte, error)) (T, error) {
	for {
		x, err := j.get(c, k, name)
		if err != nil {
			var none T
			return none, err
		}
		r, err := decode(x.Value())
		if err != nil {
			return r, err
		}
		y, err := f(r)
		if err != nil {
			return r, err
		}
		b, err := encode(y)
		if err != nil {
			return r, err
		}
		_, err = j.store.CompareAndSwap(c, k, b, x.Revision())
		if bulrushlug.KindOf(err) != bulrushlug.KindConflict {
			return y, err
		}
	}
}

// Create stores the record of x and an open marker; if a job with its identifier exists, it returns that job.
func (j *Store) Create(c context.Context, x bulrushlug.Job) (bulrushlug.Job, error) {
	c, stop := context.WithTimeout(c, writeTimeout)
	defer stop()
	b, err := codec.EncodeJob(x)
	if err != nil {
		return x, err
	}
	b, err = j.createIfAbsent(c, jobKey(x.Organisation(), x.ID()), b)
	if err != nil {
		return x, err
	}
	y, err := codec.DecodeJob(b)
	if err != nil || y.Status().Final() {
		return y, err
	}
	return y, j.markOpen(c, y)
}

func fileKey(o, i string) string { return filePrefix + o + "/" + i }

func jobKey(o, i string) string { return jobPrefix + o + "/" + i }

// markOpen writes the open marker, by which the processes that run jobs find the job.
func (j *Store) markOpen(c context.Context, x bulrushlug.Job) error {
	b, err := codec.JSON(&wire.OpenJob{Id: x.ID(), Organisation: x.Organisation()})
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, x.ID(), err)
	}
	_, err = j.createIfAbsent(c, openPrefix+x.ID(), b)
	return err
}

// Job returns the record of job i of organisation o, or KindNotFound.
func (j *Store) Job(c context.Context, o, i string) (bulrushlug.Job, error) {
	x, err := j.get(c, jobKey(o, i), "batch "+i)
	if err != nil {
		return bulrushlug.Job{}, err
	}
	return codec.DecodeJob(x.Value())
}

// Update replaces the record of job i of organisation o with what f returns for it, and returns the new record.
//
// f may be called several times; an error of f ends the update. If the response to the write is lost, Update returns
// an error although the write may have taken effect.
func (j *Store) Update(c context.Context, o, i string, f func(bulrushlug.Job) (bulrushlug.Job, error)) (bulrushlug.Job, error) {
	return update(c, j, jobKey(o, i), "batch "+i, f, codec.DecodeJob, codec.EncodeJob)
}

// Cancel marks job i of organisation o as cancelling and returns its record; KindConflict means that it is final.
func (j *Store) Cancel(c context.Context, o, i string) (bulrushlug.Job, error) {
	c, stop := context.WithTimeout(c, writeTimeout)
	defer stop()
	x, err := j.Update(c, o, i, func(x bulrushlug.Job) (bulrushlug.Job, error) {
		if x.Status().Final() {
			return x, bulrushlug.Errorf(bulrushlug.KindConflict, "batch %s is %s", i, x.Status())
		}
		return x.With(bulrushlug.JobStatus(bulrushlug.StatusCancelling, x.Problem())), nil
	})
	if err != nil {
		return x, err
	}
	return x, j.markCancelled(c, x)
}

func (j *Store) markCancelled(c context.Context, x bulrushlug.Job) error {
	b, err := codec.JSON(&wire.OpenJob{Id: x.ID(), Organisation: x.Organisation(), Cancel: true})
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, x.ID(), err)
	}
	for {
		i, err := j.store.Get(c, openPrefix+x.ID())
		if err != nil {
			return err
		}
		_, err = j.store.CompareAndSwap(c, openPrefix+x.ID(), b, i.Revision())
		if bulrushlug.KindOf(err) != bulrushlug.KindConflict {
			return err
		}
	}
}

// ListOpen returns the open markers, one for each job that is not final.
func (j *Store) ListOpen(c context.Context) ([]bulrushlug.OpenJob, error) {
	return list(c, j.store, openPrefix, func(b []byte) (bulrushlug.OpenJob, error) {
		w, err := codec.ParseJSON[wire.OpenJob](b)
		if err != nil {
			return bulrushlug.OpenJob{}, bulrushlug.WrapError(bulrushlug.KindInternal, openPrefix, err)
		}
		return bulrushlug.NewOpenJob(w.Id, w.Organisation, w.Cancel), nil
	})
}

// RemoveOpen deletes the open marker of job i, whose record is final.
func (j *Store) RemoveOpen(c context.Context, i string) error {
	x, err := j.store.Get(c, openPrefix+i)
	if err != nil || x.Revision() == 0 {
		return err
	}
	return j.store.Delete(c, openPrefix+i, x.Revision())
}

// DeleteJob deletes the record of job x, which is final.
func (j *Store) DeleteJob(c context.Context, x bulrushlug.Job) error {
	k := jobKey(x.Organisation(), x.ID())
	i, err := j.store.Get(c, k)
	if err != nil || i.Revision() == 0 {
		return err
	}
	return j.store.Delete(c, k, i.Revision())
}
