// Package jobs keeps the records of files and batch jobs in the key-value service.
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
	filePrefix = "batch/file/"
	jobPrefix  = "batch/job/"
	openPrefix = "batch/open/"
	retryPause = 100 * time.Millisecond // Pause before a write is tried again.
	writeTime  = 5 * time.Second        // Bounds one change of a record.
	idBytes    = 16                     // Bytes of the hash in an identifier.
)

// Store reads and writes records.
type Store struct{ store bulrushlug.Store }

// New returns the records in k.
func New(k bulrushlug.Store) *Store { return &Store{store: k} }

// ID returns the identifier of the job that organisation o creates with idempotency key k; an empty key gives a new one.
func ID(o, k string) string {
	if k == "" {
		k = uuid.NewString()
	}
	h := sha256.Sum256([]byte(o + "\x00" + k))
	return "batch_" + hex.EncodeToString(h[:idBytes])
}

// create writes v under k unless there is a record already; it returns the record that stands there in the end.
func (j *Store) create(c context.Context, k string, v []byte) ([]byte, error) {
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
		if bulrushlug.Sleep(c, retryPause) != nil {
			return nil, err
		}
	}
}

// AddFile keeps the record of f.
func (j *Store) AddFile(c context.Context, f bulrushlug.File) error {
	c, stop := context.WithTimeout(c, writeTime)
	defer stop()
	b, err := codec.EncodeFile(f)
	if err != nil {
		return err
	}
	_, err = j.create(c, fileKey(f.Organisation(), f.ID()), b)
	return err
}

// File returns the record of file i of organisation o.
func (j *Store) File(c context.Context, o, i string) (bulrushlug.File, error) {
	x, err := j.get(c, fileKey(o, i), "file "+i)
	if err != nil {
		return bulrushlug.File{}, err
	}
	return codec.DecodeFile(x.Value())
}

// Files returns the records of all files of organisation o; an empty one selects all.
func (j *Store) Files(c context.Context, o string) ([]bulrushlug.File, error) {
	return list(c, j.store, scope(filePrefix, o), codec.DecodeFile)
}

// Jobs returns the records of all jobs of organisation o; an empty one selects all.
func (j *Store) Jobs(c context.Context, o string) ([]bulrushlug.Job, error) {
	return list(c, j.store, scope(jobPrefix, o), codec.DecodeJob)
}

func scope(p, o string) string {
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
		return i, bulrushlug.Errorf(bulrushlug.KindNotFound, "there is no %s", name)
	}
	return i, nil
}

// DeleteFile removes the record of file i of organisation o.
func (j *Store) DeleteFile(c context.Context, o, i string) error {
	k := fileKey(o, i)
	x, err := j.get(c, k, "file "+i)
	if err != nil {
		return err
	}
	return j.store.Delete(c, k, x.Revision())
}

// UpdateFile writes what f makes of the record of file i of organisation o.
func (j *Store) UpdateFile(c context.Context, o, i string, f func(bulrushlug.File) bulrushlug.File) error {
	g := func(x bulrushlug.File) (bulrushlug.File, error) { return f(x), nil }
	_, err := update(c, j, fileKey(o, i), "file "+i, g, codec.DecodeFile, codec.EncodeFile)
	return err
}

// update writes what f makes of the record under k, and returns it; it starts again where another write came first.
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

// Create keeps the record of x and marks it as open; where a job with its identifier exists, that one is returned.
func (j *Store) Create(c context.Context, x bulrushlug.Job) (bulrushlug.Job, error) {
	c, stop := context.WithTimeout(c, writeTime)
	defer stop()
	b, err := codec.EncodeJob(x)
	if err != nil {
		return x, err
	}
	b, err = j.create(c, jobKey(x.Organisation(), x.ID()), b)
	if err != nil {
		return x, err
	}
	y, err := codec.DecodeJob(b)
	if err != nil || y.Status().Final() {
		return y, err
	}
	return y, j.mark(c, y)
}

func fileKey(o, i string) string { return filePrefix + o + "/" + i }

func jobKey(o, i string) string { return jobPrefix + o + "/" + i }

// mark makes the job visible to the processes that run jobs.
func (j *Store) mark(c context.Context, x bulrushlug.Job) error {
	b, err := codec.JSON(&wire.OpenJob{Id: x.ID(), Organisation: x.Organisation()})
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, x.ID(), err)
	}
	_, err = j.create(c, openPrefix+x.ID(), b)
	return err
}

// Job returns the record of job i of organisation o.
func (j *Store) Job(c context.Context, o, i string) (bulrushlug.Job, error) {
	x, err := j.get(c, jobKey(o, i), "batch "+i)
	if err != nil {
		return bulrushlug.Job{}, err
	}
	return codec.DecodeJob(x.Value())
}

// Update writes what f makes of the record of job i of organisation o, and returns it.
//
// f may be called several times and says no by an error. Where the answer to the write is lost, an error is
// returned though the write may have taken effect.
func (j *Store) Update(c context.Context, o, i string, f func(bulrushlug.Job) (bulrushlug.Job, error)) (bulrushlug.Job, error) {
	return update(c, j, jobKey(o, i), "batch "+i, f, codec.DecodeJob, codec.EncodeJob)
}

// Cancel asks that job i of organisation o stops, and returns its record.
func (j *Store) Cancel(c context.Context, o, i string) (bulrushlug.Job, error) {
	c, stop := context.WithTimeout(c, writeTime)
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

// ListOpen returns the marks of all jobs that are not final.
func (j *Store) ListOpen(c context.Context) ([]bulrushlug.OpenJob, error) {
	return list(c, j.store, openPrefix, func(b []byte) (bulrushlug.OpenJob, error) {
		w, err := codec.ParseJSON[wire.OpenJob](b)
		if err != nil {
			return bulrushlug.OpenJob{}, bulrushlug.WrapError(bulrushlug.KindInternal, openPrefix, err)
		}
		return bulrushlug.NewOpenJob(w.Id, w.Organisation, w.Cancel), nil
	})
}

// RemoveOpen removes the mark of job i, whose record is final.
func (j *Store) RemoveOpen(c context.Context, i string) error {
	x, err := j.store.Get(c, openPrefix+i)
	if err != nil || x.Revision() == 0 {
		return err
	}
	return j.store.Delete(c, openPrefix+i, x.Revision())
}

// DeleteJob removes the record of job x, which is final.
func (j *Store) DeleteJob(c context.Context, x bulrushlug.Job) error {
	k := jobKey(x.Organisation(), x.ID())
	i, err := j.store.Get(c, k)
	if err != nil || i.Revision() == 0 {
		return err
	}
	return j.store.Delete(c, k, i.Revision())
}
