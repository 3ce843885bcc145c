package bulrushlug

// VM holds what operators say of one VM; values are immutable.
type VM struct {
	name     string            // Never empty.
	labels   map[string]string // Not changed after construction.
	draining bool              // The VM gets no new work.
}

// NewVM returns the VM called n.
func NewVM(n string, l map[string]string, draining bool) VM {
	return VM{name: n, labels: l, draining: draining}
}

// Name returns the name.
func (v VM) Name() string { return v.name }

// Labels returns the labels, which must not be changed.
func (v VM) Labels() map[string]string { return v.labels }

// Draining reports whether the VM gets no new work.
func (v VM) Draining() bool { return v.draining }
