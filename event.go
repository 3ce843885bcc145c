package bulrushlug

// Event is one entry of the event timeline.
type Event struct {
	timestamp    uint64 // Hybrid logical clock timestamp; orders events across processes.
	vm           string // VM of the process that recorded the event.
	name         string // Name of the event in camel case.
	request      string
	job          string
	organisation string
	detail       string // Must never contain an API key or a request body.
}

// EventOption sets one field of an event.
type EventOption func(e *Event)

// NewEvent returns an event with name w.
func NewEvent(w string, o ...EventOption) Event {
	e := Event{name: w}
	for _, f := range o {
		f(&e)
	}
	return e
}

// ForRequest sets request, job and organisation from r.
func ForRequest(r *Request) EventOption {
	return func(e *Event) { e.request, e.organisation, e.job = r.id, r.organisation, r.job }
}

// ForJob sets job and organisation.
func ForJob(j, o string) EventOption { return func(e *Event) { e.job, e.organisation = j, o } }

// ForIDs sets request, job and organisation.
func ForIDs(r, j, o string) EventOption {
	return func(e *Event) { e.request, e.job, e.organisation = r, j, o }
}

// WithDetail sets the detail.
func WithDetail(d string) EventOption { return func(e *Event) { e.detail = d } }

// WithOrigin returns a copy recorded on VM v with hybrid logical clock timestamp s.
func (e Event) WithOrigin(v string, s uint64) Event {
	e.vm, e.timestamp = v, s
	return e
}

// Timestamp returns the hybrid logical clock timestamp.
func (e Event) Timestamp() uint64 { return e.timestamp }

// VM returns the VM.
func (e Event) VM() string { return e.vm }

// Name returns the event's name in camel case.
func (e Event) Name() string { return e.name }

// Request returns the request.
func (e Event) Request() string { return e.request }

// Job returns the batch job.
func (e Event) Job() string { return e.job }

// Organisation returns the organisation.
func (e Event) Organisation() string { return e.organisation }

// Detail returns the detail.
func (e Event) Detail() string { return e.detail }

// Recorder records events for the timeline.
type Recorder interface {
	// Record records e and never blocks.
	Record(e Event)
}
