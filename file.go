package bulrushlug

import (
	"slices"
	"time"
)

// ChunkRef says where one chunk of a file is kept; values are immutable.
type ChunkRef struct {
	vms   []string // VMs that hold the chunk.
	file  string   // Name under which they hold it.
	index uint32   // Number of the chunk.
	items uint32   // Lines in the chunk.
	bytes uint32   // Size of the chunk.
	sum   uint32   // CRC-32C of the chunk.
}

// NewChunkRef returns the part kept as chunk n of file f on the VMs v.
func NewChunkRef(f string, n uint32, v []string, items, bytes, sum uint32) ChunkRef {
	return ChunkRef{vms: v, file: f, index: n, items: items, bytes: bytes, sum: sum}
}

// WithVMs returns a copy that is held by the VMs v.
func (p ChunkRef) WithVMs(v []string) ChunkRef {
	p.vms = slices.Clone(v)
	return p
}

// VMs returns the VMs that hold the chunk.
func (p ChunkRef) VMs() []string { return p.vms }

// File returns the name under which the chunk is held.
func (p ChunkRef) File() string { return p.file }

// Index returns the number of the chunk.
func (p ChunkRef) Index() uint32 { return p.index }

// Items returns the number of lines.
func (p ChunkRef) Items() uint32 { return p.items }

// Bytes returns the size.
func (p ChunkRef) Bytes() uint32 { return p.bytes }

// Checksum returns the CRC-32C.
func (p ChunkRef) Checksum() uint32 { return p.sum }

// File is the record of an uploaded file; values are immutable.
type File struct {
	id           string
	organisation string
	name         string // Name that the caller gave.
	purpose      string
	created      time.Time
	parts        []ChunkRef // In the order of the file.
}

// NewFile returns the record of file i of organisation o.
func NewFile(i, o, name, purpose string, t time.Time, p []ChunkRef) File {
	return File{id: i, organisation: o, name: name, purpose: purpose, created: t, parts: p}
}

// WithPart returns a copy in which part n is p.
func (f File) WithPart(n int, p ChunkRef) File {
	f.parts = slices.Clone(f.parts)
	f.parts[n] = p
	return f
}

// ID returns the identifier.
func (f File) ID() string { return f.id }

// Organisation returns the organisation that owns the file.
func (f File) Organisation() string { return f.organisation }

// Name returns the name that the caller gave.
func (f File) Name() string { return f.name }

// Purpose returns the purpose that the caller gave.
func (f File) Purpose() string { return f.purpose }

// Created returns when the file was accepted.
func (f File) Created() time.Time { return f.created }

// Chunks returns the parts in the order of the file.
func (f File) Chunks() []ChunkRef { return f.parts }

// Items returns the number of lines.
func (f File) Items() (n uint64) {
	for _, p := range f.parts {
		n += uint64(p.items)
	}
	return n
}

// Bytes returns the size.
func (f File) Bytes() (n uint64) {
	for _, p := range f.parts {
		n += uint64(p.bytes)
	}
	return n
}
