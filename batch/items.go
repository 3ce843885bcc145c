package batch

import (
	"bytes"
	"context"
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
	itemAttempts = 3                // Attempts after which an item can't be done.
	itemTime     = 10 * time.Minute // Bounds one attempt.
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
	answerLimit  = 1 << 20 // Bytes of one answer.
)

// outcome is the line that one item adds to the answers or to the errors.
type outcome struct {
	line   []byte
	failed bool
}

// answer collects the answer to one item.
type answer struct {
	status int
	body   bytes.Buffer
}

// Head notes the status.
func (a *answer) Head(n int, _ string) error {
	a.status = n
	return nil
}

// Write adds p.
func (a *answer) Write(p []byte) error {
	if a.body.Len()+len(p) > answerLimit {
		return bulrushlug.Errorf(bulrushlug.KindRejected, "the answer is longer than %d bytes", answerLimit)
	}
	a.body.Write(p)
	return nil
}

// item runs one line of a job until it is done or can't be done; an error means that c has ended.
func (r *run) item(c context.Context, chunk uint32, n int, line []byte) (outcome, error) {
	id := r.job.ID() + "-" + strconv.Itoa(int(chunk)) + "-" + strconv.Itoa(n)
	if err := r.valid(line); err != nil {
		return failed(id, line, err), nil
	}
	fails, pause := 0, firstPause
	for attempt := uint32(1); ; attempt++ {
		a, err := r.attempt(c, id, attempt, line)
		if c.Err() != nil {
			return outcome{}, c.Err()
		}
		switch {
		case err == nil:
			return done(id, line, a), nil
		case !sched.IsCapacityError(err):
			if fails++; fails >= itemAttempts || isFinal(err) {
				return failed(id, line, err), nil
			}
		}
		if err := bulrushlug.Sleep(c, pause/2+rand.N(pause)); err != nil {
			return outcome{}, err
		}
		pause = min(2*pause, longestPause)
	}
}

// valid checks what no further attempt can mend.
func (r *run) valid(line []byte) error {
	if u := gjson.GetBytes(line, "url").String(); u != r.job.Endpoint() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "the url is %s, but the job's endpoint is %s", u, r.job.Endpoint())
	}
	return authn.CheckModelAccess(r.source.Config(), r.job.Organisation(), gjson.GetBytes(line, "body.model").String())
}

// isFinal reports whether another attempt would end in the same way.
func isFinal(err error) bool {
	switch bulrushlug.KindOf(err) {
	case bulrushlug.KindBadRequest, bulrushlug.KindForbidden, bulrushlug.KindUnknownModel, bulrushlug.KindRejected:
		return true
	}
	return false
}

// attempt runs the item once it is its turn.
func (r *run) attempt(c context.Context, id string, n uint32, line []byte) (*answer, error) {
	o := r.job.Organisation()
	if err := r.scheduler.Acquire(c, o, r.job.Due()); err != nil {
		return nil, err
	}
	c, stop := context.WithTimeout(c, itemTime)
	defer stop()
	a := &answer{}
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
		bulrushlug.WithAttempt(n*attemptStep))
}

// attemptStep leaves room for the attempts that the relay makes within one.
const attemptStep = 16

func done(id string, line []byte, a *answer) outcome {
	l := head(id, line)
	l, _ = sjson.SetBytes(l, "response.status_code", a.status)
	l, _ = sjson.SetBytes(l, "response.request_id", id)
	if gjson.ValidBytes(a.body.Bytes()) {
		l, _ = sjson.SetRawBytes(l, "response.body", a.body.Bytes())
	} else {
		l, _ = sjson.SetBytes(l, "response.body", a.body.String())
	}
	l, _ = sjson.SetRawBytes(l, "error", []byte("null"))
	return outcome{line: l, failed: a.status >= http.StatusBadRequest}
}

func failed(id string, line []byte, err error) outcome {
	l := head(id, line)
	l, _ = sjson.SetRawBytes(l, "response", []byte("null"))
	l, _ = sjson.SetBytes(l, "error.code", bulrushlug.KindOf(err).String())
	l, _ = sjson.SetBytes(l, "error.message", err.Error())
	return outcome{line: l, failed: true}
}

func head(id string, line []byte) []byte {
	l, _ := sjson.SetBytes([]byte("{}"), "id", id)
	l, _ = sjson.SetBytes(l, "custom_id", gjson.GetBytes(line, "custom_id").String())
	return l
}
