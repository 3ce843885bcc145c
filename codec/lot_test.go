package codec

import (
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
