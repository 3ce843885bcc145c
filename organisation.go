package bulrushlug

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Organisation is a customer with API keys and rate limits; values are immutable.
type Organisation struct {
	name     string            // Non-empty.
	labels   map[string]string // Not changed after construction.
	rate     float64           // Requests per second (token refill rate), at least zero.
	burst    uint32            // Requests (token bucket size); at least one if the rate is above zero.
	keys     []Key             // Unique by identifier.
	selector string            // Label selector of the VMs that may run its requests; empty selects all.
	models   string            // Label selector of the models that it may use; empty selects all.
	priority *int              // Overrides the route's priority; nil for the route's own.
}

// Key is an API key, of which only the hash is stored.
type Key struct {
	id        string // Unique within the organisation.
	hash      string // Hex-encoded SHA-256 of the key.
	withdrawn bool   // Never reset once true.
}

// NewKey returns the key with identifier i and hash h.
func NewKey(i, h string, withdrawn bool) Key { return Key{id: i, hash: h, withdrawn: withdrawn} }

// HashKey returns the hex-encoded SHA-256 under which API key k is stored.
func HashKey(k string) string {
	h := sha256.Sum256([]byte(k))
	return hex.EncodeToString(h[:])
}

// ID returns the identifier.
func (k Key) ID() string { return k.id }

// Hash returns the hex-encoded SHA-256 of the key.
func (k Key) Hash() string { return k.hash }

// Withdrawn reports whether the key is revoked and must be rejected.
func (k Key) Withdrawn() bool { return k.withdrawn }

// NewOrganisation returns an organisation without keys.
func NewOrganisation(n string, rate float64, burst uint32) Organisation {
	return Organisation{name: n, rate: rate, burst: burst}
}

// WithLabels returns a copy with labels l.
func (o Organisation) WithLabels(l map[string]string) Organisation {
	o.labels = maps.Clone(l)
	return o
}

// WithSelector returns a copy with VM label selector s.
func (o Organisation) WithSelector(s string) Organisation {
	o.selector = s
	return o
}

// WithModels returns a copy with model label selector s.
func (o Organisation) WithModels(s string) Organisation {
	o.models = s
	return o
}

// WithRate returns a copy with the given rate and burst.
func (o Organisation) WithRate(rate float64, burst uint32) Organisation {
	o.rate, o.burst = rate, burst
	return o
}

// WithKey returns a copy that adds k, replacing any key with the same identifier.
func (o Organisation) WithKey(k Key) Organisation {
	l := slices.DeleteFunc(slices.Clone(o.keys), func(x Key) bool { return x.id == k.id })
	o.keys = append(l, k)
	return o
}

// Name returns the name.
func (o Organisation) Name() string { return o.name }

// Labels returns the labels, which the caller must not modify.
func (o Organisation) Labels() map[string]string { return o.labels }

// Rate returns the requests per second.
func (o Organisation) Rate() float64 { return o.rate }

// Burst returns the token bucket size in requests.
func (o Organisation) Burst() uint32 { return o.burst }

// Keys returns the API keys, which the caller must not modify.
func (o Organisation) Keys() []Key { return o.keys }

// Selector returns the label selector of the VMs that may run its requests; empty selects all.
func (o Organisation) Selector() string { return o.selector }

// Models returns the label selector of the models that it may use; empty selects all.
func (o Organisation) Models() string { return o.models }

// Key returns the key with identifier i.
func (o Organisation) Key(i string) (Key, bool) {
	n := slices.IndexFunc(o.keys, func(k Key) bool { return k.id == i })
	if n < 0 {
		return Key{}, false
	}
	return o.keys[n], true
}

// WithPriority returns a copy whose requests have priority n instead of their routes' priority.
func (o Organisation) WithPriority(n int) Organisation {
	o.priority = &n
	return o
}

// Priority returns the priority that overrides the route's; ok is false if there is none.
func (o Organisation) Priority() (int, bool) {
	if o.priority == nil {
		return 0, false
	}
	return *o.priority, true
}
