package bulrushlug

// Model places one version of a language model on backend servers; values are immutable.
type Model struct {
	name          string            // Never empty.
	version       string            // May be empty.
	labels        map[string]string // Not changed after construction.
	selector      string            // Selects the VMs that load the model.
	organisations string            // Selects the organisations that may use it; empty selects all.
}

// NewModel returns the placement of version v of model n on the VMs that s selects.
func NewModel(n, v, s string) Model { return Model{name: n, version: v, selector: s} }

// WithLabels returns a copy with labels l.
func (m Model) WithLabels(l map[string]string) Model {
	m.labels = l
	return m
}

// WithOrganisations returns a copy that only the organisations selected by s may use.
func (m Model) WithOrganisations(s string) Model {
	m.organisations = s
	return m
}

// Name returns the name.
func (m Model) Name() string { return m.name }

// Version returns the version.
func (m Model) Version() string { return m.version }

// Labels returns the labels, which must not be changed.
func (m Model) Labels() map[string]string { return m.labels }

// Selector returns the VM selector.
func (m Model) Selector() string { return m.selector }

// Organisations returns the organisation selector.
func (m Model) Organisations() string { return m.organisations }
