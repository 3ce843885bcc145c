package bulrushlug

// Model is the placement of one version of a language model on VMs; values are immutable.
type Model struct {
	name          string            // Non-empty.
	version       string            // May be empty.
	labels        map[string]string // Not changed after construction.
	selector      string            // Label selector of the VMs that load the model.
	organisations string            // Label selector of the organisations that may use the model; empty selects all.
}

// NewModel returns the placement of version v of model n on the VMs that label selector s matches.
func NewModel(n, v, s string) Model { return Model{name: n, version: v, selector: s} }

// WithLabels returns a copy with labels l.
func (m Model) WithLabels(l map[string]string) Model {
	m.labels = l
	return m
}

// WithOrganisations returns a copy that only the organisations matched by label selector s may use.
func (m Model) WithOrganisations(s string) Model {
	m.organisations = s
	return m
}

// Name returns the name.
func (m Model) Name() string { return m.name }

// Version returns the version.
func (m Model) Version() string { return m.version }

// Labels returns the labels, which the caller must not modify.
func (m Model) Labels() map[string]string { return m.labels }

// Selector returns the label selector of the VMs that load the model.
func (m Model) Selector() string { return m.selector }

// Organisations returns the label selector of the organisations that may use the model; empty selects all.
func (m Model) Organisations() string { return m.organisations }
