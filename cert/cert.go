// Package cert gives the TLS configuration for connections between processes, and follows changes of its files.
package cert

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// checkInterval is the least time between two looks at the files.
const checkInterval = 5 * time.Second

// Reloader holds the certificate of a process and the authorities that it trusts.
type Reloader struct {
	certificate string // Path of the PEM file with the certificate.
	key         string // Path of the PEM file with the private key.
	authority   string // Path of the PEM file with the authorities.
	mu          sync.Mutex
	config      *tls.Config // Not changed after construction.
	changed     time.Time   // Newest change of the files in config.
	checked     time.Time   // When the files were last looked at.
}

// New reads the PEM files at the paths c, k and a.
func New(c, k, a string) (*Reloader, error) {
	x := &Reloader{certificate: c, key: k, authority: a}
	return x, x.load()
}

// Config returns the newest configuration; files that can't be read leave it as it is.
func (x *Reloader) Config() *tls.Config {
	x.mu.Lock()
	defer x.mu.Unlock()
	if time.Since(x.checked) > checkInterval {
		x.checked = time.Now()
		if t := x.newest(); t.After(x.changed) {
			_ = x.load()
		}
	}
	return x.config
}

func (x *Reloader) newest() time.Time {
	var t time.Time
	for _, p := range []string{x.certificate, x.key, x.authority} {
		if i, err := os.Stat(p); err == nil && i.ModTime().After(t) {
			t = i.ModTime()
		}
	}
	return t
}

func (x *Reloader) load() error {
	t := x.newest()
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

// serverName is the DNS name in the certificates of all processes, whose addresses change.
const serverName = "bulrushlug"
