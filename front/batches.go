package front

import (
	"net/http"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/jobs"
	"bulrushlug.dev/bulrushlug/upload"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	defaultWindow = "24h"              // Completion window of a job that sets none.
	maxWindow     = 7 * 24 * time.Hour // Longest completion window.
)

// addBatch creates a job; a retry with the same idempotency key returns the existing job.
func (s *Server) addBatch(w http.ResponseWriter, r *http.Request, o string) error {
	b, err := s.body(w, r)
	if err != nil {
		return err
	}
	q, err := codec.ParseJSON[wire.ApiBatchRequest](b)
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, "body", err)
	}
	id := jobs.ID(o, r.Header.Get("Idempotency-Key"))
	x, err := s.newJob(r, o, id, q)
	if err != nil {
		return err
	}
	x, err = s.jobs.Create(r.Context(), x)
	if err != nil {
		return err
	}
	return reply(w, apiBatch(x))
}

// newJob validates q and returns the job for it.
func (s *Server) newJob(r *http.Request, o, id string, q *wire.ApiBatchRequest) (bulrushlug.Job, error) {
	switch q.Endpoint {
	case "/v1/chat/completions", "/v1/completions":
	default:
		return bulrushlug.Job{}, bulrushlug.Errorf(bulrushlug.KindBadRequest, "the endpoint %q can't be used in a batch", q.Endpoint)
	}
	if q.CompletionWindow == "" {
		q.CompletionWindow = defaultWindow
	}
	d, err := time.ParseDuration(q.CompletionWindow)
	if err != nil || d <= 0 || d > maxWindow {
		return bulrushlug.Job{}, bulrushlug.Errorf(bulrushlug.KindBadRequest, "completion_window %q is not a duration up to %s", q.CompletionWindow, maxWindow)
	}
	f, err := s.jobs.File(r.Context(), o, q.InputFileId)
	if err != nil {
		return bulrushlug.Job{}, err
	}
	if f.Purpose() != upload.PurposeBatch {
		return bulrushlug.Job{}, bulrushlug.Errorf(bulrushlug.KindBadRequest, "the purpose of file %s is %q, not batch", f.ID(), f.Purpose())
	}
	t := time.Now()
	return bulrushlug.NewJob(id, o, f.ID(), q.Endpoint,
		bulrushlug.JobTimes(t, t.Add(d), time.Time{}),
		bulrushlug.JobItems(f.Items(), nil),
		bulrushlug.JobMetadata(q.CompletionWindow, q.Metadata)), nil
}

func apiBatch(j bulrushlug.Job) *wire.ApiBatch {
	a, b := j.Counts()
	m := &wire.ApiBatch{
		Id:               j.ID(),
		Object:           "batch",
		Endpoint:         j.Endpoint(),
		InputFileId:      j.Input(),
		CompletionWindow: j.Window(),
		Status:           string(j.Status()),
		CreatedAt:        seconds(j.Created()),
		RequestCounts:    &wire.ApiCounts{Total: uint32(j.Items()), Completed: uint32(a), Failed: uint32(b)},
		Metadata:         j.Metadata(),
	}
	expires := seconds(j.Due())
	m.ExpiresAt = &expires
	if a > 0 {
		n := outputPrefix + j.ID()
		m.OutputFileId = &n
	}
	if b > 0 {
		n := errorsPrefix + j.ID()
		m.ErrorFileId = &n
	}
	if p := j.Problem(); p != "" {
		m.Problem = &p
	}
	if !j.Finished().IsZero() {
		n := seconds(j.Finished())
		m.CompletedAt = &n
	}
	return m
}

func (s *Server) listBatches(w http.ResponseWriter, r *http.Request, o string) error {
	l, err := s.jobs.Jobs(r.Context(), o)
	if err != nil {
		return err
	}
	a := &wire.ApiBatches{Object: "list"}
	for _, j := range l {
		a.Data = append(a.Data, apiBatch(j))
	}
	return reply(w, a)
}

func (s *Server) getBatch(w http.ResponseWriter, r *http.Request, o string) error {
	j, err := s.jobs.Job(r.Context(), o, r.PathValue("id"))
	if err != nil {
		return err
	}
	return reply(w, apiBatch(j))
}

func (s *Server) cancelBatch(w http.ResponseWriter, r *http.Request, o string) error {
	j, err := s.jobs.Cancel(r.Context(), o, r.PathValue("id"))
	if err != nil {
		return err
	}
	return reply(w, apiBatch(j))
}
