package lots

import "bulrushlug.dev/bulrushlug"

// Memory of a lot and its parts beside their bytes, with what the process keeps to run the items.
const (
	lotCost   = 2 << 10
	itemCost  = 512
	fieldCost = 96
)

// WithRoom accepts new lots only while all lots on this disk have at most n of them and b bytes of memory. Lots that were
// accepted elsewhere and move here, and results, are taken in any case. Zero is no bound.
func WithRoom(b, n int) option {
	return func(k *ReplicaManager) { k.roomBytes, k.roomLots = int64(b), n }
}

// memorySize returns about how much memory the entries l take.
func memorySize(l []bulrushlug.LotEntry) (n int) {
	for _, e := range l {
		n += entrySize(e)
		if x := e.Lot(); x != nil {
			n += lotCost + itemCost*len(x.Items())
			for _, i := range x.Items() {
				n += fieldCost * len(i.Fields())
			}
		}
	}
	return n
}

// claim takes room for the new lot with the entries l, until the caller gives it back with release, when the lot itself is
// counted or was refused.
func (k *ReplicaManager) claim(id string, l []bulrushlug.LotEntry) (release func(), err error) {
	n := int64(memorySize(l))
	held := k.held.Add(n)
	release = func() { k.held.Add(-n) }
	count := k.LotCount()
	if k.roomBytes > 0 && held > k.roomBytes || k.roomLots > 0 && count >= k.roomLots {
		release()
		k.refused.Add(1)
		return nil, bulrushlug.Errorf(bulrushlug.KindOverloaded, "lot %s: no room for %d bytes beside %d in %d lots", id, n, held-n, count)
	}
	return release, nil
}

// applyUpdate applies u to l under the lock of its shard, and counts its memory.
func (k *ReplicaManager) applyUpdate(l *lot, u bulrushlug.LotUpdate) {
	before := l.size
	l.apply(u)
	k.held.Add(int64(l.size - before))
}

// HeldBytes returns about how much memory the lots on this disk take.
func (k *ReplicaManager) HeldBytes() int64 { return k.held.Load() }

// Refused returns the number of lots for which there was no room.
func (k *ReplicaManager) Refused() int64 { return k.refused.Load() }

// resize counts the memory of all entries anew.
func (l *lot) resize() {
	l.size = memorySize(l.entries)
	for _, f := range l.former {
		l.size += memorySize(f.entries)
	}
}
