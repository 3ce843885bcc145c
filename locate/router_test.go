package locate

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
)

// fakeDisks is a fake of the processes with disks that records where a lot was offered.
type fakeDisks struct {
	fail    map[string]bulrushlug.Kind // Kind of the error of each process; others accept.
	offered []string
}

func (d *fakeDisks) answer(a string) error {
	d.offered = append(d.offered, a)
	if k, ok := d.fail[a]; ok {
		return bulrushlug.Errorf(k, "%s", a)
	}
	return nil
}

func (d *fakeDisks) Submit(_ context.Context, a string, _ bulrushlug.Lot) error { return d.answer(a) }

func (d *fakeDisks) Read(_ context.Context, a string, _ bulrushlug.LotQuery) (bulrushlug.LotPage, error) {
	return bulrushlug.NewLotPage(1, 0, nil), d.answer(a)
}

func (d *fakeDisks) Body(_ context.Context, a string, _ bulrushlug.LotQuery) ([]byte, error) {
	return nil, d.answer(a)
}

func (d *fakeDisks) End(_ context.Context, a string, _ bulrushlug.LotQuery) error { return d.answer(a) }

// newRouter returns a router in zone a of three processes with disks in zones a, b and c; those in lost cannot reach
// the service.
func newRouter(t *testing.T, d *fakeDisks, lost map[string]bool) (*Router, *memtxn.Store) {
	t.Helper()
	m := memtxn.New()
	p := peers.New(bulrushlug.NewMember("e1", "e1", "r", "a", bulrushlug.RoleEntry), 1, "", m, "vm/", time.Second, log.NewNopLogger())
	for n, z := range map[string]string{"d1": "a", "d2": "b", "d3": "c"} {
		p.ApplyReport(bulrushlug.NewReport(bulrushlug.NewMember(n, n, "r", z, "data").WithDataFolder(true), 1, 1,
			bulrushlug.ReportState("disk-"+n, 1), bulrushlug.ReportStoreLost(lost[n])))
	}
	return New(d, m, "lot/", p, log.NewNopLogger()), m
}

func TestSubmitOrder(t *testing.T) {
	for name, x := range map[string]struct {
		fail  map[string]bulrushlug.Kind
		lost  map[string]bool
		first string // Process that has to be tried first, if only one may be.
		ok    bool
		kind  bulrushlug.Kind
	}{
		"own zone first":                        {first: "d1", ok: true},
		"not one that cannot reach the service": {lost: map[string]bool{"d1": true}, ok: true},
		"the next if one refuses":               {fail: map[string]bulrushlug.Kind{"d1": bulrushlug.KindUnplaceable}, first: "d1", ok: true},
		"the next if a response is lost":        {fail: map[string]bulrushlug.Kind{"d1": bulrushlug.KindUncertain}, first: "d1", ok: true},
		"all refuse: not run":                   {fail: map[string]bulrushlug.Kind{"d1": bulrushlug.KindStoreDown, "d2": bulrushlug.KindStoreDown, "d3": bulrushlug.KindStoreDown}, first: "d1", kind: bulrushlug.KindStoreDown},
		"one response is lost: may have run":    {fail: map[string]bulrushlug.Kind{"d1": bulrushlug.KindUncertain, "d2": bulrushlug.KindStoreDown, "d3": bulrushlug.KindStoreDown}, first: "d1", kind: bulrushlug.KindUncertain},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDisks{fail: x.fail}
				l, _ := newRouter(t, d, x.lost)
				c, stop := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer stop()
				err := l.Submit(c, bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), nil))
				if (err == nil) != x.ok || err != nil && bulrushlug.KindOf(err) != x.kind {
					t.Errorf("Submit returned %v", err)
				}
				if x.first != "" && d.offered[0] != x.first || x.lost[d.offered[0]] {
					t.Errorf("offered to %v", d.offered)
				}
			})
		})
	}
}

