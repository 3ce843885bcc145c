package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/authn"
	"bulrushlug.dev/bulrushlug/sched"
)

const (
	maxItemAttempts  = 3                // Failed attempts after which an item is given up; a lack of capacity does not count.
	attemptTimeout   = 10 * time.Minute // Timeout of one attempt.
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	maxResponseBytes = 1 << 20 // Bytes of the response to one item.
)

// outcome is the line that an item adds to the output file or to the error file.
type outcome struct {
	line   []byte // Nil if the item was not finished.
	failed bool   // The line belongs in the error file.
}

// response collects the response to one item.
type response struct {
	status int
	body   bytes.Buffer
}

// Head records the status.
func (a *response) Head(n int, _ string) error {
	a.status = n
	return nil
}

// Write adds p to the body; a response that is too long fails with KindRejected.
func (a *response) Write(p []byte) error {
	if a.body.Len()+len(p) > maxResponseBytes {
		return bulrushlug.Errorf(bulrushlug.KindRejected, "the response is longer than %d bytes", maxResponseBytes)
	}
	a.body.Write(p)
	return nil
}

// runItem runs an item with retries and exponential back-off until it is done or given up; it fails only if c ends.
func (r *run) runItem(c context.Context, chunk uint32, n int, line []byte) (outcome, error) {
	id := r.job.ID() + "-" + strconv.Itoa(int(chunk)) + "-" + strconv.Itoa(n)
	if err := r.validate(line); err != nil {
		return failedLine(id, line, err), nil
	}
	failures, backoff := 0, initialBackoff
	for attempt := uint32(1); ; attempt++ {
		a, err := r.attempt(c, id, attempt, line)
		if c.Err() != nil {
			return outcome{}, c.Err()
		}
		switch {
		case err == nil:
			return responseLine(id, line, a), nil
		case !sched.IsCapacityError(err):
			if failures++; failures >= maxItemAttempts || isPermanent(err) {
				return failedLine(id, line, err), nil
			}
		}
		if err := bulrushlug.Sleep(c, backoff/2+rand.N(backoff)); err != nil {
			return outcome{}, err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// validate checks what a retry would not change: the endpoint and the access to the model.
func (r *run) validate(line []byte) error {
	if u := gjson.GetBytes(line, "url").String(); u != r.job.Endpoint() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "url %q differs from the job's endpoint %q", u, r.job.Endpoint())
	}
	return authn.CheckModelAccess(r.source.Config(), r.job.Organisation(), gjson.GetBytes(line, "body.model").String())
}

// isPermanent reports whether err is permanent, so that a retry would fail in the same way.
func isPermanent(err error) bool {
	switch bulrushlug.KindOf(err) {
	case bulrushlug.KindBadRequest, bulrushlug.KindForbidden, bulrushlug.KindUnknownModel, bulrushlug.KindRejected:
		return true
	}
	return false
}

// attempt runs the item once the scheduler admits it.
func (r *run) attempt(c context.Context, id string, n uint32, line []byte) (*response, error) {
	o := r.job.Organisation()
	if err := r.scheduler.Acquire(c, o, r.job.Due()); err != nil {
		return nil, err
	}
	c, stop := context.WithTimeout(c, attemptTimeout)
	defer stop()
	a := &response{}
	err := r.stage.Run(c, r.request(id, n, line), a)
	r.scheduler.Release(o, err != nil && sched.IsCapacityError(err))
	return a, err
}

func (r *run) request(id string, n uint32, line []byte) *bulrushlug.Request {
	b := []byte(gjson.GetBytes(line, "body").Raw)
	if gjson.GetBytes(b, "stream").Exists() {
		b, _ = sjson.DeleteBytes(b, "stream")
	}
	return bulrushlug.NewRequest(id,
		bulrushlug.WithOrganisation(r.job.Organisation()),
		bulrushlug.WithModel(gjson.GetBytes(b, "model").String()),
		bulrushlug.WithCall(http.MethodPost, r.job.Endpoint(), "application/json", b),
		bulrushlug.WithBatch(r.job.ID()),
		bulrushlug.WithIdempotent(true),
		bulrushlug.WithAttempt(n*attemptStride))
}

// attemptStride is the difference between the attempt numbers of an item; the relay uses those in between for its own
// retries.
const attemptStride = 16

func responseLine(id string, line []byte, a *response) outcome {
	l := newResultLine(id, line)
	l, _ = sjson.SetBytes(l, "response.status_code", a.status)
	l, _ = sjson.SetBytes(l, "response.request_id", id)
	if json.Valid(a.body.Bytes()) {
		l, _ = sjson.SetRawBytes(l, "response.body", a.body.Bytes())
	} else {
		l, _ = sjson.SetBytes(l, "response.body", a.body.String())
	}
	l, _ = sjson.SetRawBytes(l, "error", []byte("null"))
	return outcome{line: l, failed: a.status >= http.StatusBadRequest}
}

func failedLine(id string, line []byte, err error) outcome {
	l := newResultLine(id, line)
	l, _ = sjson.SetRawBytes(l, "response", []byte("null"))
	l, _ = sjson.SetBytes(l, "error.code", bulrushlug.KindOf(err).String())
	l, _ = sjson.SetBytes(l, "error.message", err.Error())
	return outcome{line: l, failed: true}
}

func newResultLine(id string, line []byte) []byte {
	l, _ := sjson.SetBytes([]byte("{}"), "id", id)
	l, _ = sjson.SetBytes(l, "custom_id", gjson.GetBytes(line, "custom_id").String())
	return l
}
