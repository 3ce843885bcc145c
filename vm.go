package bulrushlug

// VM holds the operators' settings for one VM; values are immutable.
type VM struct {
	name     string            // Non-empty.
	labels   map[string]string // Not changed after construction.
	draining bool              // The VM receives no new work.
}

// NewVM returns the VM called n.
func NewVM(n string, l map[string]string, draining bool) VM {
	return VM{name: n, labels: l, draining: draining}
}

// Name returns the name.
func (v VM) Name() string { return v.name }

// Labels returns the labels, which the caller must not modify.
func (v VM) Labels() map[string]string { return v.labels }

// Draining reports whether the VM receives no new work.
func (v VM) Draining() bool { return v.draining }
