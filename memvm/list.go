// Package memvm is an in-memory VM list with a propagation delay.
package memvm

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// List is the platform's VM list as it appears to callers; each change becomes visible only after the lag.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[string]bulrushlug.Member
	changes []change // Pending changes, in the order in which they were made.
}

// change adds, replaces or removes one VM.
type change struct {
	visibleAt time.Time // Time from which the change is visible.
	member    bulrushlug.Member
	removed   bool
}

// New returns an empty list whose changes become visible after d.
func New(d time.Duration) *List { return &List{lag: d, visible: map[string]bulrushlug.Member{}} }

// SetLag sets the propagation delay of changes made from now on.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// Put adds or replaces the VM m.
func (l *List) Put(m bulrushlug.Member) { l.schedule(change{member: m}) }

// Remove removes the VM n.
func (l *List) Remove(n string) {
	l.schedule(change{member: bulrushlug.NewMember(n, "", "", "", ""), removed: true})
}

// MarkLeaving marks the VM n as leaving, if it is visible.
func (l *List) MarkLeaving(n string) {
	for _, m := range l.current() {
		if m.Name() == n {
			l.Put(m.WithLeaving(true))
		}
	}
}

// schedule queues x to become visible after the current lag.
func (l *List) schedule(x change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x.visibleAt = time.Now().Add(l.lag)
	l.changes = append(l.changes, x)
}

// current applies the changes that are due and returns the visible VMs, sorted by name.
func (l *List) current() []bulrushlug.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.changes) > 0 && !l.changes[0].visibleAt.After(time.Now()) {
		l.apply(l.changes[0])
		l.changes = l.changes[1:]
	}
	m := slices.Collect(maps.Values(l.visible))
	slices.SortFunc(m, func(a, b bulrushlug.Member) int { return strings.Compare(a.Name(), b.Name()) })
	return m
}

func (l *List) apply(x change) {
	if x.removed {
		delete(l.visible, x.member.Name())
		return
	}
	l.visible[x.member.Name()] = x.member
}

// Members returns the visible VMs, including leaving ones, sorted by name.
func (l *List) Members(context.Context) ([]bulrushlug.Member, error) { return l.current(), nil }
