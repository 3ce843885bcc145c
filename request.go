package bulrushlug

import "time"

// Request is one request or batch item as it passes through a pipe.
type Request struct {
	id             string      // Unique across the fleet.
	key            string      // API key; cleared once the request is authenticated, and never leaves the entry.
	organisation   string      // Empty before authentication and on open routes.
	keyID          string      // Identifier of the API key, without the secret.
	model          string      // Empty for requests to plain HTTP services.
	route          string      // Name of the route to a plain HTTP service; empty for model requests.
	method         string      // HTTP method.
	path           string      // HTTP path on the backend server.
	contentType    string      // Media type of the body.
	body           []byte      // Not changed after decoding.
	stream         bool        // The caller requested server-sent events.
	batch          bool        // The request is an item of a batch job.
	idempotent     bool        // The request can safely run more than once.
	deadline       time.Time   // Zero if there is none.
	attempt        uint32      // Attempt number; increases with each dispatch.
	affinity       uint64      // Hash of the prompt's prefix for cache affinity; zero if there is none.
	candidates     []Candidate // Backend servers in order of preference.
	job            string      // Batch job, if any.
	resumeFrom     uint64      // Number of events already relayed to the caller; the next attempt resumes after them.
	idempotencyKey string      // Idempotency key of the caller; empty if there is none.
	fields         []Field     // Header fields to pass on to the backend server.
	targetRoute    *Route      // Route of the request; nil for model requests.
	host           string      // Host that the caller requested.
	prompt         Prompt      // Parts of the prompt; empty if they are unknown.
}

// RequestOption configures a new Request.
type RequestOption func(r *Request)

// NewRequest returns a request with the given identifier.
func NewRequest(id string, o ...RequestOption) *Request {
	r := &Request{id: id, attempt: 1}
	for _, f := range o {
		f(r)
	}
	return r
}

// WithKey sets the caller's API key.
func WithKey(k string) RequestOption { return func(r *Request) { r.key = k } }

// WithOrganisation sets the organisation of an already authenticated request.
func WithOrganisation(o string) RequestOption { return func(r *Request) { r.organisation = o } }

// WithModel sets the model.
func WithModel(m string) RequestOption { return func(r *Request) { r.model = m } }

// WithRoute sets the name of the route to a plain HTTP service.
func WithRoute(n string) RequestOption { return func(r *Request) { r.route = n } }

// WithCall sets method, path, media type and body.
func WithCall(m, p, t string, b []byte) RequestOption {
	return func(r *Request) { r.method, r.path, r.contentType, r.body = m, p, t, b }
}

// WithStream sets whether the caller requested server-sent events.
func WithStream(v bool) RequestOption { return func(r *Request) { r.stream = v } }

// WithBatch marks the request as a batch item of job j.
func WithBatch(j string) RequestOption { return func(r *Request) { r.batch, r.job = true, j } }

// WithIdempotent sets whether the request can safely run more than once.
func WithIdempotent(v bool) RequestOption { return func(r *Request) { r.idempotent = v } }

// WithDeadline sets the deadline for the response.
func WithDeadline(t time.Time) RequestOption { return func(r *Request) { r.deadline = t } }

// WithAffinity sets the hash of the prompt's prefix.
func WithAffinity(h uint64) RequestOption { return func(r *Request) { r.affinity = h } }

// WithAttempt sets the attempt number.
func WithAttempt(n uint32) RequestOption { return func(r *Request) { r.attempt = n } }

// WithResumeFrom sets the number of events to skip, because the caller already has them.
func WithResumeFrom(n uint64) RequestOption { return func(r *Request) { r.resumeFrom = n } }

// WithIdempotencyKey sets the caller's idempotency key.
func WithIdempotencyKey(k string) RequestOption { return func(r *Request) { r.idempotencyKey = k } }

