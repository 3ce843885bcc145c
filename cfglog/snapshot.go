package cfglog

import (
	"context"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

// snapshot writes a snapshot if n is a multiple of snapshotInterval; after a failure the next multiple tries again.
func (l *Log) snapshot(c context.Context, n uint64) {
	if n%snapshotInterval != 0 {
		return
	}
	if err := l.writeSnapshot(c, l.state.Config()); err != nil {
		l.recorder.Record(bulrushlug.NewEvent("snapshotFailed", bulrushlug.WithDetail(err.Error())))
		return
	}
	l.compact(c, n)
}

func (l *Log) writeSnapshot(c context.Context, f *bulrushlug.Config) error {
	h, err := l.store.Get(c, headKey)
	if err != nil {
		return err
	}
	k := fmt.Sprintf("%s%012d/%s/", partPrefix, f.Revision(), NewID())
	for i, p := range splitSnapshot(f) {
		b, err := codec.JSON(p)
		if err != nil {
			return bulrushlug.WrapError(bulrushlug.KindInternal, k, err)
		}
		if _, err := l.store.CompareAndSwap(c, fmt.Sprintf("%s%04d", k, i), b, 0); err != nil {
			return err
		}
	}
	if _, err = l.store.CompareAndSwap(c, headKey, []byte(k), h.Revision()); err != nil {
		return err
	}
	l.deleteParts(c, string(h.Value()))
	return nil
}

// splitSnapshot splits the entities of f into parts that fit into one value each; it estimates their JSON at twice the
// protobuf size.
func splitSnapshot(f *bulrushlug.Config) []*wire.Snapshot {
	p := &wire.Snapshot{Revision: f.Revision()}
	l := []*wire.Snapshot{p}
	n := 0
	for _, x := range f.Entities() {
		w := codec.EncodeChange(x)
		m := 2 * proto.Size(w)
		if n += m; n > maxPartBytes {
			p, n = &wire.Snapshot{Revision: f.Revision()}, m
			l = append(l, p)
		}
		p.Changes = append(p.Changes, w)
	}
	return l
}

// deleteParts deletes the parts of a previous snapshot under prefix k.
func (l *Log) deleteParts(c context.Context, k string) {
	if !strings.HasPrefix(k, partPrefix) {
		return
	}
	m, _, err := l.store.List(c, k)
	if err != nil {
		return
	}
	for _, i := range m {
		_ = l.store.Delete(c, i.Key(), i.Revision())
	}
}

// compact deletes changes up to revision n that are older than logRetention.
func (l *Log) compact(c context.Context, n uint64) {
	m, _, err := l.store.List(c, prefix)
	if err != nil {
		return
	}
	for _, i := range m {
		x, err := decode(i)
		if err != nil {
			l.recorder.Record(bulrushlug.NewEvent("changeNotDecoded", bulrushlug.WithDetail(err.Error())))
			continue
		}
		if x.Revision() > n || time.Since(x.Time()) < logRetention {
			return
		}
		_ = l.store.Delete(c, i.Key(), i.Revision())
	}
}

// readSnapshot returns the newest snapshot, or the empty configuration if there is none.
func (l *Log) readSnapshot(c context.Context) (*bulrushlug.Config, error) {
	m, err := l.readParts(c)
	if err != nil || m == nil {
		return bulrushlug.NewConfig(), err
	}
	var x []bulrushlug.Change
	var n uint64
	for _, i := range m {
		w, err := codec.ParseJSON[wire.Snapshot](i.Value())
		if err != nil {
			return nil, bulrushlug.WrapError(bulrushlug.KindInternal, i.Key(), err)
		}
		y, err := codec.DecodeChanges(w.Changes)
		if err != nil {
			return nil, err
		}
		n, x = w.Revision, append(x, y...)
	}
	return bulrushlug.RestoreConfig(n, x), nil
}

// readParts returns the parts of the newest snapshot, or nil if there is none. The parts of a snapshot are deleted once a
// newer one is in place, so the list is whole only if the head is still the same after it.
func (l *Log) readParts(c context.Context) ([]bulrushlug.KVEntry, error) {
	h, err := l.store.Get(c, headKey)
	for err == nil && h.Revision() != 0 {
		m, _, err := l.store.List(c, string(h.Value()))
		if err != nil {
			return nil, err
		}
		x, err := l.store.Get(c, headKey)
		if err != nil {
			return nil, err
		}
		if x.Revision() == h.Revision() {
			return m, nil
		}
		h = x
	}
	return nil, err
}
