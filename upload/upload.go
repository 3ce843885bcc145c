// Package upload splits uploaded files into chunks of whole lines and stores them.
package upload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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
	maxLineBytes    = 1 << 20   // Bytes of one line, including the line break.
	maxLines        = 500_000   // Lines of one file.
	maxChunkLines   = 256       // Lines of one chunk.
	smallChunk      = 512 << 10 // Size limit of the first chunks, in bytes.
	mediumChunk     = 1 << 20   // Size limit of later chunks, in bytes.
	largeChunk      = 2 << 20   // Size limit of the last chunks, in bytes.
	mediumChunkFrom = 64        // Number of chunks after which mediumChunk applies.
	largeChunkFrom  = 256       // Number of chunks after which largeChunk applies.
)

// PurposeBatch is the purpose of files whose lines are items of a batch job.
const PurposeBatch = "batch"

// Uploader stores files; each upload holds one chunk in memory.
type Uploader struct{ replicator *copies.Replicator }

// New returns an uploader that stores chunks in x.
func New(x *copies.Replicator) *Uploader { return &Uploader{replicator: x} }

// Save stores the lines of b as a new file of organisation o, and returns its record once all chunks are synced to
// disk. The caller stores the record.
func (u *Uploader) Save(c context.Context, o, name, purpose string, b io.Reader) (bulrushlug.File, error) {
	w := &writer{replicator: u.replicator, id: "file-" + uuid.NewString(), checkItems: purpose == PurposeBatch, customIDs: map[uint64]bool{}}
	r := bufio.NewReaderSize(b, maxLineBytes)
	for {
		l, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return w.abort(c, bulrushlug.Errorf(bulrushlug.KindTooLarge, "line %d is longer than %d bytes", w.line+1, maxLineBytes))
		}
		if e := w.add(c, l); e != nil {
			return w.abort(c, e)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return w.abort(c, bulrushlug.WrapError(bulrushlug.KindBadRequest, name, err))
		}
	}
	if err := w.flush(c); err != nil {
		return w.abort(c, err)
	}
	if len(w.chunks) == 0 {
		return w.abort(c, bulrushlug.Errorf(bulrushlug.KindBadRequest, "the file is empty"))
	}
	return bulrushlug.NewFile(w.id, o, name, purpose, time.Now(), w.chunks), nil
}

// writer collects lines into the next chunk.
type writer struct {
	replicator *copies.Replicator
	id         string
	checkItems bool            // Lines must be batch items.
	customIDs  map[uint64]bool // Hashes of the custom_id of all items.
	line       int             // Lines read, including blank ones.
	chunk      bytes.Buffer    // The next chunk.
	items      uint32          // Lines in the next chunk.
	chunks     []bulrushlug.ChunkRef
}

func (w *writer) add(c context.Context, l []byte) error {
	w.line++
	if len(bytes.TrimSpace(l)) == 0 {
		return nil
	}
	if w.line > maxLines {
		return bulrushlug.Errorf(bulrushlug.KindTooLarge, "the file has more than %d lines", maxLines)
	}
	if w.checkItems {
		if err := w.checkItem(l); err != nil {
			return err
		}
	}
	w.chunk.Write(bytes.TrimRight(l, "\r\n"))
	w.chunk.WriteByte('\n')
	w.items++
	if w.items >= maxChunkLines || w.chunk.Len() >= w.chunkLimit() {
		return w.flush(c)
	}
	return nil
}

// chunkLimit returns the size limit of the next chunk; it grows with the file, so that the file's record stays small.
func (w *writer) chunkLimit() int {
	switch n := len(w.chunks); {
	case n < mediumChunkFrom:
		return smallChunk
	case n < largeChunkFrom:
		return mediumChunk
	}
	return largeChunk
}

// checkItem validates one line as a batch item; custom_id must be unique in the file.
func (w *writer) checkItem(l []byte) error {
	if !json.Valid(l) || !gjson.ParseBytes(l).IsObject() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "line %d is not a JSON object", w.line)
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
	if w.customIDs[h] {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "line %d repeats a custom_id", w.line)
	}
	w.customIDs[h] = true
	return nil
}

func (w *writer) flush(c context.Context) error {
	if w.items == 0 {
		return nil
	}
	p, err := w.replicator.Put(c, w.id, uint32(len(w.chunks)), w.items, w.chunk.Bytes())
	if err != nil {
		return err
	}
	w.chunks = append(w.chunks, p)
	w.chunk.Reset()
	w.items = 0
	return nil
}

// abort deletes the chunks that were stored and returns err.
func (w *writer) abort(c context.Context, err error) (bulrushlug.File, error) {
	c = context.WithoutCancel(c)
	for _, p := range w.chunks {
		w.replicator.Drop(c, p)
	}
	return bulrushlug.File{}, err
}
