// Package disk keeps chunks of files on the disk of one VM.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"syscall"

	"bulrushlug.dev/bulrushlug"
)

const (
	headerBytes = 8        // Magic number and CRC-32C.
	magic       = 0x62756c // First four bytes of each chunk.
	minFree     = 64 << 20 // Bytes of the disk that stay free.
	folderMode  = 0o700
	temporary   = ".tmp"
)

var (
	table = crc32.MakeTable(crc32.Castagnoli)
	names = regexp.MustCompile(`^[a-zA-Z0-9_-]{1,128}$`)
)

// Checksum returns the CRC-32C of p.
func Checksum(p []byte) uint32 { return crc32.Checksum(p, table) }

// Store keeps each chunk in a file of its own, which appears only once it is synced.
type Store struct {
	root string // Folder that holds one folder for each file.
}

// New returns the disk in folder d, which it makes if needed; leftovers of unfinished writes are removed.
func New(d string) (*Store, error) {
	v := &Store{root: filepath.Join(d, "chunks")}
	if err := os.MkdirAll(v.root, folderMode); err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindStorage, d, err)
	}
	return v, v.clean()
}

func (v *Store) clean() error {
	l, err := filepath.Glob(filepath.Join(v.root, "*", "*"+temporary+"*"))
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStorage, v.root, err)
	}
	for _, p := range l {
		if err := os.Remove(p); err != nil {
			return bulrushlug.WrapError(bulrushlug.KindStorage, p, err)
		}
	}
	return nil
}

func (v *Store) path(f string, n uint32) (string, error) {
	if !names.MatchString(f) {
		return "", bulrushlug.Errorf(bulrushlug.KindBadRequest, "%q is no name of a file", f)
	}
	return filepath.Join(v.root, f, fmt.Sprintf("%08d", n)), nil
}

// Put keeps chunk n of file f; it returns once the chunk is synced.
func (v *Store) Put(f string, n uint32, p []byte) error {
	k, err := v.path(f, n)
	if err != nil {
		return err
	}
	if err := v.room(len(p)); err != nil {
		return err
	}
	if err := v.write(k, p); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStorage, k, err)
	}
	return nil
}

func (v *Store) room(n int) error {
	var s syscall.Statfs_t
	if err := syscall.Statfs(v.root, &s); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStorage, v.root, err)
	}
	if s.Bavail*uint64(s.Bsize) < minFree+uint64(n) {
		return bulrushlug.Errorf(bulrushlug.KindStorage, "%s: the disk is full", v.root)
	}
	return nil
}

func (v *Store) write(k string, p []byte) error {
	d := filepath.Dir(k)
	made := os.Mkdir(d, folderMode)
	if made != nil && !errors.Is(made, fs.ErrExist) {
		return made
	}
	if err := writeFile(k, p); err != nil {
		return err
	}
	if err := syncFolder(d); err != nil {
		return err
	}
	if made == nil {
		return syncFolder(v.root)
	}
	return nil
}

func writeFile(k string, p []byte) error {
	t, err := os.CreateTemp(filepath.Dir(k), filepath.Base(k)+temporary)
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(t.Name()) }()
	h := make([]byte, headerBytes)
	binary.BigEndian.PutUint32(h, magic)
	binary.BigEndian.PutUint32(h[4:], Checksum(p))
	for _, b := range [][]byte{h, p} {
		if _, err := t.Write(b); err != nil {
			return errors.Join(err, t.Close())
		}
	}
	if err := t.Sync(); err != nil {
		return errors.Join(err, t.Close())
	}
	if err := t.Close(); err != nil {
		return err
	}
	return os.Rename(t.Name(), k)
}

func syncFolder(d string) error {
	f, err := os.Open(d)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Get returns chunk n of file f; KindNotFound and KindStorage tell a missing chunk from a damaged one.
func (v *Store) Get(f string, n uint32) ([]byte, error) {
	k, err := v.path(f, n)
	if err != nil {
		return nil, err
	}
	b, err := os.ReadFile(k)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, bulrushlug.Errorf(bulrushlug.KindNotFound, "%s: no such chunk", k)
	case err != nil:
		return nil, bulrushlug.WrapError(bulrushlug.KindStorage, k, err)
	case !valid(b):
		return nil, bulrushlug.Errorf(bulrushlug.KindStorage, "%s: the checksum is wrong", k)
	}
	return b[headerBytes:], nil
}

func valid(b []byte) bool {
	return len(b) >= headerBytes &&
		binary.BigEndian.Uint32(b) == magic &&
		binary.BigEndian.Uint32(b[4:]) == Checksum(b[headerBytes:])
}

// Drop removes chunk n of file f.
func (v *Store) Drop(f string, n uint32) error {
	k, err := v.path(f, n)
	if err != nil {
		return err
	}
	if err := os.Remove(k); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return bulrushlug.WrapError(bulrushlug.KindStorage, k, err)
	}
	_ = os.Remove(filepath.Dir(k))
	return nil
}
