package bulrushlug

import "time"

// Bounds limit what callers may send and how long they may stay idle; values are immutable.
type Bounds struct {
	header       int           // Bytes of the header of a request.
	body         int64         // Bytes of the body of a request.
	headerWithin time.Duration // Time to send a header.
	idle         time.Duration // Time that a connection may stay idle.
}

// NewBounds returns bounds in bytes and time.
func NewBounds(header int, body int64, headerWithin, idle time.Duration) Bounds {
	return Bounds{header: header, body: body, headerWithin: headerWithin, idle: idle}
}

// Header returns the bytes of a header.
func (b Bounds) Header() int { return b.header }

// Body returns the bytes of a body.
func (b Bounds) Body() int64 { return b.body }

// HeaderWithin returns the time to send a header.
func (b Bounds) HeaderWithin() time.Duration { return b.headerWithin }

// Idle returns the time that a connection may stay idle.
func (b Bounds) Idle() time.Duration { return b.idle }

// Manifest is all that operators configure, at one version; values are immutable.
type Manifest struct {
	version uint64 // Rises with each change.
	config  *Config
	bounds  Bounds
}

// NewManifest returns version n.
func NewManifest(n uint64, f *Config, b Bounds) *Manifest {
	return &Manifest{version: n, config: f, bounds: b}
}

// Version returns the version.
func (m *Manifest) Version() uint64 { return m.version }

// Config returns organisations and routes.
func (m *Manifest) Config() *Config { return m.config }

// Bounds returns the limits for callers.
func (m *Manifest) Bounds() Bounds { return m.bounds }
