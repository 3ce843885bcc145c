// Package revoke cancels running requests whose API key is withdrawn, or whose entry exceeds the staleness bound of its
// configuration.
package revoke

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	shardCount    = 16
	checkInterval = 200 * time.Millisecond // Time between two checks of all running requests.
)

// Filter tracks the running authenticated requests.
type Filter struct {
	source bulrushlug.ConfigSource
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	running map[*bulrushlug.Request]context.CancelCauseFunc // Authenticated requests only.
}

// New returns a filter that checks keys in the configuration of f.
func New(f bulrushlug.ConfigSource) *Filter {
	g := &Filter{source: f}
	for i := range g.shards {
		g.shards[i].running = map[*bulrushlug.Request]context.CancelCauseFunc{}
	}
	return g
}

// Pass runs r and cancels it once its key is no longer valid; requests without an organisation are not tracked.
func (g *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	if r.Organisation() == "" {
		return n.Run(c, r, s)
	}
	c, stop := context.WithCancelCause(c)
	defer stop(nil)
	x := &g.shards[xxhash.Sum64String(r.ID())%shardCount]
	x.add(r, stop)
	defer x.remove(r)
	if err := g.validate(r); err != nil {
		return err
	}
	err := n.Run(c, r, s)
	if f := context.Cause(c); err != nil && f != nil && f != c.Err() {
		return f
	}
	return err
}

func (x *shard) add(r *bulrushlug.Request, f context.CancelCauseFunc) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running[r] = f
}

func (x *shard) remove(r *bulrushlug.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.running, r)
}

// validate returns nil if r may run, or the error to cancel it with.
func (g *Filter) validate(r *bulrushlug.Request) error {
	if !g.source.Fresh() {
		return bulrushlug.Errorf(bulrushlug.KindStale, "the configuration of this process is too old to check API keys")
	}
	o, ok := g.source.Config().Organisation(r.Organisation())
	if !ok {
		return bulrushlug.Errorf(bulrushlug.KindUnauthenticated, "the organisation was removed")
	}
	if k, ok := o.Key(r.KeyID()); !ok || k.Withdrawn() {
		return bulrushlug.Errorf(bulrushlug.KindUnauthenticated, "the API key was withdrawn")
	}
	return nil
}

// CancelUnauthorised cancels all running requests that are no longer valid.
func (g *Filter) CancelUnauthorised() {
	for i := range g.shards {
		x := &g.shards[i]
		x.mu.Lock()
		for r, f := range x.running {
			if err := g.validate(r); err != nil {
				f(err)
			}
		}
		x.mu.Unlock()
	}
}

// Run calls CancelUnauthorised at intervals until c ends.
func (g *Filter) Run(c context.Context) error {
	for bulrushlug.Sleep(c, checkInterval) == nil {
		g.CancelUnauthorised()
	}
	return nil
}
