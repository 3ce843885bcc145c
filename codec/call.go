package codec

import (
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// EncodeCall encodes r; its deadline becomes the remaining time in milliseconds, at least one, since zero stands for none.
func EncodeCall(r *bulrushlug.Request) *wire.Call {
	w := &wire.Call{
		Id:           r.ID(),
		Attempt:      r.Attempt(),
		Organisation: r.Organisation(),
		Model:        r.Model(),
		Route:        r.Route(),
		Method:       r.Method(),
		Path:         r.Path(),
		ContentType:  r.ContentType(),
		Body:         r.Body(),
		Stream:       r.Stream(),
		Batch:        r.Batch(),
		Job:          r.Job(),
		Idempotent:   r.Idempotent(),
		ResumeFrom:   r.ResumeFrom(),
	}
	if !r.Deadline().IsZero() {
		w.DeadlineMs = uint64(max(1, time.Until(r.Deadline()).Milliseconds()))
	}
	return w
}

// DecodeCall decodes a request; its deadline is the remaining time added to the local clock.
func DecodeCall(w *wire.Call) *bulrushlug.Request {
	o := []bulrushlug.RequestOption{
		bulrushlug.WithAttempt(w.Attempt),
		bulrushlug.WithOrganisation(w.Organisation),
		bulrushlug.WithModel(w.Model),
		bulrushlug.WithRoute(w.Route),
		bulrushlug.WithCall(w.Method, w.Path, w.ContentType, w.Body),
		bulrushlug.WithStream(w.Stream),
		bulrushlug.WithIdempotent(w.Idempotent),
		bulrushlug.WithResumeFrom(w.ResumeFrom),
	}
	if w.Batch {
		o = append(o, bulrushlug.WithBatch(w.Job))
	}
	if w.DeadlineMs > 0 {
		o = append(o, bulrushlug.WithDeadline(time.Now().Add(time.Duration(w.DeadlineMs)*time.Millisecond)))
	}
	return bulrushlug.NewRequest(w.Id, o...)
}

// EncodeError encodes the kind, message and retry delay of err.
func EncodeError(err error) *wire.Problem {
	k := bulrushlug.KindOf(err)
	return &wire.Problem{
		Kind:         k.String(),
		Message:      strings.ToValidUTF8(err.Error(), "\uFFFD"),
		Ran:          k.Response().MayHaveRun(),
		RetryAfterMs: uint64(bulrushlug.RetryAfterOf(err).Milliseconds()),
	}
}

// DecodeError decodes an error; an unknown kind becomes KindInternal.
func DecodeError(w *wire.Problem) *bulrushlug.Error {
	f := bulrushlug.Errorf(bulrushlug.ParseKind(w.GetKind()), "%s", w.GetMessage())
	return f.WithRetryAfter(time.Duration(w.GetRetryAfterMs()) * time.Millisecond)
}

// EncodeEvent encodes e.
func EncodeEvent(e bulrushlug.Event) *wire.Event {
	return &wire.Event{
		Stamp:        e.Timestamp(),
		Vm:           e.VM(),
		What:         e.Name(),
		Request:      e.Request(),
		Job:          e.Job(),
		Organisation: e.Organisation(),
		Detail:       e.Detail(),
	}
}

// DecodeEvent decodes an event.
func DecodeEvent(w *wire.Event) bulrushlug.Event {
	o := []bulrushlug.EventOption{
		bulrushlug.ForIDs(w.Request, w.Job, w.Organisation),
		bulrushlug.WithDetail(w.Detail),
	}
	return bulrushlug.NewEvent(w.What, o...).WithOrigin(w.Vm, w.Stamp)
}
