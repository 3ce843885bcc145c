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

// snapshot writes the configuration if n is the number of a snapshot; a failure only delays it.
func (l *Log) snapshot(c context.Context, n uint64) {
	if n%snapshotEvery != 0 {
		return
	}
	if err := l.writeSnapshot(c, l.state.Config()); err != nil {
		l.recorder.Record(bulrushlug.NewEvent("snapshotFailed", bulrushlug.WithDetail(err.Error())))
		return
	}
	l.trim(c, n)
}

func (l *Log) writeSnapshot(c context.Context, f *bulrushlug.Config) error {
	h, err := l.store.Get(c, headKey)
	if err != nil {
		return err
	}
	k := fmt.Sprintf("%s%012d/%s/", partPrefix, f.Revision(), NewID())
	for i, p := range parts(f) {
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
	l.dropParts(c, string(h.Value()))
	return nil
}

// parts cuts the entities of f into snapshots that fit into one value each.
func parts(f *bulrushlug.Config) []*wire.Snapshot {
	p := &wire.Snapshot{Revision: f.Revision()}
	l := []*wire.Snapshot{p}
	n := 0
	for _, x := range f.Entities() {
		w := codec.EncodeChange(x)
		if n += 2 * proto.Size(w); n > partBytes {
			p, n = &wire.Snapshot{Revision: f.Revision()}, 0
			l = append(l, p)
		}
		p.Changes = append(p.Changes, w)
	}
	return l
}

// dropParts removes the parts of an earlier snapshot.
func (l *Log) dropParts(c context.Context, k string) {
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

// trim removes old changes up to number n.
func (l *Log) trim(c context.Context, n uint64) {
	m, _, err := l.store.List(c, prefix)
	if err != nil {
		return
	}
	for _, i := range m {
		x, err := decode(i)
		if err != nil || x.Revision() > n || time.Since(x.Time()) < keptTime {
			return
		}
		_ = l.store.Delete(c, i.Key(), i.Revision())
	}
}

// restore reads the newest snapshot.
func (l *Log) restore(c context.Context) (*bulrushlug.Config, error) {
	h, err := l.store.Get(c, headKey)
	if err != nil || h.Revision() == 0 {
		return bulrushlug.NewConfig(), err
	}
	m, _, err := l.store.List(c, string(h.Value()))
	if err != nil {
		return nil, err
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
