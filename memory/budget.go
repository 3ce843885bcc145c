// Package memory bounds the memory that all messages in progress hold together.
package memory

import "sync/atomic"

// granule is the number of bytes in which memory is reserved. The first one of each holder is not counted, so that one that
// needs little always goes on.
const granule = 16 << 10

// Budget is an amount of memory that many holders share. It counts bytes and allocates nothing.
//
// A holder may grow while it holds no more than what is left (dynamic threshold): one alone gets at most half of the budget,
// n of them n parts of n+1, and what is left over is for the next one. So holders that grow without end take nothing from one
// that needs little, and no holder has to be found that gives back.
type Budget struct {
	limit   int64
	used    atomic.Int64 // At least zero and at most limit.
	refused atomic.Int64
}

// New returns a budget of n bytes.
func New(n int) *Budget { return &Budget{limit: int64(n)} }

// Hold reserves memory for a holder that is to have size bytes, and reports whether it may. What is reserved for it is counted
// in reserved, which begins at zero and is only changed here and by Release.
func (b *Budget) Hold(reserved *int, size int) bool {
	n := (size - 1) / granule * granule
	if n <= *reserved {
		return true
	}
	for {
		u := b.used.Load()
		if int64(n) > b.limit-u {
			b.refused.Add(1)
			return false
		}
		if b.used.CompareAndSwap(u, u+int64(n-*reserved)) {
			*reserved = n
			return true
		}
	}
}

// Release gives back what is reserved for a holder.
func (b *Budget) Release(reserved *int) {
	b.used.Add(-int64(*reserved))
	*reserved = 0
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how often a holder was refused more bytes.
func (b *Budget) Refused() int64 { return b.refused.Load() }
