package dgram

import (
	"crypto/cipher"
	"crypto/rand"
	"encoding/hex"

	"golang.org/x/crypto/chacha20poly1305"

	"bulrushlug.dev/bulrushlug"
)

// sealer encrypts and authenticates datagrams with XChaCha20-Poly1305, under keys that all processes share.
type sealer struct {
	keys []cipher.AEAD // The first encrypts, all decrypt, so that keys can be rotated. Empty for no encryption.
}

// newSealer returns the sealer for secrets of 32 bytes in hex; without secrets datagrams are not encrypted.
func newSealer(l []string) (*sealer, error) {
	s := &sealer{}
	for _, h := range l {
		b, err := hex.DecodeString(h)
		if err != nil {
			return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, "peerSecrets", err)
		}
		k, err := chacha20poly1305.NewX(b)
		if err != nil {
			return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, "peerSecrets", err)
		}
		s.keys = append(s.keys, k)
	}
	return s, nil
}

func (s *sealer) seal(p []byte) []byte {
	if len(s.keys) == 0 {
		return p
	}
	n := make([]byte, chacha20poly1305.NonceSizeX, chacha20poly1305.NonceSizeX+len(p)+chacha20poly1305.Overhead)
	_, _ = rand.Read(n)
	return s.keys[0].Seal(n, n, p, nil)
}

func (s *sealer) open(p []byte) ([]byte, bool) {
	if len(s.keys) == 0 {
		return p, true
	}
	if len(p) < chacha20poly1305.NonceSizeX {
		return nil, false
	}
	n, x := p[:chacha20poly1305.NonceSizeX], p[chacha20poly1305.NonceSizeX:]
	for _, k := range s.keys {
		if b, err := k.Open(nil, n, x, nil); err == nil {
			return b, true
		}
	}
	return nil, false
}
