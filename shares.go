package bulrushlug

// Shares knows how much work was done lately for each organisation, on all processes.
type Shares interface {
	// Charge counts work, in tokens, for organisation o.
	Charge(o string, work float64)

	// Used returns the recent work for organisation o, divided by its weight.
	Used(o string) float64

	// Exceeds reports whether organisation o got clearly more than the others for its weight.
	Exceeds(o string) bool
}
