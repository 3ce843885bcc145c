package items

import (
	"time"

	"bulrushlug.dev/bulrushlug"
)

// missing says which configuration lot x needs, while this process has f, which may be nil.
func missing(f *bulrushlug.Config, x bulrushlug.Lot) error {
	if f == nil {
		return bulrushlug.Errorf(bulrushlug.KindStale, "accepted under configuration %d, none is known", x.Revision())
	}
	return bulrushlug.Errorf(bulrushlug.KindStale, "accepted under configuration %d, %d is known", x.Revision(), f.Revision())
}

// addUnstartable adds item n of lot x to m, which runs or is in back-off. A run counts as waiting once no event has come for
// so long that it should have ended.
func (r *Runner) addUnstartable(m *count, x bulrushlug.Lot, n uint32, now time.Time) {
	if m == nil {
		return
	}
	k := key{x.ID(), n}
	s := r.shard(k)
	s.mu.Lock()
	i, ok := s.items[k]
	if !ok {
		s.mu.Unlock()
		return
	}
	running, event, last := i.server != "", i.eventAt, i.started
	s.mu.Unlock()
	if event.After(last) {
		last = event
	}
	switch {
	case !running && r.manager.HasResult(k.lot, k.item):
	case !running:
		m.add(waitBackoff, x, n, event, nil)
	case now.Sub(last) > eventTimeout+runGrace:
		m.add(waitRunning, x, n, last, nil)
	case !event.Equal(last):
		m.keep(x, n)
	}
}

// eventAt returns when this process received the last event of an item, zero if it has none or m is nil.
func (r *Runner) eventAt(m *count, k key) time.Time {
	if m == nil {
		return time.Time{}
	}
	_, t := r.eventCount(k)
	return t
}

// waitDetail returns the rest of the line on an item that waits: its runs, the server of the present one, how the last one
// ended, and what else is known of the cause.
func (r *Runner) waitDetail(w wait) (l []any) {
	s := r.shard(w.key)
	s.mu.Lock()
	var i item
	if x, ok := s.items[w.key]; ok {
		i = item{runs: x.runs, server: x.server, ended: x.ended, failures: x.failures, events: x.events}
	}
	s.mu.Unlock()
	if w.cause != waitUnconfirmed {
		l = append(l, "runs", i.runs, "events", len(i.events))
	}
	if i.server != "" {
		l = append(l, "server", i.server)
	}
	if !i.ended.at.IsZero() {
		l = append(l, "lastEnd", i.ended.cause, "lastServer", i.ended.server, "lastEndAgo", time.Since(i.ended.at))
	}
	switch w.cause {
	case waitReplicas, waitUnconfirmed:
		l = append(l, "err", r.manager.LastError(w.key.lot))
	case waitConfiguration:
		l = append(l, "err", missing(r.source.Config(), w.lot))
	case waitSlot:
		l = append(l, r.slotDetail(w.lot)...)
	}
	return l
}

// slotDetail returns the state of the services that may run the items of lot x.
func (r *Runner) slotDetail(x bulrushlug.Lot) (l []any) {
	f := r.source.Config()
	if f == nil {
		return nil
	}
	t, ok := f.RouteOfLot(x)
	if !ok {
		return nil
	}
	for _, v := range services(t) {
		servers, avoided, leaving, idle := r.table.Usable(v)
		l = append(l, "service", v, "servers", servers, "avoided", avoided, "leaving", leaving, "idle", idle)
	}
	return l
}

// waitEnd tells how the wait of an item ended: by its result, by an event of a run, or as this process no longer has to run it.
func (r *Runner) waitEnd(k key) string {
	s := r.shard(k)
	s.mu.Lock()
	x, ok := s.items[k]
	runs := ok && x.server != ""
	s.mu.Unlock()
	switch {
	case !r.manager.IsPrimary(k.lot):
		return "otherPrimary"
	case r.manager.HasResult(k.lot, k.item):
		return "result"
	case runs:
		return "run"
	}
	return "lot"
}
