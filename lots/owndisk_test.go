package lots

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug/codec"
)

// recordedPrimary returns the disk of the primary of lot i by its record.
func (k *cluster) recordedPrimary(i string) string {
	k.t.Helper()
	x, err := k.store.Get(k.c, "lot/"+i)
	if err != nil {
		k.t.Fatal(err)
	}
	r, err := codec.DecodeLotRecord(x.Value())
	if err != nil {
		k.t.Fatal(err)
	}
	return r.Replicas()[0]
}

// takeoverTime is the longest time in which a lot whose primary can't store anything has another one.
const takeoverTime = 20 * time.Second

// TestPrimaryDiskFails guards against a lot that nobody may run: its primary, or the replica that should take it over, can't
// store anything, and its process goes on. What was listed can be read all the time while there is no other disk.
func TestPrimaryDiskFails(t *testing.T) {
	for name, x := range map[string]struct {
		vms, replicas int
		full          int           // Replicas whose disks are full, the primary first.
		spares        int           // Other disks that are full.
		delay         time.Duration // The disk of the primary is not full, but a write takes that long.
		lasts         time.Duration
		killed        bool // The primary is killed; the disk of the next replica fails in its place.
		moved         bool // Another process is the primary at the end; unless all disks were full, as then either is right.
		readable      bool // What was listed can be read at the end of the failure.
	}{
		"one of two":                              {vms: 3, replicas: 2, full: 1, lasts: time.Hour, moved: true},
		"one of three":                            {vms: 4, replicas: 3, full: 1, lasts: time.Hour, moved: true},
		"and the next replica":                    {vms: 5, replicas: 3, full: 2, lasts: time.Hour, moved: true},
		"and most of the others":                  {vms: 6, replicas: 2, full: 1, spares: 3, lasts: time.Hour, moved: true},
		"writes never end":                        {vms: 3, replicas: 2, delay: time.Hour, lasts: time.Hour, moved: true},
		"a write takes long":                      {vms: 3, replicas: 2, delay: 2 * time.Second, lasts: 10 * time.Second, readable: true},
		"for a moment":                            {vms: 3, replicas: 2, full: 1, lasts: time.Second, readable: true},
		"no other disk, and it comes again":       {vms: 2, replicas: 2, full: 1, lasts: 20 * time.Second, readable: true},
		"no other disk, for minutes":              {vms: 2, replicas: 2, full: 1, lasts: 3 * time.Minute, readable: true},
		"all disks, and they come again":          {vms: 4, replicas: 2, full: 2, spares: 2, lasts: 20 * time.Second, readable: true},
		"a single replica, and it comes again":    {vms: 2, replicas: 1, full: 1, lasts: 20 * time.Second, readable: true},
		"of the replica that should take it over": {vms: 5, replicas: 3, full: 2, lasts: time.Hour, killed: true, moved: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, x.vms, x.replicas)
				k.submit("lot", 20)
				time.Sleep(time.Second)
				p := k.primary("lot")
				var l []string
				k.vms[p].manager.withLot("lot", func(o *lot) { l = o.replicas })
				failing := append([]string{}, l[:x.full]...)
				for n := range x.vms {
					if d := fmt.Sprint("disk-", n); x.spares > 0 && !strings.Contains(strings.Join(l, " "), d) && len(failing) < x.full+x.spares {
						failing = append(failing, d)
					}
				}
				if x.delay > 0 {
					k.setDisk(l[0], false, x.delay)
				}
				for _, d := range failing {
					k.setDisk(d, true, 0)
				}
				if x.killed {
					k.kill(p)
				}
				begun := time.Now()
				if x.moved {
					for k.recordedPrimary("lot") == l[0] && time.Since(begun) < time.Minute {
						time.Sleep(10 * time.Millisecond)
					}
					if d := time.Since(begun); d > takeoverTime {
						t.Errorf("it took %v until another process was the primary", d)
					} else {
						t.Logf("another process was the primary after %v", d)
					}
				}
				time.Sleep(min(x.lasts, 5*time.Minute))
				if x.lasts < 5*time.Minute {
					if x.readable {
						if err := k.read("lot", 0); err != nil {
							t.Errorf("at the end of the failure: %v", err)
						}
					}
					for _, d := range l[:max(x.full, 1)] {
						k.setDisk(d, false, 0)
					}
					for _, d := range failing {
						k.setDisk(d, false, 0)
					}
					time.Sleep(recoveryTime)
				}
				k.checkComplete()
				if d := k.recordedPrimary("lot"); x.spares < x.vms-x.replicas && (d != l[0]) != x.moved {
					t.Errorf("the primary is on %s, on %s before", d, l[0])
				}
				k.setDisk(l[0], false, 0)
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
