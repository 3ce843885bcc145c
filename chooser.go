package bulrushlug

// ServerLoad is what a process knows of the load of one backend server when it chooses one for an online request; values
// are immutable.
type ServerLoad struct {
	slots           int     // At least one.
	own             int     // Online requests of this process in progress.
	others          int     // Online requests of the other processes in progress, by their last reports.
	batch           int     // Batch items of all processes in progress.
	secondsPerEvent float64 // Zero if unknown.
	connected       bool    // This process has an idle connection to the server.
	distance        float64 // From the places of this process, in shares of one process; zero if there is no order of processes.
	answers         Answers // Of the server lately, to all processes.
	fleetAnswers    Answers // Of all servers lately.
}

// NewServerLoad returns the load of a server with n slots.
func NewServerLoad(n, own, others, batch int) ServerLoad {
	return ServerLoad{slots: max(1, n), own: own, others: others, batch: batch}
}

// WithSpeed returns a copy of a server at which p seconds pass between two events, and to which this process has an idle
// connection if connected.
func (s ServerLoad) WithSpeed(p float64, connected bool) ServerLoad {
	s.secondsPerEvent, s.connected = p, connected
	return s
}

// WithNews returns a copy of a server that is d from the places of this process and lately gave the answers a, while all
// servers gave the answers f.
func (s ServerLoad) WithNews(d float64, a, f Answers) ServerLoad {
	s.distance, s.answers, s.fleetAnswers = d, a, f
	return s
}

// Slots returns the number of requests that the server runs at once.
func (s ServerLoad) Slots() int { return s.slots }

// Own returns the online requests of this process in progress.
func (s ServerLoad) Own() int { return s.own }

// Others returns the online requests of the other processes in progress, by their last reports.
func (s ServerLoad) Others() int { return s.others }

// Batch returns the batch items of all processes in progress.
func (s ServerLoad) Batch() int { return s.batch }

// SecondsPerEvent returns the average time between events as this process saw it; zero if unknown.
func (s ServerLoad) SecondsPerEvent() float64 { return s.secondsPerEvent }

// Connected reports whether this process has an idle connection to the server.
func (s ServerLoad) Connected() bool { return s.connected }

// Distance returns how far the server is from the places of this process, in shares of one process.
func (s ServerLoad) Distance() float64 { return s.distance }

// Answers returns what the server lately answered to all processes.
func (s ServerLoad) Answers() Answers { return s.answers }

// FleetAnswers returns what all servers lately answered to all processes.
func (s ServerLoad) FleetAnswers() Answers { return s.fleetAnswers }

// Idle reports whether the server has a slot that neither an online request nor a batch item holds.
func (s ServerLoad) Idle() bool { return s.own+s.others+s.batch < s.slots }

// Chooser decides which backend server an online request goes to.
type Chooser interface {
	// Score returns the score of a server; the request goes to the server with the lowest.
	Score(s ServerLoad) float64
	// NeedsNews reports whether Score looks at distances and answers, so that processes tell each other of answers.
	NeedsNews() bool
}
