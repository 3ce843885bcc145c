// Package memvm is an in-memory VM list that lags.
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

// List shows each change only after its lag.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	shown   map[string]bulrushlug.Member
	changes []change // In the order in which they were made.
}

type change struct {
	at     time.Time // When the change shows.
	member bulrushlug.Member
	gone   bool
}

// New returns an empty list that lags by d.
func New(d time.Duration) *List { return &List{lag: d, shown: map[string]bulrushlug.Member{}} }

// SetLag sets the lag of later changes.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// Put adds or changes the VM m.
func (l *List) Put(m bulrushlug.Member) { l.add(change{member: m}) }

// Remove takes the VM n off the list.
func (l *List) Remove(n string) {
	l.add(change{member: bulrushlug.NewMember(n, "", "", "", ""), gone: true})
}

// Leave marks the VM n as leaving.
func (l *List) Leave(n string) {
	for _, m := range l.now() {
		if m.Name() == n {
			l.Put(m.WithLeaving(true))
		}
	}
}

func (l *List) add(x change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x.at = time.Now().Add(l.lag)
	l.changes = append(l.changes, x)
}

func (l *List) now() []bulrushlug.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.changes) > 0 && !l.changes[0].at.After(time.Now()) {
		l.apply(l.changes[0])
		l.changes = l.changes[1:]
	}
	m := slices.Collect(maps.Values(l.shown))
	slices.SortFunc(m, func(a, b bulrushlug.Member) int { return strings.Compare(a.Name(), b.Name()) })
	return m
}

func (l *List) apply(x change) {
	if x.gone {
		delete(l.shown, x.member.Name())
		return
	}
	l.shown[x.member.Name()] = x.member
}

// Members returns the live and leaving VMs.
func (l *List) Members(context.Context) ([]bulrushlug.Member, error) { return l.now(), nil }
