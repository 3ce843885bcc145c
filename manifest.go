package bulrushlug

import "time"

// DefaultMaxHeaderBytes is the maximum size of a request header in bytes if the manifest sets none.
const DefaultMaxHeaderBytes = 16 << 10

// Bounds are the size limits and timeouts for callers' HTTP requests; values are immutable.
type Bounds struct {
	maxHeaderBytes int           // Maximum size of a request header in bytes; zero for the default.
	maxBodyBytes   int64         // Maximum size of a request body in bytes.
	headerTimeout  time.Duration // Timeout for reading a request header; zero for the default.
	idleTimeout    time.Duration // Idle timeout of a keep-alive connection; zero for the default.
}

// NewBounds returns bounds with header and body sizes in bytes.
func NewBounds(header int, body int64, headerTimeout, idleTimeout time.Duration) Bounds {
	return Bounds{maxHeaderBytes: header, maxBodyBytes: body, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// MaxHeaderBytes returns the maximum size of a request header in bytes; zero for the default.
func (b Bounds) MaxHeaderBytes() int { return b.maxHeaderBytes }

// MaxBodyBytes returns the maximum size of a request body in bytes.
func (b Bounds) MaxBodyBytes() int64 { return b.maxBodyBytes }

// HeaderTimeout returns the timeout for reading a request header; zero for the default.
func (b Bounds) HeaderTimeout() time.Duration { return b.headerTimeout }

// IdleTimeout returns the idle timeout of a keep-alive connection; zero for the default.
func (b Bounds) IdleTimeout() time.Duration { return b.idleTimeout }

// Manifest is the operators' whole configuration at one version; values are immutable.
type Manifest struct {
	version  uint64 // Increases with each change.
	config   *Config
	bounds   Bounds
	services []Service
}

// NewManifest returns version n of the manifest.
func NewManifest(n uint64, f *Config, b Bounds, s ...Service) *Manifest {
	return &Manifest{version: n, config: f, bounds: b, services: s}
}

// Version returns the version.
func (m *Manifest) Version() uint64 { return m.version }

// Config returns the organisations and routes.
func (m *Manifest) Config() *Config { return m.config }

// Bounds returns the limits for callers' HTTP requests.
func (m *Manifest) Bounds() Bounds { return m.bounds }

// Services returns the services; the caller must not change the list.
func (m *Manifest) Services() []Service { return m.services }
