package lots

import (
	"context"

	"bulrushlug.dev/bulrushlug"
)

const (
	maxPartBytes = 4 << 20 // Bytes of entries, and of progress, in one message or record on disk; one entry may have more.
	maxTransfers = 4       // Transfers of logs with more than one part at once.
	entryBytes   = 64      // Allowance for the encoding of one entry.
)

// entrySize returns about how many bytes e has when it is encoded.
func entrySize(e bulrushlug.LotEntry) int {
	n := entryBytes
	if r := e.Result(); r != nil {
		n += len(r.Text())
	}
	if l := e.Lot(); l != nil {
		for _, i := range l.Items() {
			n += entryBytes + len(i.Path()) + len(i.Body())
			for _, f := range i.Fields() {
				n += len(f.Name()) + len(f.Value())
			}
		}
	}
	return n
}

// partLength returns how many of the entries l make up one part: at least one, if there are any.
func partLength(l []bulrushlug.LotEntry) int {
	size := 0
	for n, e := range l {
		if size += entrySize(e); n > 0 && size > maxPartBytes {
			return n
		}
	}
	return len(l)
}

// firstPart returns u with the first part of its entries, and the update with the rest, which has what is not an entry.
func firstPart(u bulrushlug.LotUpdate) (part, rest bulrushlug.LotUpdate) {
	n := partLength(u.Entries())
	if n == len(u.Entries()) {
		return u, bulrushlug.LotUpdate{}
	}
	part = bulrushlug.NewLotUpdate(u.Lot(), u.Epoch(), u.Replicas(), u.Offset(), u.Entries()[:n], u.Confirmed()).WithSender(u.Sender())
	rest = bulrushlug.NewLotUpdate(u.Lot(), u.Epoch(), u.Replicas(), u.Offset()+n, u.Entries()[n:], u.Confirmed()).WithSender(u.Sender()).
		WithProgress(u.Progress()).WithProgressWanted(u.WantsProgress())
	return part, rest
}

// sendLog sends u to the replica on disk d in parts, and returns the state of the replica after the last one. It stops at
// the first part that the replica does not accept.
func (k *ReplicaManager) sendLog(c context.Context, d string, u bulrushlug.LotUpdate) (bulrushlug.LotReplicaState, error) {
	if partLength(u.Entries()) < len(u.Entries()) {
		select {
		case k.transfers <- struct{}{}:
			defer func() { <-k.transfers }()
		case <-c.Done():
			return bulrushlug.LotReplicaState{}, c.Err()
		}
	}
	for {
		part, rest := firstPart(u)
		s, err := k.send(c, d, part, logTransferTimeout)
		if err != nil || !s.OK() || len(rest.Entries()) == 0 {
			return s, err
		}
		u = rest
	}
}

// persistParts writes u to the log on this disk in parts. The first one is written if accept allows it.
func (k *ReplicaManager) persistParts(u bulrushlug.LotUpdate, accept func(l *lot) bool) (bulrushlug.LotReplicaState, error) {
	for {
		part, rest := firstPart(u)
		s, err := k.persist(part, accept)
		if err != nil || !s.OK() || len(rest.Entries()) == 0 {
			return s, err
		}
		u, accept = rest, func(l *lot) bool { return l.sameEpoch(u) && !l.confirmed }
	}
}
