package bulrushlug

// Ring is one numbered membership from which the homes of organisations are worked out.
type Ring struct {
	epoch   uint64   // Rises with each ring.
	members []string // Names of VMs, sorted and unique.
}

// NewRing returns ring e over the members m.
func NewRing(e uint64, m []string) Ring { return Ring{epoch: e, members: m} }

// Epoch returns the number of the ring.
func (r Ring) Epoch() uint64 { return r.epoch }

// Members returns the VMs, which must not be changed.
func (r Ring) Members() []string { return r.members }
