// Package upload cuts a stream of lines into chunks and keeps them.
package upload

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/copies"
)

const (
	maxLine   = 1 << 20   // Bytes of one line.
	maxItems  = 500_000   // Lines of one file.
	itemsEach = 256       // Lines of one chunk.
	small     = 512 << 10 // Bytes at which one of the first chunks is full.
	medium    = 1 << 20   // Bytes at which a later chunk is full.
	large     = 2 << 20   // Bytes at which one of the last chunks is full.
	mediumAt  = 64        // Chunks after which they grow.
	largeAt   = 256       // Chunks after which they grow again.
)

// PurposeBatch marks files whose lines are items of a batch job.
const PurposeBatch = "batch"

// Uploader keeps files; it holds one chunk in memory at a time.
type Uploader struct{ copies *copies.Replicator }

// New returns an upload to x.
func New(x *copies.Replicator) *Uploader { return &Uploader{copies: x} }

// Save keeps the lines of b as a new file of organisation o; its chunks are synced when it returns.
func (u *Uploader) Save(c context.Context, o, name, purpose string, b io.Reader) (bulrushlug.File, error) {
	w := &writer{copies: u.copies, id: "file-" + uuid.NewString(), check: purpose == PurposeBatch, seen: map[uint64]bool{}}
	r := bufio.NewReaderSize(b, maxLine)
	for {
		l, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return w.abandon(c, bulrushlug.Errorf(bulrushlug.KindTooLarge, "line %d is longer than %d bytes", w.line+1, maxLine))
		}
		if e := w.add(c, l); e != nil {
			return w.abandon(c, e)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return w.abandon(c, bulrushlug.WrapError(bulrushlug.KindBadRequest, name, err))
		}
	}
	if err := w.flush(c); err != nil {
		return w.abandon(c, err)
	}
	if len(w.parts) == 0 {
		return w.abandon(c, bulrushlug.Errorf(bulrushlug.KindBadRequest, "the file is empty"))
	}
	return bulrushlug.NewFile(w.id, o, name, purpose, time.Now(), w.parts), nil
}

// writer gathers lines into the next chunk.
type writer struct {
	copies *copies.Replicator
	id     string
	check  bool            // Lines must be items.
	seen   map[uint64]bool // Hashes of the custom_id of all items.
	line   int             // Lines read.
	chunk  bytes.Buffer
	items  uint32 // Lines in chunk.
	parts  []bulrushlug.ChunkRef
}

func (w *writer) add(c context.Context, l []byte) error {
	w.line++
	if len(bytes.TrimSpace(l)) == 0 {
		return nil
	}
	if w.line > maxItems {
		return bulrushlug.Errorf(bulrushlug.KindTooLarge, "the file has more than %d lines", maxItems)
	}
	if w.check {
		if err := w.item(l); err != nil {
			return err
		}
	}
	w.chunk.Write(bytes.TrimRight(l, "\r\n"))
	w.chunk.WriteByte('\n')
	w.items++
	if w.items >= itemsEach || w.chunk.Len() >= w.limit() {
		return w.flush(c)
	}
	return nil
}

// limit returns the size at which the next chunk is full; it grows, so that the record of the file stays small.
func (w *writer) limit() int {
	switch n := len(w.parts); {
	case n < mediumAt:
		return small
	case n < largeAt:
		return medium
	}
	return large
}

// item checks one line of a batch.
func (w *writer) item(l []byte) error {
	if !gjson.ValidBytes(l) || !gjson.ParseBytes(l).IsObject() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "line %d is no JSON object", w.line)
	}
	for _, k := range []string{"custom_id", "method", "url"} {
		if gjson.GetBytes(l, k).String() == "" {
			return bulrushlug.Errorf(bulrushlug.KindBadRequest, "line %d has no %s", w.line, k)
		}
	}
	if !gjson.GetBytes(l, "body").IsObject() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "line %d has no body", w.line)
	}
	h := xxhash.Sum64String(gjson.GetBytes(l, "custom_id").String())
	if w.seen[h] {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "line %d repeats a custom_id", w.line)
	}
	w.seen[h] = true
	return nil
}

func (w *writer) flush(c context.Context) error {
	if w.items == 0 {
		return nil
	}
	p, err := w.copies.Put(c, w.id, uint32(len(w.parts)), w.items, w.chunk.Bytes())
	if err != nil {
		return err
	}
	w.parts = append(w.parts, p)
	w.chunk.Reset()
	w.items = 0
	return nil
}

// abandon removes what was kept and returns err.
func (w *writer) abandon(c context.Context, err error) (bulrushlug.File, error) {
	c = context.WithoutCancel(c)
	for _, p := range w.parts {
		w.copies.Drop(c, p)
	}
	return bulrushlug.File{}, err
}
