// Package revoke ends running requests whose key is withdrawn, or whose entry can no longer confirm its keys.
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
	checkInterval = 200 * time.Millisecond // Time between two checks that the configuration is confirmed.
)

// Filter knows the requests that run under each key.
type Filter struct {
	source bulrushlug.ConfigSource
	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	live map[*bulrushlug.Request]context.CancelCauseFunc // Authenticated requests only.
}

// New returns a filter over the configuration in f.
func New(f bulrushlug.ConfigSource) *Filter {
	g := &Filter{source: f}
	for i := range g.shards {
		g.shards[i].live = map[*bulrushlug.Request]context.CancelCauseFunc{}
	}
	return g
}

// Pass runs r until its key is withdrawn.
func (g *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	if r.Organisation() == "" {
		return n.Run(c, r, s)
	}
	c, stop := context.WithCancelCause(c)
	defer stop(nil)
	x := &g.shards[xxhash.Sum64String(r.ID())%shardCount]
	x.add(r, stop)
	defer x.remove(r)
	if err := g.judge(r); err != nil {
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
	x.live[r] = f
}

func (x *shard) remove(r *bulrushlug.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.live, r)
}

// judge returns why r must not run, or nil.
func (g *Filter) judge(r *bulrushlug.Request) error {
	if !g.source.Fresh() {
		return bulrushlug.Errorf(bulrushlug.KindStale, "this process can't confirm that its keys are current")
	}
	o, ok := g.source.Config().Organisation(r.Organisation())
	if !ok {
		return bulrushlug.Errorf(bulrushlug.KindUnauthenticated, "the organisation is removed")
	}
	if k, ok := o.Key(r.KeyID()); !ok || k.Withdrawn() {
		return bulrushlug.Errorf(bulrushlug.KindUnauthenticated, "the key is withdrawn")
	}
	return nil
}

// CancelUnauthorised ends all requests that must not run.
func (g *Filter) CancelUnauthorised() {
	for i := range g.shards {
		x := &g.shards[i]
		x.mu.Lock()
		for r, f := range x.live {
			if err := g.judge(r); err != nil {
				f(err)
			}
		}
		x.mu.Unlock()
	}
}

// Run checks the running requests until c ends.
func (g *Filter) Run(c context.Context) error {
	for bulrushlug.Sleep(c, checkInterval) == nil {
		g.CancelUnauthorised()
	}
	return nil
}
