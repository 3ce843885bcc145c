// Package guard keeps a panic in the handling of one message or request from ending the process.
package guard

import (
	"runtime"

	"github.com/go-kit/log"
	"storj.io/drpc"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/lines"
)

const (
	maxLines      = 5       // Lines a second.
	maxStackBytes = 4 << 10 // Bytes of the stack in a line.
)

// Guard turns panics into errors and writes a line for each.
type Guard struct {
	logger  log.Logger
	limiter *lines.Limiter
}

// New returns a guard that logs to l.
func New(l log.Logger) *Guard { return &Guard{logger: l, limiter: lines.New(maxLines)} }

// Run returns the error of f, or one of KindInternal if f panics; task names f in the error and the line.
func (g *Guard) Run(task string, f func() error) (err error) {
	defer func() {
		x := recover()
		if x == nil {
			return
		}
		err = bulrushlug.Errorf(bulrushlug.KindInternal, "%s: panic: %v", task, x)
		if n, ok := g.limiter.Take(); ok {
			b := make([]byte, maxStackBytes)
			_ = g.logger.Log("event", "panic", "task", task, "omitted", n, "err", err, "stack", string(b[:runtime.Stack(b, false)]))
		}
	}()
	return f()
}

// Do is Run for an f that has no error of its own.
func (g *Guard) Do(task string, f func()) error {
	return g.Run(task, func() error {
		f()
		return nil
	})
}

// RPC returns h with each call under the guard.
func (g *Guard) RPC(h drpc.Handler) drpc.Handler { return handler{h, g} }

type handler struct {
	drpc.Handler
	guard *Guard
}

// HandleRPC handles one call.
func (h handler) HandleRPC(s drpc.Stream, rpc string) error {
	return h.guard.Run(rpc, func() error { return h.Handler.HandleRPC(s, rpc) })
}
