package bulrushlug

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Organisation is a customer with keys and limits; values are immutable.
type Organisation struct {
	name     string            // Never empty.
	labels   map[string]string // Not changed after construction.
	rate     float64           // Requests per second, at least zero.
	burst    uint32            // Requests, at least one where the rate is above zero.
	keys     []Key             // Unique by identifier.
	selector string            // Selects the VMs that may run its work; empty selects all.
	models   string            // Selects the models that it may use; empty selects all.
	priority *int              // Rank of its requests in place of the route's; nil for the route's.
}

// Key is the hash of a caller's key.
type Key struct {
	id        string // Unique in the organisation.
	hash      string // Hex of the SHA-256 of the key.
	withdrawn bool   // Never turns false again.
}

// NewKey returns the key with identifier i and hash h.
func NewKey(i, h string, withdrawn bool) Key { return Key{id: i, hash: h, withdrawn: withdrawn} }

// HashKey returns the hash under which key k is kept.
func HashKey(k string) string {
	h := sha256.Sum256([]byte(k))
	return hex.EncodeToString(h[:])
}

// ID returns the identifier.
func (k Key) ID() string { return k.id }

// Hash returns the hex of the SHA-256.
func (k Key) Hash() string { return k.hash }

// Withdrawn reports whether the key must be refused.
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

// WithSelector returns a copy with the VM selector s.
func (o Organisation) WithSelector(s string) Organisation {
	o.selector = s
	return o
}

// WithModels returns a copy with the model selector s.
func (o Organisation) WithModels(s string) Organisation {
	o.models = s
	return o
}

// WithRate returns a copy with the given rate and burst.
func (o Organisation) WithRate(rate float64, burst uint32) Organisation {
	o.rate, o.burst = rate, burst
	return o
}

// WithKey returns a copy in which k stands in place of the key with its identifier.
func (o Organisation) WithKey(k Key) Organisation {
	l := slices.DeleteFunc(slices.Clone(o.keys), func(x Key) bool { return x.id == k.id })
	o.keys = append(l, k)
	return o
}

// Name returns the name.
func (o Organisation) Name() string { return o.name }

// Labels returns the labels, which must not be changed.
func (o Organisation) Labels() map[string]string { return o.labels }

// Rate returns the requests per second.
func (o Organisation) Rate() float64 { return o.rate }

// Burst returns the number of requests that may come at once.
func (o Organisation) Burst() uint32 { return o.burst }

// Keys returns the keys, which must not be changed.
func (o Organisation) Keys() []Key { return o.keys }

// Selector returns the VM selector.
func (o Organisation) Selector() string { return o.selector }

// Models returns the model selector.
func (o Organisation) Models() string { return o.models }

// Key returns the key with identifier i.
func (o Organisation) Key(i string) (Key, bool) {
	n := slices.IndexFunc(o.keys, func(k Key) bool { return k.id == i })
	if n < 0 {
		return Key{}, false
	}
	return o.keys[n], true
}

// WithPriority returns a copy whose requests have rank n in place of their routes'.
func (o Organisation) WithPriority(n int) Organisation {
	o.priority = &n
	return o
}

// Priority returns the rank of its requests, if it has one of its own.
func (o Organisation) Priority() (int, bool) {
	if o.priority == nil {
		return 0, false
	}
	return *o.priority, true
}
