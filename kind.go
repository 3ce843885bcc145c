package bulrushlug

// Kind classifies every refusal and failure; the list is closed.
type Kind uint8

// The kinds, in the order of the answers table.
const (
	KindInternal = Kind(iota)
	KindBadRequest
	KindUnauthenticated
	KindForbidden
	KindUnknownModel
	KindNotFound
	KindConflict
	KindTooLarge
	KindRateLimited
	KindOverloaded
	KindUnplaceable
	KindStale
	KindLeaving
	KindTimeout
	KindCancelled
	KindBroken
	KindUncertain
	KindStoreDown
	KindStorage
	KindRejected
	KindPreempted
	KindRepeated
	KindHistoryLost
	KindMisdirected
	kindCount
)

// answers is the one table from kind to answer.
var answers = [kindCount]Answer{
	KindInternal:        {name: "internal", status: 500, ran: true},
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
	KindTimeout:         {name: "timeout", status: 504, ran: true},
	KindCancelled:       {name: "cancelled", status: 499, ran: true},
	KindBroken:          {name: "broken", status: 502, ran: true},
	KindUncertain:       {name: "uncertain", status: 502, ran: true},
	KindStoreDown:       {name: "storeDown", status: 503, retryable: true},
	KindStorage:         {name: "storage", status: 507, retryable: true},
	KindRejected:        {name: "rejected", status: 422, ran: true},
	KindPreempted:       {name: "preempted", status: 503, ran: true},
	KindRepeated:        {name: "repeated", status: 409, ran: true},
	KindHistoryLost:     {name: "historyLost", status: 410},
	KindMisdirected:     {name: "misdirected", status: 503, retryable: true},
}

// Answer returns how k is reported to a caller.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return answers[KindInternal]
	}
	return answers[k]
}

// String returns the machine-readable name of k.
func (k Kind) String() string { return k.Answer().name }

// ParseKind returns the kind called n, or KindInternal.
func ParseKind(n string) Kind {
	for k, a := range answers {
		if a.name == n {
			return Kind(k)
		}
	}
	return KindInternal
}

// Kinds returns the closed list.
func Kinds() []Kind {
	l := make([]Kind, 0, kindCount)
	for k := range kindCount {
		l = append(l, k)
	}
	return l
}
