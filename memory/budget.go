// Package memory bounds the memory that all responses in progress hold together.
package memory

import "sync/atomic"

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

// Reserve reserves n bytes for a holder that holds held bytes of the budget, and reports whether it may have them.
func (b *Budget) Reserve(held, n int) bool {
	for {
		u := b.used.Load()
		if int64(held+n) > b.limit-u {
			b.refused.Add(1)
			return false
		}
		if b.used.CompareAndSwap(u, u+int64(n)) {
			return true
		}
	}
}

// Release gives back n bytes that were reserved.
func (b *Budget) Release(n int) { b.used.Add(-int64(n)) }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how often a holder was refused more bytes.
func (b *Budget) Refused() int64 { return b.refused.Load() }
