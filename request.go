package bulrushlug

import "time"

// Request is one request or batch item on its way through a pipe.
type Request struct {
	id           string      // Unique over the fleet.
	key          string      // Empty once the request is authenticated; never leaves the entry.
	organisation string      // Empty before authentication and on open routes.
	keyID        string      // Identifies the key without revealing it.
	model        string      // Empty for plain services.
	route        string      // Name of a plain service's route; empty for model requests.
	method       string      // HTTP method.
	path         string      // HTTP path at the backend server.
	contentType  string      // Media type of the body.
	body         []byte      // Not changed after decoding.
	stream       bool        // The caller asked for server-sent events.
	batch        bool        // The request is an item of a batch job.
	idempotent   bool        // The request may run twice.
	deadline     time.Time   // Zero if there is none.
	attempt      uint32      // Rises with each dispatch.
	affinity     uint64      // Hash of the prompt's prefix; zero if there is none.
	candidates   []Candidate // Backend servers in order of preference.
	job          string      // Batch job, if any.
	resume       uint64      // Number of events that were already relayed.
	once         string      // Idempotency key that the caller gave, if any.
	fields       []Field     // Header fields that go on to the backend server.
	target       *Route      // Route of the request; nil for model requests.
	host         string      // Host that the caller named.
}

// RequestOption sets one field of a new request.
type RequestOption func(r *Request)

// NewRequest returns a request with the given identifier.
func NewRequest(id string, o ...RequestOption) *Request {
	r := &Request{id: id, attempt: 1}
	for _, f := range o {
		f(r)
	}
	return r
}

// WithKey sets the caller's key.
func WithKey(k string) RequestOption { return func(r *Request) { r.key = k } }

// WithOrganisation sets the organisation of an already authenticated request.
func WithOrganisation(o string) RequestOption { return func(r *Request) { r.organisation = o } }

// WithModel sets the model.
func WithModel(m string) RequestOption { return func(r *Request) { r.model = m } }

// WithRoute sets the route to a plain service.
func WithRoute(n string) RequestOption { return func(r *Request) { r.route = n } }

// WithCall sets method, path, media type and body.
func WithCall(m, p, t string, b []byte) RequestOption {
	return func(r *Request) { r.method, r.path, r.contentType, r.body = m, p, t, b }
}

// WithStream asks for server-sent events.
func WithStream(v bool) RequestOption { return func(r *Request) { r.stream = v } }

// WithBatch marks an item of job j.
func WithBatch(j string) RequestOption { return func(r *Request) { r.batch, r.job = true, j } }

// WithIdempotent marks a request that may run twice.
func WithIdempotent(v bool) RequestOption { return func(r *Request) { r.idempotent = v } }

// WithDeadline sets the time after which the answer is of no use.
func WithDeadline(t time.Time) RequestOption { return func(r *Request) { r.deadline = t } }

// WithAffinity sets the hash of the prompt's prefix.
func WithAffinity(h uint64) RequestOption { return func(r *Request) { r.affinity = h } }

// WithAttempt sets the attempt number.
func WithAttempt(n uint32) RequestOption { return func(r *Request) { r.attempt = n } }

// WithResume asks to leave out the first n events.
func WithResume(n uint64) RequestOption { return func(r *Request) { r.resume = n } }

// WithIdempotencyKey sets the idempotency key that the caller gave.
func WithIdempotencyKey(k string) RequestOption { return func(r *Request) { r.once = k } }

// WithTarget sets the route and what follows from it.
func WithTarget(t Route) RequestOption {
	return func(r *Request) {
		r.target, r.route = &t, t.name
		r.stream = t.traffic != TrafficCall
		r.idempotent = t.idempotent || t.resumable
	}
}

// WithFields sets the host and the header fields that go on to the backend server.
func WithFields(host string, l []Field) RequestOption {
	return func(r *Request) { r.host, r.fields = host, l }
}

// ID returns the identifier.
func (r *Request) ID() string { return r.id }

// Key returns the caller's key, or nothing once the request is authenticated.
func (r *Request) Key() string { return r.key }

// Organisation returns the organisation.
func (r *Request) Organisation() string { return r.organisation }

// KeyID returns the identifier of the key that came with the request.
func (r *Request) KeyID() string { return r.keyID }

// Model returns the model.
func (r *Request) Model() string { return r.model }

// Route returns the name of the route to a plain service.
func (r *Request) Route() string { return r.route }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// Path returns the HTTP path.
func (r *Request) Path() string { return r.path }

// ContentType returns the media type of the body.
func (r *Request) ContentType() string { return r.contentType }

// Body returns the body, which must not be changed.
func (r *Request) Body() []byte { return r.body }

// Stream reports whether the caller asked for server-sent events.
func (r *Request) Stream() bool { return r.stream }

// Batch reports whether the request is an item of a batch job.
func (r *Request) Batch() bool { return r.batch }

// Job returns the batch job.
func (r *Request) Job() string { return r.job }

// Idempotent reports whether the request may run twice.
func (r *Request) Idempotent() bool { return r.idempotent }

// Deadline returns the time after which the answer is of no use, or zero.
func (r *Request) Deadline() time.Time { return r.deadline }

// Attempt returns the number of the current attempt.
func (r *Request) Attempt() uint32 { return r.attempt }

// Affinity returns the hash of the prompt's prefix, or zero.
func (r *Request) Affinity() uint64 { return r.affinity }

// Candidates returns the backend servers in order of preference.
func (r *Request) Candidates() []Candidate { return r.candidates }

// Resume returns the number of events that were already relayed.
func (r *Request) Resume() uint64 { return r.resume }

// IdempotencyKey returns the idempotency key that the caller gave.
func (r *Request) IdempotencyKey() string { return r.once }

// Authenticate binds the request to organisation o by the key i, and forgets the key.
func (r *Request) Authenticate(o, i string) { r.organisation, r.keyID, r.key = o, i, "" }

// SetCandidates sets the candidates.
func (r *Request) SetCandidates(l []Candidate) { r.candidates = l }

// NextAttempt raises the attempt number.
func (r *Request) NextAttempt() { r.attempt++ }

// SkipEvents asks the next attempt to leave out the first n events.
func (r *Request) SkipEvents(n uint64) { r.resume = n }

// Fields returns the header fields that go on to the backend server.
func (r *Request) Fields() []Field { return r.fields }

// Host returns the host that the caller named.
func (r *Request) Host() string { return r.host }

// Target returns the route of the request; its zero value for model requests.
func (r *Request) Target() Route {
	if r.target == nil {
		return Route{}
	}
	return *r.target
}
