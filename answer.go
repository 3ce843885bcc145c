package bulrushlug

// Answer says how one kind of failure is reported.
type Answer struct {
	name      string // Never empty and unique in the table.
	status    int    // HTTP status, 400 to 599.
	retryable bool   // Implies that ran is false.
	ran       bool   // False only where the request certainly did not run.
}

// Name returns the machine-readable name.
func (a Answer) Name() string { return a.name }

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Retryable reports whether the caller may send the request again.
func (a Answer) Retryable() bool { return a.retryable }

// Ran reports whether the request may have run.
func (a Answer) Ran() bool { return a.ran }
