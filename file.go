package bulrushlug

import (
	"slices"
	"time"
)

// ChunkRef locates the replicas of one chunk of a file; values are immutable.
type ChunkRef struct {
	vms      []string // VMs that store a replica of the chunk.
	file     string   // File name under which the chunk is stored.
	index    uint32   // Index of the chunk in that file.
	items    uint32   // Number of lines in the chunk.
	bytes    uint32   // Size of the chunk in bytes.
	checksum uint32   // CRC-32C of the chunk.
}

// NewChunkRef returns the location of chunk n of file f, stored on the VMs v; bytes is its size and checksum its CRC-32C.
func NewChunkRef(f string, n uint32, v []string, items, bytes, checksum uint32) ChunkRef {
	return ChunkRef{vms: v, file: f, index: n, items: items, bytes: bytes, checksum: checksum}
}

// WithVMs returns a copy that is stored on the VMs v.
func (p ChunkRef) WithVMs(v []string) ChunkRef {
	p.vms = slices.Clone(v)
	return p
}

// VMs returns the VMs that store a replica of the chunk.
func (p ChunkRef) VMs() []string { return p.vms }

// File returns the file name under which the chunk is stored.
func (p ChunkRef) File() string { return p.file }

// Index returns the index of the chunk in its file.
func (p ChunkRef) Index() uint32 { return p.index }

// Items returns the number of lines, one batch item each.
func (p ChunkRef) Items() uint32 { return p.items }

// Bytes returns the size in bytes.
func (p ChunkRef) Bytes() uint32 { return p.bytes }

// Checksum returns the CRC-32C of the chunk.
func (p ChunkRef) Checksum() uint32 { return p.checksum }

// File is the metadata of an uploaded file; values are immutable.
type File struct {
	id           string
	organisation string
	name         string // Name that the caller chose.
	purpose      string
	created      time.Time
	chunks       []ChunkRef // In file order.
}

// NewFile returns the metadata of file i of organisation o.
func NewFile(i, o, name, purpose string, t time.Time, p []ChunkRef) File {
	return File{id: i, organisation: o, name: name, purpose: purpose, created: t, chunks: p}
}

// WithChunk returns a copy whose chunk n is at p.
func (f File) WithChunk(n int, p ChunkRef) File {
	f.chunks = slices.Clone(f.chunks)
	f.chunks[n] = p
	return f
}

// ID returns the identifier.
func (f File) ID() string { return f.id }

// Organisation returns the organisation that owns the file.
func (f File) Organisation() string { return f.organisation }

// Name returns the name that the caller chose.
func (f File) Name() string { return f.name }

// Purpose returns the purpose that the caller specified.
func (f File) Purpose() string { return f.purpose }

// Created returns the time at which the file was accepted.
func (f File) Created() time.Time { return f.created }

// Chunks returns the locations of the chunks in file order.
func (f File) Chunks() []ChunkRef { return f.chunks }

// Items returns the number of lines, one batch item each.
func (f File) Items() (n uint64) {
	for _, p := range f.chunks {
		n += uint64(p.items)
	}
	return n
}

// Bytes returns the size in bytes.
func (f File) Bytes() (n uint64) {
	for _, p := range f.chunks {
		n += uint64(p.bytes)
	}
	return n
}
