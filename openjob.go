package bulrushlug

// OpenJob is the index entry of a job that has not reached a terminal state.
type OpenJob struct {
	id           string
	organisation string
	cancel       bool // Cancellation of the job was requested.
}

// NewOpenJob returns the index entry of job i of organisation o.
func NewOpenJob(i, o string, cancel bool) OpenJob {
	return OpenJob{id: i, organisation: o, cancel: cancel}
}

// ID returns the identifier of the job.
func (o OpenJob) ID() string { return o.id }

// Organisation returns the organisation that owns the job.
func (o OpenJob) Organisation() string { return o.organisation }

// Cancel reports whether cancellation of the job was requested.
func (o OpenJob) Cancel() bool { return o.cancel }
