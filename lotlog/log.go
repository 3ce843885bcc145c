// Package lotlog keeps an append-only log of each lot in a file of its own.
package lotlog

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	suffix     = ".lot"
	diskIDFile = "disk" // File that holds the identifier of the disk.
	headerSize = 8      // Bytes before each record: its length and its CRC-32C checksum.
	folderMode = 0o750
	fileMode   = 0o640
	shardCount = 16
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Log is a directory of logs.
type Log struct {
	folder string
	diskID string
	shards [shardCount]shard
}

// shard holds the open files of some lots; its lock is held during writes.
type shard struct {
	mu    sync.Mutex
	files map[string]*file // By identifier of the lot.
}

// file is the log of one lot.
type file struct {
	*os.File
	size int64 // Bytes of complete records; the next record is written there, over the rest of a failed write.
}

// Open opens the directory d and assigns an identifier to the disk if it has none.
func Open(d string) (*Log, error) {
	l := &Log{folder: d}
	for i := range l.shards {
		l.shards[i].files = map[string]*file{}
	}
	if err := os.MkdirAll(d, folderMode); err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindStorage, d, err)
	}
	p := filepath.Join(d, diskIDFile)
	b, err := os.ReadFile(p)
	if err == nil && len(b) == len(uuid.UUID{})*2 {
		l.diskID = string(b)
		return l, l.syncDiskID(p)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, bulrushlug.WrapError(bulrushlug.KindStorage, p, err)
	}
	u := uuid.New()
	l.diskID = hex.EncodeToString(u[:])
	return l, l.writeDiskID(p)
}

// syncDiskID syncs the identifier of the disk in file p: the process that wrote it may have been killed before it had.
func (l *Log) syncDiskID(p string) error {
	f, err := os.Open(p)
	if err == nil {
		err = errors.Join(f.Sync(), f.Close(), l.syncFolder())
	}
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStorage, p, err)
	}
	return nil
}

// writeDiskID writes the identifier of the disk to the file p. It is synced before any replica is written, as a
// torn identifier would lose all of them.
func (l *Log) writeDiskID(p string) error {
	f, err := os.OpenFile(p, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStorage, p, err)
	}
	_, err = f.WriteString(l.diskID)
	if err = errors.Join(err, f.Sync(), f.Close(), l.syncFolder()); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStorage, p, err)
	}
	return nil
}

// DiskID returns the identifier of the disk; a wiped disk gets another one.
func (l *Log) DiskID() string { return l.diskID }

func (l *Log) syncFolder() error {
	f, err := os.Open(l.folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (l *Log) shard(i string) *shard {
	return &l.shards[crc32.Checksum([]byte(i), crcTable)%shardCount]
}

func (l *Log) path(i string) string {
	return filepath.Join(l.folder, hex.EncodeToString([]byte(i))+suffix)
}

// Append writes u to the log of its lot; it returns once u is synced.
func (l *Log) Append(u bulrushlug.LotUpdate) error {
	b, err := proto.Marshal(codec.EncodeLotUpdate(u))
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStorage, u.Lot(), err)
	}
	r := make([]byte, headerSize, headerSize+len(b))
	binary.BigEndian.PutUint32(r, uint32(len(b)))
	binary.BigEndian.PutUint32(r[4:], crc32.Checksum(b, crcTable))
	r = append(r, b...)
	s := l.shard(u.Lot())
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := l.write(s, u.Lot(), r); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStorage, l.path(u.Lot()), err)
	}
	return nil
}

// write appends r to the file of lot i and syncs it; a partial write is truncated.
func (l *Log) write(s *shard, i string, r []byte) error {
	f, ok := s.files[i]
	if !ok {
		x, err := os.OpenFile(l.path(i), os.O_CREATE|os.O_RDWR, fileMode)
		if err != nil {
			return err
		}
		n, err := x.Seek(0, io.SeekEnd)
		if err != nil {
			return errors.Join(err, x.Close())
		}
		f = &file{File: x, size: n}
		s.files[i] = f
	}
	n, err := f.WriteAt(r, f.size)
	if err == nil {
		err = f.Sync()
	}
	if err == nil && !ok {
		err = l.syncFolder()
	}
	if err != nil && n > 0 {
		return errors.Join(err, f.Truncate(f.size))
	}
	if err == nil {
		f.size += int64(len(r))
	}
	return err
}

// Load calls f with all updates. A file with a torn record at its end is truncated before it, as that record was
// never acknowledged.
func (l *Log) Load(f func(u bulrushlug.LotUpdate)) error {
	e, err := os.ReadDir(l.folder)
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStorage, l.folder, err)
	}
	for _, x := range e {
		if !strings.HasSuffix(x.Name(), suffix) {
			continue
		}
		p := filepath.Join(l.folder, x.Name())
		if err := load(p, f); err != nil {
			return bulrushlug.WrapError(bulrushlug.KindStorage, p, err)
		}
	}
	return nil
}

func load(p string, f func(u bulrushlug.LotUpdate)) error {
	b, err := os.ReadFile(p)
	if err != nil {
		return err
	}
	n := 0
	for len(b)-n > headerSize {
		size := int(binary.BigEndian.Uint32(b[n:]))
		sum := binary.BigEndian.Uint32(b[n+4:])
		if size == 0 || size > len(b)-n-headerSize {
			break
		}
		r := b[n+headerSize : n+headerSize+size]
		w := &wire.LotAppend{}
		if crc32.Checksum(r, crcTable) != sum || proto.Unmarshal(r, w) != nil {
			break
		}
		u, err := codec.DecodeLotUpdate(w)
		if err != nil {
			break
		}
		f(u)
		n += headerSize + size
	}
	if n == len(b) {
		return nil
	}
	if n == 0 {
		return os.Remove(p)
	}
	return os.Truncate(p, int64(n))
}

// Drop removes the log of lot i, if there is one.
func (l *Log) Drop(i string) error {
	s := l.shard(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.files[i]; ok {
		delete(s.files, i)
		_ = f.Close()
	}
	if err := os.Remove(l.path(i)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return bulrushlug.WrapError(bulrushlug.KindStorage, l.path(i), err)
	}
	return nil
}
