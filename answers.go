package bulrushlug

import "time"

// Answers sums up what a backend server answered in a short time; values are immutable.
type Answers struct {
	begun   uint32 // Responses of which the first event came, or all of one without events.
	firstMs uint32 // Sum over these of the milliseconds from the request to the first event.
	failed  uint32 // Requests that failed, or had no response in time.
}

// NewAnswers returns n responses that began after ms milliseconds altogether, and failed requests.
func NewAnswers(n, ms, failed uint32) Answers { return Answers{begun: n, firstMs: ms, failed: failed} }

// Plus returns the sum of a and b.
func (a Answers) Plus(b Answers) Answers {
	return Answers{a.begun + b.begun, a.firstMs + b.firstMs, a.failed + b.failed}
}

// Minus returns a without b, which a contains.
func (a Answers) Minus(b Answers) Answers {
	return Answers{a.begun - b.begun, a.firstMs - b.firstMs, a.failed - b.failed}
}

// Begun returns the responses that began.
func (a Answers) Begun() uint32 { return a.begun }

// FirstMs returns the sum over these of the milliseconds from the request to the first event.
func (a Answers) FirstMs() uint32 { return a.firstMs }

// Failed returns the requests that failed, or had no response in time.
func (a Answers) Failed() uint32 { return a.failed }

// MeanFirst returns the mean time from the request to the first event; zero if no response began.
func (a Answers) MeanFirst() time.Duration {
	if a.begun == 0 {
		return 0
	}
	return time.Duration(a.firstMs) * time.Millisecond / time.Duration(a.begun)
}
