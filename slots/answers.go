package slots

import (
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	// answerPeriod is the time after which the answers of a server begin to be forgotten: a server that got better is
	// tried again within twice that.
	answerPeriod = 500 * time.Millisecond
	maxFirst     = 10 * time.Second // Longest time to the first event that is counted.
)

// answers holds what one server answered to this process in the period that has begun and in the one before it.
type answers struct {
	current, last bulrushlug.Answers
	began         time.Time // Begin of the current period.
}

// at returns the answers of the last one to two periods.
func (a *answers) at(now time.Time) bulrushlug.Answers {
	switch d := now.Sub(a.began); {
	case d < answerPeriod:
		return a.current.Plus(a.last)
	case d < 2*answerPeriod:
		return a.current
	}
	return bulrushlug.Answers{}
}

// add adds b to the current period, or begins a new one.
func (a *answers) add(b bulrushlug.Answers, now time.Time) {
	if d := now.Sub(a.began); d >= answerPeriod {
		if a.last = a.current; d >= 2*answerPeriod {
			a.last = bulrushlug.Answers{}
		}
		a.current, a.began = bulrushlug.Answers{}, now
	}
	a.current = a.current.Plus(b)
}