// WithTarget sets the route, and streaming and idempotence according to it.
func WithTarget(t Route) RequestOption {
	return func(r *Request) {
		r.targetRoute, r.route = &t, t.name
		r.stream = t.traffic != TrafficCall
		r.idempotent = t.idempotent || t.resumable
	}
}

// WithFields sets the host and the header fields to pass on to the backend server.
func WithFields(host string, l []Field) RequestOption {
	return func(r *Request) { r.host, r.fields = host, l }
}

// WithPrompt sets the parts of the prompt.
func WithPrompt(p Prompt) RequestOption { return func(r *Request) { r.prompt = p } }

// ID returns the identifier.
func (r *Request) ID() string { return r.id }

// Key returns the caller's API key; empty once the request is authenticated.
func (r *Request) Key() string { return r.key }

// Organisation returns the organisation; empty before authentication and on open routes.
func (r *Request) Organisation() string { return r.organisation }

// KeyID returns the identifier of the API key that the caller used.
func (r *Request) KeyID() string { return r.keyID }

// Model returns the model; empty for requests to plain HTTP services.
func (r *Request) Model() string { return r.model }

// Route returns the name of the route to a plain HTTP service; empty for model requests.
func (r *Request) Route() string { return r.route }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// Path returns the HTTP path.
func (r *Request) Path() string { return r.path }

// ContentType returns the media type of the body.
func (r *Request) ContentType() string { return r.contentType }

// Body returns the body, which the caller must not modify.
func (r *Request) Body() []byte { return r.body }

// Stream reports whether the caller requested server-sent events.
func (r *Request) Stream() bool { return r.stream }

// Batch reports whether the request is an item of a batch job.
func (r *Request) Batch() bool { return r.batch }

// Job returns the identifier of the batch job; empty for online requests.
func (r *Request) Job() string { return r.job }

// Idempotent reports whether the request can safely run more than once.
func (r *Request) Idempotent() bool { return r.idempotent }

// Deadline returns the deadline for the response; zero if there is none.
func (r *Request) Deadline() time.Time { return r.deadline }

// Attempt returns the number of the current attempt, starting at one.
func (r *Request) Attempt() uint32 { return r.attempt }

// Affinity returns the hash of the prompt's prefix; zero if there is none.
func (r *Request) Affinity() uint64 { return r.affinity }

// Candidates returns the backend servers in order of preference.
func (r *Request) Candidates() []Candidate { return r.candidates }

// ResumeFrom returns the number of events already relayed to the caller.
func (r *Request) ResumeFrom() uint64 { return r.resumeFrom }

// IdempotencyKey returns the caller's idempotency key; empty if there is none.
func (r *Request) IdempotencyKey() string { return r.idempotencyKey }

// Authenticate sets the organisation o and the key's identifier i, and clears the API key.
func (r *Request) Authenticate(o, i string) { r.organisation, r.keyID, r.key = o, i, "" }

// SetCandidates sets the backend servers in order of preference.
func (r *Request) SetCandidates(l []Candidate) { r.candidates = l }

// Clone returns a copy of r for an attempt beside those of r; what they share is not modified.
func (r *Request) Clone() *Request {
	q := *r
	return &q
}

// NextAttempt increments the attempt number.
func (r *Request) NextAttempt() { r.attempt++ }

// SkipEvents makes the next attempt resume after the first n events.
func (r *Request) SkipEvents(n uint64) { r.resumeFrom = n }

// Fields returns the header fields to pass on to the backend server.
func (r *Request) Fields() []Field { return r.fields }

// Prompt returns the parts of the prompt; empty if they are unknown.
func (r *Request) Prompt() Prompt { return r.prompt }

// Host returns the host that the caller requested.
func (r *Request) Host() string { return r.host }

// TargetRoute returns the route of the request; the zero value for model requests.
func (r *Request) TargetRoute() Route {
	if r.targetRoute == nil {
		return Route{}
	}
	return *r.targetRoute
}
