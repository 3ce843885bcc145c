package lotlog

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

// FuzzLoad loads files of arbitrary bytes, the first part of which is also stored as a record with its checksum. What was
// loaded once is loaded again.
func FuzzLoad(f *testing.F) {
	f.Add([]byte{}, []byte{0, 0, 0, 0, 0, 0, 0, 0})
	f.Add([]byte("\n\x03lot\x10\x01"), []byte("\xff\xff\xff\xff torn"))
	d := f.TempDir()
	f.Fuzz(func(t *testing.T, record, tail []byte) {
		l, err := Open(d)
		if err != nil {
			t.Fatal(err)
		}
		b := binary.BigEndian.AppendUint32(nil, uint32(len(record)))
		b = binary.BigEndian.AppendUint32(b, crc32.Checksum(record, crcTable))
		if err := os.WriteFile(l.path("x"), append(append(b, record...), tail...), fileMode); err != nil {
			t.Fatal(err)
		}
		var n [2]int
		for i := range n {
			if err := l.Load(func(bulrushlug.LotUpdate) { n[i]++ }); err != nil {
				t.Fatal(err)
			}
		}
		if n[0] != n[1] {
			t.Errorf("%d records, then %d", n[0], n[1])
		}
	})
}
