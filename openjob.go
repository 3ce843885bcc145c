package bulrushlug

// OpenJob is the mark of a job that is not final.
type OpenJob struct {
	id           string
	organisation string
	cancel       bool // The job must stop.
}

// NewOpenJob returns the mark of job i of organisation o.
func NewOpenJob(i, o string, cancel bool) OpenJob {
	return OpenJob{id: i, organisation: o, cancel: cancel}
}

// ID returns the identifier of the job.
func (o OpenJob) ID() string { return o.id }

// Organisation returns the organisation that owns the job.
func (o OpenJob) Organisation() string { return o.organisation }

// Cancel reports whether the job must stop.
func (o OpenJob) Cancel() bool { return o.cancel }
