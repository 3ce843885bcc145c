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
		Id:           []byte(r.ID()),
		Attempt:      r.Attempt(),
		Organisation: r.Organisation(),
		Model:        []byte(r.Model()),
		Route:        r.Route(),
		Method:       r.Method(),
		Path:         []byte(r.Path()),
		ContentType:  []byte(r.ContentType()),
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
		bulrushlug.WithModel(string(w.Model)),
		bulrushlug.WithRoute(w.Route),
		bulrushlug.WithCall(w.Method, string(w.Path), string(w.ContentType), w.Body),
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
	return bulrushlug.NewRequest(string(w.Id), o...)
}

// EncodeError encodes the kind, message and retry delay of err.
func EncodeError(err error) *wire.Problem {
	k := bulrushlug.KindOf(err)
	return &wire.Problem{
		Kind:         k.String(),
		Message:      validText(err.Error()),
		Ran:          k.Response().MayHaveRun(),
		RetryAfterMs: uint64(bulrushlug.RetryAfterOf(err).Milliseconds()),
	}
}

// DecodeError decodes an error; an unknown kind becomes KindInternal.
func DecodeError(w *wire.Problem) *bulrushlug.Error {
	f := bulrushlug.Errorf(bulrushlug.ParseKind(w.GetKind()), "%s", w.GetMessage())
	return f.WithRetryAfter(time.Duration(w.GetRetryAfterMs()) * time.Millisecond)
}

// validText returns s with a replacement character for each run of bytes that is not UTF-8, for texts that people read.
func validText(s string) string { return strings.ToValidUTF8(s, "\uFFFD") }

// EncodeEvent encodes e.
func EncodeEvent(e bulrushlug.Event) *wire.Event {
	return &wire.Event{
		Stamp:        e.Timestamp(),
		Vm:           e.VM(),
		What:         e.Name(),
		Request:      validText(e.Request()),
		Job:          validText(e.Job()),
		Organisation: validText(e.Organisation()),
		Detail:       validText(e.Detail()),
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
