package bulrushlug

// ErrorResponse is the HTTP response that an error kind maps to.
type ErrorResponse struct {
	name       string // Machine-readable; non-empty and unique among the kinds.
	status     int    // HTTP status, 400 to 599.
	retryable  bool   // Implies that mayHaveRun is false, so that a retry can't run the request twice.
	mayHaveRun bool   // False only if the request is guaranteed not to have run.
}

// Name returns the machine-readable name.
func (a ErrorResponse) Name() string { return a.name }

// Status returns the HTTP status.
func (a ErrorResponse) Status() int { return a.status }

// Retryable reports whether the caller can retry the request without running it twice.
func (a ErrorResponse) Retryable() bool { return a.retryable }

// MayHaveRun reports whether the request may have run on a backend server.
func (a ErrorResponse) MayHaveRun() bool { return a.mayHaveRun }
