package bulrushlug

import "time"

// Prospect is what a process thinks of a backend server for a request that would come now.
type Prospect struct {
	backend Backend
	load    ServerLoad
	age     time.Duration // Mean age of what the process knows of the others' requests.
	score   float64       // The lowest is chosen; zero if the server is excluded.
	reason  string        // In camel case: why the server is chosen or excluded; empty if it only has a higher score.
	chosen  bool
}

// NewProspect returns what is thought of b, whose load l is known as of a ago.
func NewProspect(b Backend, l ServerLoad, a time.Duration) Prospect {
	return Prospect{backend: b, load: l, age: a}
}

// Excluded returns a copy of a server that is excluded for reason r.
func (p Prospect) Excluded(r string) Prospect {
	p.reason = r
	return p
}

// Scored returns a copy with score n.
func (p Prospect) Scored(n float64) Prospect {
	p.score = n
	return p
}

// Chosen returns a copy of the server that is chosen for reason r.
func (p Prospect) Chosen(r string) Prospect {
	p.chosen, p.reason = true, r
	return p
}

// Backend returns the server.
func (p Prospect) Backend() Backend { return p.backend }

// Load returns its load as known.
func (p Prospect) Load() ServerLoad { return p.load }

// Age returns the mean age of what the process knows of the others' requests.
func (p Prospect) Age() time.Duration { return p.age }

// Score returns the score; the lowest is chosen.
func (p Prospect) Score() float64 { return p.score }

// Reason returns why the server is chosen or excluded; empty if it only has a higher score.
func (p Prospect) Reason() string { return p.reason }

// IsChosen reports whether the request would go to the server.
func (p Prospect) IsChosen() bool { return p.chosen }
