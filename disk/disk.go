// Package disk stores chunks of files on the disk of one VM.
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
	"sync"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	shardCount  = 64
	headerBytes = 8        // Magic number and CRC-32C.
	magic       = 0x62756c // First four bytes of each chunk, big-endian.
	minFree     = 64 << 20 // Bytes of the disk that must stay free.
	dirMode     = 0o700
	tempSuffix  = ".tmp"
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	validName  = regexp.MustCompile(`^[a-zA-Z0-9_-]{1,128}$`)
)

// Checksum returns the CRC-32C of p.
func Checksum(p []byte) uint32 { return crc32.Checksum(p, castagnoli) }

// Store keeps each chunk with its checksum in a file, which is renamed into place once it is synced.
type Store struct {
	root  string                   // Directory with one directory for each file.
	locks [shardCount]sync.RWMutex // By file: held for reading while a chunk is written, so that Drop does not remove the directory.
}

// New returns the store in directory d, which it creates if needed, and removes temporary files of interrupted writes.
func New(d string) (*Store, error) {
	v := &Store{root: filepath.Join(d, "chunks")}
	if err := os.MkdirAll(v.root, dirMode); err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindStorage, d, err)
	}
	return v, errors.Join(v.removeTemporary(), v.syncDirs())
}

// syncDirs syncs all directories: a process that was killed may have created some, and their chunks, without doing so.
func (v *Store) syncDirs() error {
	l, err := os.ReadDir(v.root)
	for _, e := range l {
		if e.IsDir() && err == nil {
			err = syncDir(filepath.Join(v.root, e.Name()))
		}
	}
	if err == nil {
		err = syncDir(v.root)
	}
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStorage, v.root, err)
	}
	return nil
}

func (v *Store) removeTemporary() error {
	l, err := filepath.Glob(filepath.Join(v.root, "*", "*"+tempSuffix+"*"))
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
	if !validName.MatchString(f) {
		return "", bulrushlug.Errorf(bulrushlug.KindBadRequest, "%q is not a valid file name", f)
	}
	return filepath.Join(v.root, f, fmt.Sprintf("%08d", n)), nil
}

// Put stores chunk n of file f and returns once it is synced to disk.
func (v *Store) Put(f string, n uint32, p []byte) error {
	k, err := v.path(f, n)
	if err != nil {
		return err
	}
	if err := v.checkSpace(len(p)); err != nil {
		return err
	}
	l := v.lock(f)
	l.RLock()
	defer l.RUnlock()
	if err := v.write(k, p); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStorage, k, err)
	}
	return nil
}

func (v *Store) lock(f string) *sync.RWMutex { return &v.locks[xxhash.Sum64String(f)%shardCount] }

func (v *Store) checkSpace(n int) error {
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
	e := os.Mkdir(d, dirMode)
	if e != nil && !errors.Is(e, fs.ErrExist) {
		return e
	}
	if err := writeFile(k, p); err != nil {
		return err
	}
	if err := syncDir(d); err != nil {
		return err
	}
	if e == nil { // The directory is new.
		return syncDir(v.root)
	}
	return nil
}

func writeFile(k string, p []byte) error {
	t, err := os.CreateTemp(filepath.Dir(k), filepath.Base(k)+tempSuffix)
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

func syncDir(d string) error {
	f, err := os.Open(d)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Get returns chunk n of file f; KindNotFound means that it is missing, KindStorage that it can't be read or is
// corrupt.
func (v *Store) Get(f string, n uint32) ([]byte, error) {
	k, err := v.path(f, n)
	if err != nil {
		return nil, err
	}
	b, err := os.ReadFile(k)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, bulrushlug.Errorf(bulrushlug.KindNotFound, "%s: the chunk does not exist", k)
	case err != nil:
		return nil, bulrushlug.WrapError(bulrushlug.KindStorage, k, err)
	case !checksumOK(b):
		return nil, bulrushlug.Errorf(bulrushlug.KindStorage, "%s: checksum mismatch", k)
	}
	return b[headerBytes:], nil
}

func checksumOK(b []byte) bool {
	return len(b) >= headerBytes &&
		binary.BigEndian.Uint32(b) == magic &&
		binary.BigEndian.Uint32(b[4:]) == Checksum(b[headerBytes:])
}

// Drop deletes chunk n of file f; a missing chunk is no error.
func (v *Store) Drop(f string, n uint32) error {
	k, err := v.path(f, n)
	if err != nil {
		return err
	}
	if err := os.Remove(k); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return bulrushlug.WrapError(bulrushlug.KindStorage, k, err)
	}
	l := v.lock(f)
	l.Lock()
	defer l.Unlock()
	_ = os.Remove(filepath.Dir(k)) // Fails while the directory has other chunks.
	return nil
}
