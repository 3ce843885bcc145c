// Package conf reads and validates the settings of a process, which are JSON with comments.
package conf

import (
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	defaultDrain     = 60        // Seconds for a graceful shutdown.
	defaultBody      = 8 << 20   // Bytes of a request body.
	defaultReplicas  = 3         // Replicas of each chunk.
	defaultRetention = 24 * 30   // Hours for which finished jobs and files are kept.
	secretDigits     = 64        // Hex digits of a secret or a hash.
	maxDrain         = 3600      // Seconds.
	maxBody          = 256 << 20 // Bytes.
	maxReplicas      = 5
	maxRetention     = 24 * 365 // Hours.
	maxSlots         = 4096
)

// Settings holds the validated settings of one process, with defaults filled in.
type Settings struct{ w *wire.Settings }

// Member returns the process as a member of the VM list.
func (s *Settings) Member() bulrushlug.Member {
	w := s.w
	return bulrushlug.NewMember(w.Vm, w.Listen, w.Region, w.Zone, w.Role).WithDataFolder(w.DataFolder != "")
}

// Role returns bulrushlug.RoleEntry or bulrushlug.RoleAgent.
func (s *Settings) Role() string { return s.w.Role }

// Listen returns the host:port for calls and datagrams from other processes.
func (s *Settings) Listen() string { return s.w.Listen }

// HTTP returns the host:port for callers and operators; empty if there is none.
func (s *Settings) HTTP() string { return s.w.Http }

// DebugAddress returns the host:port at which the counters are served; empty if there is none.
func (s *Settings) DebugAddress() string { return s.w.Debug }

// Store returns the URL of the key-value service.
func (s *Settings) Store() string { return s.w.Store }

// VMList returns the URL of the VM list.
func (s *Settings) VMList() string { return s.w.VmList }

// Engine returns the URL of the model engine; empty if there is none.
func (s *Settings) Engine() string { return s.w.Engine }

// Services returns the URLs of the plain services by name.
func (s *Settings) Services() map[string]string {
	m := map[string]string{}
	for _, x := range s.w.Services {
		m[x.Name] = x.Url
	}
	return m
}

// Slots returns the maximum number of concurrent requests; zero for that of the engine.
func (s *Settings) Slots() int { return int(s.w.Slots) }

// DataFolder returns the directory for chunks; empty if there is none.
func (s *Settings) DataFolder() string { return s.w.DataFolder }

// OperatorHash returns the hash of the operators' credential in hex.
func (s *Settings) OperatorHash() string { return s.w.OperatorHash }

// PeerSecrets returns the hex-encoded keys of datagrams between processes: the first encrypts, all decrypt.
func (s *Settings) PeerSecrets() []string { return s.w.PeerSecrets }

// DrainTimeout returns the longest time for a graceful shutdown.
func (s *Settings) DrainTimeout() time.Duration {
	return time.Duration(s.w.GetDrainSeconds()) * time.Second
}

// MaxBodyBytes returns the largest request body in bytes.
func (s *Settings) MaxBodyBytes() int64 { return int64(s.w.GetMaxBodyBytes()) }

// Replicas returns the number of replicas of each chunk.
func (s *Settings) Replicas() int { return int(s.w.GetReplicas()) }

// Retention returns for how long finished jobs and files are kept.
func (s *Settings) Retention() time.Duration {
	return time.Duration(s.w.GetRetentionHours()) * time.Hour
}

// TLS returns the paths of the PEM files of certificate, private key and certificate authorities, and whether TLS is on.
func (s *Settings) TLS() (certificate, key, authority string, ok bool) {
	t := s.w.Tls
	return t.GetCertificate(), t.GetKey(), t.GetAuthority(), t != nil
}

// setDefaults sets the fields that the file leaves out.
func (s *Settings) setDefaults() {
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
