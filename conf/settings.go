// Package conf reads and checks the settings of a process: JSON with comments.
package conf

import (
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	defaultDrain     = 60        // Seconds that a planned stop may take.
	defaultBody      = 8 << 20   // Bytes of a request's body.
	defaultReplicas  = 3         // Copies of each chunk.
	defaultRetention = 24 * 30   // Hours for which final jobs and files are kept.
	secretDigits     = 64        // Hex digits of a secret and of a hash.
	maxDrain         = 3600      // Seconds.
	maxBody          = 256 << 20 // Bytes.
	maxReplicas      = 5
	maxRetention     = 24 * 365 // Hours.
	maxSlots         = 4096
)

// Settings are the checked settings of one process.
type Settings struct{ w *wire.Settings }

// Member returns the process as a member of the VM list.
func (s *Settings) Member() bulrushlug.Member {
	w := s.w
	return bulrushlug.NewMember(w.Vm, w.Listen, w.Region, w.Zone, w.Role).WithData(w.DataFolder != "")
}

// Role returns the role.
func (s *Settings) Role() string { return s.w.Role }

// Listen returns the address for other processes.
func (s *Settings) Listen() string { return s.w.Listen }

// HTTP returns the address for callers and operators.
func (s *Settings) HTTP() string { return s.w.Http }

// Debug returns the address of the counters, or nothing.
func (s *Settings) Debug() string { return s.w.Debug }

// Store returns the URL of the key-value service.
func (s *Settings) Store() string { return s.w.Store }

// VMList returns the URL of the VM list.
func (s *Settings) VMList() string { return s.w.VmList }

// Engine returns the URL of the model engine, or nothing.
func (s *Settings) Engine() string { return s.w.Engine }

// Services returns the URLs of the plain services by name.
func (s *Settings) Services() map[string]string {
	m := map[string]string{}
	for _, x := range s.w.Services {
		m[x.Name] = x.Url
	}
	return m
}

// Slots returns how many requests run at once, or zero to ask the engine.
func (s *Settings) Slots() int { return int(s.w.Slots) }

// DataFolder returns the folder for bulk data, or nothing.
func (s *Settings) DataFolder() string { return s.w.DataFolder }

// OperatorHash returns the hash of the operators' credential.
func (s *Settings) OperatorHash() string { return s.w.OperatorHash }

// PeerSecrets returns the secrets that seal messages between processes.
func (s *Settings) PeerSecrets() []string { return s.w.PeerSecrets }

// Drain returns how long a planned stop may take.
func (s *Settings) Drain() time.Duration { return time.Duration(s.w.GetDrainSeconds()) * time.Second }

// MaxBody returns the largest body of a request in bytes.
func (s *Settings) MaxBody() int64 { return int64(s.w.GetMaxBodyBytes()) }

// Replicas returns the number of copies of each chunk.
func (s *Settings) Replicas() int { return int(s.w.GetReplicas()) }

// Retention returns for how long final jobs and files are kept.
func (s *Settings) Retention() time.Duration {
	return time.Duration(s.w.GetRetentionHours()) * time.Hour
}

// TLS returns the paths of certificate, key and authorities, and whether they are set.
func (s *Settings) TLS() (certificate, key, authority string, ok bool) {
	t := s.w.Tls
	return t.GetCertificate(), t.GetKey(), t.GetAuthority(), t != nil
}

// fill puts defaults in place of what is left out.
func (s *Settings) fill() {
	w := s.w
	w.DrainSeconds = orDefault(w.DrainSeconds, defaultDrain)
	w.MaxBodyBytes = orDefault(w.MaxBodyBytes, defaultBody)
	w.Replicas = orDefault(w.Replicas, defaultReplicas)
	w.RetentionHours = orDefault(w.RetentionHours, defaultRetention)
}

func orDefault(p *uint32, n uint32) *uint32 {
	if p != nil {
		return p
	}
	return &n
}
