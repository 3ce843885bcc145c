// Package cert provides the mutual TLS configuration for connections between processes, and reloads its files when they
// change.
package cert

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// checkInterval is the least time between two checks of the files' modification times.
const checkInterval = 5 * time.Second

// Reloader holds the TLS configuration from three PEM files.
type Reloader struct {
	certificate string      // Path of the certificate.
	key         string      // Path of the private key.
	authority   string      // Path of the trusted certificate authorities.
	mu          sync.Mutex  // Guards the fields below.
	config      *tls.Config // Replaced as a whole on each reload; never modified.
	changed     time.Time   // Newest modification time of the files that config was loaded from.
	checked     time.Time   // When the modification times were last checked.
}

// New loads the certificate c, the private key k and the authorities a from PEM files at these paths.
func New(c, k, a string) (*Reloader, error) {
	x := &Reloader{certificate: c, key: k, authority: a}
	return x, x.load()
}

// Config returns the current configuration, reloaded if the files have changed; if they can't be loaded, it stays.
func (x *Reloader) Config() *tls.Config {
	x.mu.Lock()
	defer x.mu.Unlock()
	if time.Since(x.checked) > checkInterval {
		x.checked = time.Now()
		if t := x.newestChange(); t.After(x.changed) {
			_ = x.load()
		}
	}
	return x.config
}

func (x *Reloader) newestChange() time.Time {
	var t time.Time
	for _, p := range []string{x.certificate, x.key, x.authority} {
		if i, err := os.Stat(p); err == nil && i.ModTime().After(t) {
			t = i.ModTime()
		}
	}
	return t
}

func (x *Reloader) load() error {
	t := x.newestChange()
	c, err := tls.LoadX509KeyPair(x.certificate, x.key)
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, x.certificate, err)
	}
	b, err := os.ReadFile(x.authority)
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, x.authority, err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "%s: no certificate", x.authority)
	}
	x.config = &tls.Config{
		Certificates: []tls.Certificate{c},
		RootCAs:      p,
		ClientCAs:    p,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		ServerName:   serverName,
	}
	x.changed = t
	return nil
}

// serverName is the DNS name in the certificates of all processes; their addresses change, so these are not checked.
const serverName = "bulrushlug"
