package codec

import (
	"reflect"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// TestReplicas decodes what names the replicas of a lot: whoever reads the first one relies on there being one.
func TestReplicas(t *testing.T) {
	for name, x := range map[string]struct {
		replicas []string
		ok       bool
	}{
		"none": {},
		"one":  {replicas: []string{"a"}, ok: true},
		"two":  {replicas: []string{"a", "b"}, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := EncodeLotRecord(bulrushlug.NewLotRecord(1, x.replicas, "o", time.UnixMilli(1)))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodeLotRecord(b); (err == nil) != x.ok {
				t.Errorf("record: error %v", err)
			}
			if _, err := DecodeLotUpdate(&wire.LotAppend{Lot: "l", Epoch: 1, Replicas: x.replicas}); (err == nil) != x.ok {
				t.Errorf("update: error %v", err)
			}
		})
	}
}

// TestOrigin encodes and decodes under which configuration a lot was accepted and who sent an update.
func TestOrigin(t *testing.T) {
	for name, x := range map[string]struct {
		revision uint64
		sender   string
	}{
		"unknown": {},
		"known":   {revision: 1<<63 + 1, sender: "disk"},
	} {
		t.Run(name, func(t *testing.T) {
			l := bulrushlug.NewLot("l", "o", "r", "h", time.UnixMilli(5), nil).WithRevision(x.revision)
			u := bulrushlug.NewLotUpdate("l", 1, []string{"a"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}, true).WithSender(x.sender)
			got, err := DecodeLotUpdate(EncodeLotUpdate(u))
			if err != nil || !reflect.DeepEqual(got, u) {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

// TestProgress encodes and decodes what is known of the running items of a lot.
func TestProgress(t *testing.T) {
	for name, p := range map[string][]bulrushlug.LotProgress{
		"none":      nil,
		"one text":  {bulrushlug.NewLotProgress(3, 7, 5, []string{"a", "b"})},
		"two items": {bulrushlug.NewLotProgress(0, 7, 1, []string{"a"}), bulrushlug.NewLotProgress(1, 1<<63, 9, []string{""})},
	} {
		t.Run(name, func(t *testing.T) {
			u := bulrushlug.NewLotUpdate("l", 1, []string{"a"}, 0, nil, true).WithProgress(p)
			got, err := DecodeLotUpdate(EncodeLotUpdate(u))
			if err != nil || !reflect.DeepEqual(got.Progress(), p) || got.WantsProgress() {
				t.Errorf("progress %v, %v", got.Progress(), err)
			}
			if got, err := DecodeLotUpdate(EncodeLotUpdate(u.WithProgressWanted(true))); err != nil || !got.WantsProgress() {
				t.Errorf("no progress is wanted: %v", err)
			}
			s := DecodeLotReplicaState(EncodeLotReplicaState(bulrushlug.NewLotReplicaState(true, 1, 2).WithProgress(p)))
			if !reflect.DeepEqual(s.Progress(), p) {
				t.Errorf("progress %v of a replica", s.Progress())
			}
		})
	}
}
