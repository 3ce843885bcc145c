package bulrushlug

// Kind classifies an Error. The set of kinds is closed and each has one ErrorResponse.
type Kind uint8

// The kinds; answerByKind gives the HTTP status of each.
const (
	KindInternal = Kind(iota)
	KindBadRequest
	KindUnauthenticated
	KindForbidden
	KindUnknownModel
	KindNotFound
	KindConflict // The entity was changed concurrently, or its state doesn't allow the operation.
	KindTooLarge
	KindRateLimited
	KindOverloaded  // No capacity for the request, or no response in time from the home of its organisation.
	KindUnplaceable // No process or backend server that can take the request is reachable.
	KindStale       // The state of the process may be out of date.
	KindLeaving     // The process is draining or shutting down.
	KindTimeout
	KindCancelled
	KindBroken      // The response was incomplete or invalid.
	KindUncertain   // The response was lost; the request or write may have taken effect.
	KindStoreDown   // The key-value service or the VM list is unavailable.
	KindStorage     // A disk failed, is full or is unavailable.
	KindRejected    // The request failed permanently.
	KindPreempted   // A running batch item was cancelled to free its slot, or because the agent shuts down.
	KindRepeated    // The idempotency key or the identifier of the change was used before.
	KindHistoryLost // Changes after the requested revision are no longer available.
	KindMisdirected // The request reached the wrong backend server or a disk that doesn't serve the lot.
	KindQuarantined // Backend servers ended on a part of the prompt; the request was not sent to one.
	KindSlow        // The caller did not send its request in time; it was not sent on.
	kindCount
)

// responseByKind maps each kind to the response that callers get.
var responseByKind = [kindCount]ErrorResponse{
	KindInternal:        {name: "internal", status: 500, mayHaveRun: true},
	KindBadRequest:      {name: "badRequest", status: 400},
	KindUnauthenticated: {name: "unauthenticated", status: 401},
	KindForbidden:       {name: "forbidden", status: 403},
	KindUnknownModel:    {name: "unknownModel", status: 404},
	KindNotFound:        {name: "notFound", status: 404},
	KindConflict:        {name: "conflict", status: 409},
	KindTooLarge:        {name: "tooLarge", status: 413},
	KindRateLimited:     {name: "rateLimited", status: 429, retryable: true},
	KindOverloaded:      {name: "overloaded", status: 503, retryable: true},
	KindUnplaceable:     {name: "unplaceable", status: 503, retryable: true},
	KindStale:           {name: "stale", status: 503, retryable: true},
	KindLeaving:         {name: "leaving", status: 503, retryable: true},
	KindTimeout:         {name: "timeout", status: 504, mayHaveRun: true},
	KindCancelled:       {name: "cancelled", status: 499, mayHaveRun: true},
	KindBroken:          {name: "broken", status: 502, mayHaveRun: true},
	KindUncertain:       {name: "uncertain", status: 502, mayHaveRun: true},
	KindStoreDown:       {name: "storeDown", status: 503, retryable: true},
	KindStorage:         {name: "storage", status: 507, retryable: true},
	KindRejected:        {name: "rejected", status: 422, mayHaveRun: true},
	KindPreempted:       {name: "preempted", status: 503, mayHaveRun: true},
	KindRepeated:        {name: "repeated", status: 409, mayHaveRun: true},
	KindHistoryLost:     {name: "historyLost", status: 410},
	KindMisdirected:     {name: "misdirected", status: 503, retryable: true},
	KindQuarantined:     {name: "quarantined", status: 503, retryable: true},
	KindSlow:            {name: "slow", status: 408, retryable: true},
}

// Response returns the response that callers get for an error of kind k.
func (k Kind) Response() ErrorResponse {
	if k >= kindCount {
		return responseByKind[KindInternal]
	}
	return responseByKind[k]
}

// String returns the machine-readable name of k.
func (k Kind) String() string { return k.Response().name }

// ParseKind returns the kind with the machine-readable name n, or KindInternal if there is none.
func ParseKind(n string) Kind {
	for k, a := range responseByKind {
		if a.name == n {
			return Kind(k)
		}
	}
	return KindInternal
}

// Kinds returns all kinds.
func Kinds() []Kind {
	l := make([]Kind, 0, kindCount)
	for k := range kindCount {
		l = append(l, k)
	}
	return l
}
