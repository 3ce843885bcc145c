// Package issuer creates a certificate authority and the certificates for connections between processes.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour // Validity of a certificate authority.
	processValidity   = 90 * 24 * time.Hour       // Validity of a process's certificate.
	serialBits        = 120
	fileMode          = 0o600
	folderMode        = 0o700
	serverName        = "bulrushlug" // DNS name in the certificates of all processes.
)

// Authority is a certificate authority for the processes.
type Authority struct {
	folder      string // Folder that the files are written to.
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New creates an authority and writes its certificate to ca.pem in folder d. It fails if there is one: without it, no
// process trusts the certificates that were issued under it.
//
// The private key of the authority is never stored: to issue more certificates later, create a new authority and add
// its certificate to the old one in ca.pem.
func New(d string) (*Authority, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindInternal, d, err)
	}
	t := template("bulrushlug authority", authorityValidity)
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	b, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindInternal, d, err)
	}
	c, err := x509.ParseCertificate(b)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindInternal, d, err)
	}
	if err := os.MkdirAll(d, folderMode); err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, d, err)
	}
	a := &Authority{folder: d, certificate: c, key: k}
	return a, a.write("ca.pem", "CERTIFICATE", b, os.O_EXCL)
}

func template(name string, d time.Duration) *x509.Certificate {
	n, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	t := time.Now()
	return &x509.Certificate{
		SerialNumber: n,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    t.Add(-time.Hour),
		NotAfter:     t.Add(d),
	}
}

// Issue writes the certificate and private key of the process on VM v to v.pem and v-key.pem.
func (a *Authority) Issue(v string) error {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, v, err)
	}
	t := template(v, processValidity)
	t.DNSNames = []string{serverName}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	b, err := x509.CreateCertificate(rand.Reader, t, a.certificate, &k.PublicKey, a.key)
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, v, err)
	}
	p, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, v, err)
	}
	if err := a.write(v+".pem", "CERTIFICATE", b, os.O_TRUNC); err != nil {
		return err
	}
	return a.write(v+"-key.pem", "PRIVATE KEY", p, os.O_TRUNC)
}

// write writes b to the file called name; flag says what happens to one that exists.
func (a *Authority) write(name, kind string, b []byte, flag int) error {
	p := filepath.Join(a.folder, name)
	f, err := os.OpenFile(p, os.O_WRONLY|os.O_CREATE|flag, fileMode)
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	if err := errors.Join(pem.Encode(f, &pem.Block{Type: kind, Bytes: b}), f.Close()); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	return nil
}