// writeRecord writes a record of lot that names the disk of d2 as its primary.
func writeRecord(t *testing.T, m *memtxn.Store) {
	t.Helper()
	b, err := codec.EncodeLotRecord(bulrushlug.NewLotRecord(1, []string{"disk-d2", "disk-d3"}, "o"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Commit(t.Context(), nil, []bulrushlug.Write{bulrushlug.PutWrite("lot/lot", b, 0)}); err != nil {
		t.Fatal(err)
	}
}

// TestAcceptedLotIsNotRefused resubmits a lot: once accepted, it is never answered with the promise that it does not run.
func TestAcceptedLotIsNotRefused(t *testing.T) {
	all := func(k bulrushlug.Kind) map[string]bulrushlug.Kind {
		return map[string]bulrushlug.Kind{"d1": k, "d2": k, "d3": k}
	}
	for name, x := range map[string]struct {
		record, cached bool // The record, or a report, says that the lot was accepted on the disk of d2.
		outage, silent bool
		fail           map[string]bulrushlug.Kind
		ok             bool
		kind           bulrushlug.Kind
		offered        []string // First processes that it is offered to; others must not get it if the lot is accepted.
	}{
		"to its primary by a report":                              {record: true, cached: true, ok: true, offered: []string{"d2"}},
		"to its primary in an outage":                             {record: true, cached: true, outage: true, ok: true, offered: []string{"d2"}},
		"no process with a disk is heard, a report named it":      {record: true, cached: true, silent: true, ok: true, offered: []string{"d2"}},
		"no process with a disk is heard, the record names it":    {record: true, silent: true, ok: true, offered: []string{"d2"}},
		"no process with a disk is heard, and it does not answer": {record: true, silent: true, fail: all(bulrushlug.KindUnplaceable), kind: bulrushlug.KindUncertain, offered: []string{"d2", "d2"}},
		"no process with a disk is heard, the record is unknown":  {record: true, silent: true, outage: true, kind: bulrushlug.KindUncertain},
		"a replica sends it to its primary":                       {record: true, fail: map[string]bulrushlug.Kind{"d1": bulrushlug.KindMisdirected}, ok: true, offered: []string{"d1", "d2"}},
		"the primary refuses it":                                  {record: true, cached: true, fail: all(bulrushlug.KindStale), kind: bulrushlug.KindUncertain, offered: []string{"d2", "d2"}},
		"others refuse it":                                        {record: true, fail: all(bulrushlug.KindStoreDown), kind: bulrushlug.KindUncertain, offered: []string{"d1"}},
		"others refuse it, and the record is unknown":             {record: true, outage: true, fail: all(bulrushlug.KindStoreDown), kind: bulrushlug.KindUncertain, offered: []string{"d1"}},
		"another process is accepting it":                         {fail: all(bulrushlug.KindMisdirected), kind: bulrushlug.KindUncertain, offered: []string{"d1"}},
		"the record of a cached primary is gone":                  {cached: true, fail: all(bulrushlug.KindUnplaceable), kind: bulrushlug.KindUncertain, offered: []string{"d2", "d1"}},
		"it was not accepted":                                     {silent: true, kind: bulrushlug.KindUnplaceable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDisks{fail: x.fail}
				l, m := newRouter(t, d, nil)
				if x.record {
					writeRecord(t, m)
				}
				if x.cached {
					l.SetPrimary("disk-d2", []string{"lot"})
				}
				m.SetOutage(x.outage)
				if x.silent {
					time.Sleep(2 * time.Second)
				}
				c, stop := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer stop()
				err := l.Submit(c, bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), nil))
				if (err == nil) != x.ok || err != nil && bulrushlug.KindOf(err) != x.kind {
					t.Errorf("Submit returned %v", err)
				}
				if !slices.Equal(d.offered[:min(len(d.offered), len(x.offered))], x.offered) || x.ok && len(d.offered) != len(x.offered) {
					t.Errorf("offered to %v, want %v first", d.offered, x.offered)
				}
			})
		})
	}
}

func TestRead(t *testing.T) {
	for name, x := range map[string]struct {
		record bool
		outage bool
		fail   map[string]bulrushlug.Kind
		kind   bulrushlug.Kind
		ok     bool
	}{
		"by its record":                      {record: true, ok: true},
		"no record":                          {kind: bulrushlug.KindNotFound},
		"service unreachable":                {outage: true, kind: bulrushlug.KindStale},
		"the primary moved":                  {record: true, fail: map[string]bulrushlug.Kind{"d2": bulrushlug.KindMisdirected}, kind: bulrushlug.KindStale},
		"the primary does not answer":        {record: true, fail: map[string]bulrushlug.Kind{"d2": bulrushlug.KindUncertain}, kind: bulrushlug.KindStale},
		"it belongs to another organisation": {record: true, fail: map[string]bulrushlug.Kind{"d2": bulrushlug.KindNotFound}, kind: bulrushlug.KindNotFound},
		"the replicas have not answered":     {record: true, fail: map[string]bulrushlug.Kind{"d2": bulrushlug.KindStale}, kind: bulrushlug.KindStale},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, m := newRouter(t, &fakeDisks{fail: x.fail}, nil)
				if x.record {
					writeRecord(t, m)
				}
				m.SetOutage(x.outage)
				_, err := l.Read(t.Context(), bulrushlug.NewLotQuery("lot", "o"))
				if (err == nil) != x.ok || err != nil && bulrushlug.KindOf(err) != x.kind {
					t.Errorf("Read returned %v", err)
				}
			})
		})
	}
}

// TestNoLiveDisk checks that a lot is rejected at once if no process with a disk is known to be alive, and with
// which retry delay.
func TestNoLiveDisk(t *testing.T) {
	for name, x := range map[string]struct {
		silent time.Duration // Time since the last reports of the processes with disks.
		ok     bool
	}{
		"heard just now": {silent: 100 * time.Millisecond, ok: true},
		"silent":         {silent: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDisks{}
				l, _ := newRouter(t, d, nil)
				time.Sleep(x.silent)
				b := time.Now()
				c, stop := context.WithTimeout(t.Context(), 2*time.Second)
				defer stop()
				err := l.Submit(c, bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), nil))
				if (err == nil) != x.ok || time.Since(b) > 0 {
					t.Errorf("Submit returned %v after %v", err, time.Since(b))
				}
				if err != nil && (bulrushlug.KindOf(err).Response().MayHaveRun() || bulrushlug.RetryAfterOf(err) != noDiskRetryAfter || len(d.offered) > 0) {
					t.Errorf("Submit returned %v, retry after %v, offered to %v", err, bulrushlug.RetryAfterOf(err), d.offered)
				}
			})
		})
	}
}
