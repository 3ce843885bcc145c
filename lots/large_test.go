package lots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
)

// TestLargeLot guards against a lot that can't be read any more, and whose log grows with each attempt, because all its
// results do not fit into one message.
func TestLargeLot(t *testing.T) {
	const size = 1 << 20 // Bytes of a result.
	lose := func(k *cluster, n string) { k.kill(n) }
	for name, x := range map[string]struct {
		items   int
		during  func(k *cluster, primary, replica string) // Called with the VMs of the lot.
		written int                                       // Times that the log may be written, over all disks together.
	}{
		"a replica is lost":   {items: 40, written: 3, during: func(k *cluster, _, replica string) { lose(k, replica) }},
		"the primary is lost": {items: 40, written: 3, during: func(k *cluster, primary, _ string) { lose(k, primary) }},
		"a replica is away": {items: 40, written: 4, during: func(k *cluster, _, replica string) {
			d := k.kill(replica)
			time.Sleep(2800 * time.Millisecond)
			k.start(replica, d)
		}},
		"the primary is emptied": {items: 40, written: 4, during: func(k *cluster, primary, _ string) { k.setRetiring(primary, true) }},
		"a replica is lost, the record can't be written": {items: 40, written: 3, during: func(k *cluster, _, replica string) {
			lose(k, replica)
			k.store.SetOutage(true)
			time.Sleep(10 * time.Second)
			k.store.SetOutage(false)
		}},
		"transfers break off": {items: 40, written: 6, during: func(k *cluster, _, replica string) {
			lose(k, replica)
			for range 10 {
				time.Sleep(time.Second)
				for _, n := range []string{"d0", "d1", "d2", "d3"} {
					k.setIsolated(n, true)
				}
				time.Sleep(300 * time.Millisecond)
				for _, n := range []string{"d0", "d1", "d2", "d3"} {
					k.setIsolated(n, false)
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 4, 2)
				k.mu.Lock()
				k.resultSize = size
				k.mu.Unlock()
				k.submit("lot", x.items)
				time.Sleep(time.Duration(x.items+5) * itemInterval)
				k.checkAll("lot")
				var l []string
				k.vms[k.primary("lot")].manager.withLot("lot", func(o *lot) { l = o.replicas })
				x.during(k, k.vmOf(l[0]), k.vmOf(l[1]))
				time.Sleep(recoveryTime)
				k.checkAll("lot")
				if k.largest > maxPartBytes+size+1<<16 {
					t.Errorf("an update had %d bytes", k.largest)
				}
				if n := k.stored(); n > (x.written+1)*x.items*size {
					t.Errorf("%d bytes were written", n)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// checkAll reads all pages of lot i, and then checks that it is complete.
func (k *cluster) checkAll(i string) {
	k.t.Helper()
	for n := range k.submitted[i] {
		if err := k.read(i, n); err != nil {
			k.t.Fatalf("lot %s cannot be read from position %d: %v", i, n, err)
		}
	}
	k.checkComplete()
}

// vmOf returns the VM with disk d.
func (k *cluster) vmOf(d string) string {
	for n, v := range k.vms {
		if v.disk.name == d {
			return n
		}
	}
	k.t.Fatalf("no VM has disk %s", d)
	return ""
}

// stored returns the bytes that all disks have written for their present lots.
func (k *cluster) stored() (n int) {
	for _, v := range k.vms {
		_ = v.disk.Load(func(u bulrushlug.LotUpdate) { n += proto.Size(codec.EncodeLotUpdate(u)) })
	}
	return n
}
