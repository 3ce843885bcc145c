package dgram

// quiet drops the log lines of the event loops; the mesh has counters in their place.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) {}
