package bulrushlug

import (
	"cmp"
	"time"
)

// Bounds in force where the manifest sets none.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// Bounds are the size limits and timeouts for callers' HTTP requests; values are immutable.
type Bounds struct {
	maxHeaderBytes int           // Maximum size of a request header in bytes; zero for the default.
	maxBodyBytes   int64         // Maximum size of a request body in bytes.
	headerTimeout  time.Duration // Timeout for reading a request header; zero for the default.
	idleTimeout    time.Duration // Idle timeout of a keep-alive connection; zero for the default.
}

// NewBounds returns bounds with header and body sizes in bytes; zero stands for the default, but for the body.
func NewBounds(header int, body int64, headerTimeout, idleTimeout time.Duration) Bounds {
	return Bounds{maxHeaderBytes: header, maxBodyBytes: body, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// MaxHeaderBytes returns the maximum size of a request header in bytes.
func (b Bounds) MaxHeaderBytes() int { return cmp.Or(b.maxHeaderBytes, defaultMaxHeaderBytes) }

// MaxBodyBytes returns the maximum size of a request body in bytes.
func (b Bounds) MaxBodyBytes() int64 { return b.maxBodyBytes }

// HeaderTimeout returns the timeout for reading a request header.
func (b Bounds) HeaderTimeout() time.Duration { return cmp.Or(b.headerTimeout, defaultHeaderTimeout) }

// IdleTimeout returns the idle timeout of a keep-alive connection.
func (b Bounds) IdleTimeout() time.Duration { return cmp.Or(b.idleTimeout, defaultIdleTimeout) }

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
