package lotsrv

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/lotcli"
	"bulrushlug.dev/bulrushlug/lotlog"
	"bulrushlug.dev/bulrushlug/lots"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
)

// storage is a process with a disk, as others reach it over loopback.
type storage struct {
	member  bulrushlug.Member
	peers   *peers.Membership
	manager *lots.ReplicaManager
	stop    context.CancelFunc
}

func startStorage(b *testing.B, t *memtxn.Store, n string) *storage {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g, err := lotlog.Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	c, stop := context.WithCancel(b.Context())
	s := &storage{member: bulrushlug.NewMember(n, l.Addr().String(), "r", "z"+n, "data").WithDataFolder(true), stop: stop}
	s.peers = peers.New(s.member, 1, g.DiskID(), t, "vm/", time.Second, log.NewNopLogger())
	s.manager = lots.New(g, lotcli.New(), t, "lot/", s.peers, log.NewNopLogger(), lots.WithReplicationFactor(2), lots.WithRetention(time.Hour))
	go func() { _ = New(s.manager, guard.New(log.NewNopLogger()), nil).Run(c, l) }()
	go func() { _ = s.manager.Run(c) }()
	return s
}

// report tells every process of all others until c ends; those for which gone is true are left out.
func report(c context.Context, l []*storage, gone func(s *storage) bool) {
	for n := uint64(1); bulrushlug.Sleep(c, 100*time.Millisecond) == nil; n++ {
		for _, s := range l {
			if gone(s) {
				continue
			}
			for _, x := range l {
				if x != s {
					x.peers.ApplyReport(bulrushlug.NewReport(s.member, 1, n, bulrushlug.ReportState(s.peers.DiskID(), 1)))
				}
			}
		}
	}
}

// BenchmarkMove measures how long a lot can't be read after its replica is lost, with one caller who reads it all the while,
// and the largest heap meanwhile of the three processes, which are one here.
func BenchmarkMove(b *testing.B) {
	const items = 128
	for _, mb := range []int{1, 8, 32, 128} {
		b.Run(fmt.Sprint(mb, "MB"), func(b *testing.B) {
			for b.Loop() {
				d, heap := move(b, items, mb<<20/items)
				b.ReportMetric(d.Seconds(), "s/move")
				b.ReportMetric(float64(heap)/(1<<20), "MB-heap")
			}
		})
	}
}

func move(b *testing.B, items, size int) (d time.Duration, heap uint64) {
	b.Helper()
	c, stop := context.WithCancel(b.Context())
	defer stop()
	t := memtxn.New()
	l := []*storage{startStorage(b, t, "a"), startStorage(b, t, "b"), startStorage(b, t, "c")}
	lost := make(chan *storage, 1)
	var gone *storage
	go report(c, l, func(s *storage) bool {
		select {
		case gone = <-lost:
		default:
		}
		return s == gone
	})
	time.Sleep(2 * time.Second)
	var x []bulrushlug.LotItem
	for n := range items {
		x = append(x, bulrushlug.NewLotItem(fmt.Sprint(n), "/", nil, nil))
	}
	a := l[0].manager
	if err := a.Submit(c, bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), x)); err != nil {
		b.Fatal(err)
	}
	for n := range items {
		a.RecordResult(c, "lot", bulrushlug.NewLotResult(uint32(n), true, strings.Repeat("x", size)))
	}
	q := bulrushlug.NewLotQuery("lot", "o")
	waitFor(b, func() bool {
		p, err := a.Read(c, q.WithAfter(items-1, 0))
		return err == nil && len(p.Results()) == 1
	})
	for _, s := range l[1:] {
		if s.manager.LotCount() > 0 {
			s.stop()
			lost <- s
		}
	}
	runtime.GC()
	begun := time.Now()
	waitFor(b, func() bool {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		heap = max(heap, m.HeapInuse)
		_, err := a.Read(c, q)
		return err == nil
	})
	return time.Since(begun), heap
}

// waitFor waits until f returns true.
func waitFor(b *testing.B, f func() bool) {
	b.Helper()
	for t := time.Now(); time.Since(t) < time.Minute; time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	b.Fatal("condition not met within a minute")
}
