package daemon

import (
	"fmt"
	"runtime/debug"
	"strings"
	"testing"
	"time"
)

// oddEntries are values that another writer left among the entries of the backend servers.
var oddEntries = map[string]string{
	"open arrays":        strings.Repeat("[", 700<<10),
	"arrays":             strings.Repeat("[", 350<<10) + strings.Repeat("]", 350<<10),
	"objects":            strings.Repeat(`{"a":`, 140<<10),
	"many slots":         `{"service":"s","address":"127.0.0.1:1","zone":"z0","version":"v1","slots":4294967295,"state":"ready","coldLeftMs":0,"callSeq":1,"born":1}`,
	"too many slots":     `{"service":"s","address":"127.0.0.1:1","zone":"z0","version":"v1","slots":1e999,"state":"ready","coldLeftMs":0,"callSeq":1,"born":1}`,
	"a start too late":   `{"service":"s","address":"127.0.0.1:1","zone":"z0","version":"v1","slots":4000,"state":"ready","coldLeftMs":0,"callSeq":1,"born":1e300}`,
	"port 0":             `{"service":"s","address":"127.0.0.1:0","zone":"z0","version":"v1","slots":4000,"state":"ready","coldLeftMs":0,"callSeq":1,"born":1}`,
	"port 99999":         `{"service":"s","address":"127.0.0.1:99999","zone":"z0","version":"v1","slots":4000,"state":"ready","coldLeftMs":0,"callSeq":1,"born":1}`,
	"no object":          `7`,
	"nothing":            ``,
	"bytes":              "\x00\xff\xfe",
	"a service in bytes": "{\"service\":\"\xff\",\"address\":\"127.0.0.1:1\",\"zone\":\"z0\",\"version\":\"v1\",\"slots\":4000,\"state\":\"ready\",\"coldLeftMs\":0,\"callSeq\":1,\"born\":1}",
}

// drainBound is the time after its registration in which a draining server gets no more requests.
const drainBound = 2 * time.Second

// TestOddEntries has another writer leave odd entries among those of the backend servers. The processes that watch the
// list, one that follows them and one that starts later go on and use the others.
func TestOddEntries(t *testing.T) {
	defer debug.SetMaxStack(debug.SetMaxStack(64 << 20)) // A process has 184 MB.
	s := newSystem(t, 3, 0, 2)
	ran := func(b int, id string) int {
		s.backends[b].mu.Lock()
		defer s.backends[b].mu.Unlock()
		return s.backends[b].ran[id]
	}
	for name, v := range oddEntries {
		s.write("servers/odd "+name, v)
	}
	s.register(s.backends[0], "draining")
	registered := time.Now()
	usesOne := func(i int) bool { return s.entries[i].daemon.slotTable.Available("s") == 1 }
	for i := range s.entries {
		s.waitUntil("the entry has the change", func() bool { return usesOne(i) })
	}
	if d := time.Since(registered); d > drainBound {
		t.Errorf("the entries had the change after %v", d)
	}
	s.entries = append(s.entries, s.start(map[string]string{"vm": "e3", "zone": "z0", "role": "entry", "http": freeAddress(), "ready": freeAddress()}))
	s.waitUntil("the new entry is ready", func() bool { return s.ready(3) })
	s.waitUntil("the new entry has the change", func() bool { return usesOne(3) })
	for i := range s.entries {
		for n := range 5 {
			id := fmt.Sprintf("e%d-%d", i, n)
			if status, b := s.call(i, "POST", "/ask/x", id, "k1", "body"); status != 200 || ran(0, id) != 0 || ran(1, id) != 1 {
				t.Errorf("%s: status %d, %q, ran %d times at the draining server and %d times at the other", id, status, b, ran(0, id), ran(1, id))
			}
		}
		if n := s.entries[i].daemon.slotTable.Available("s"); n != 1 {
			t.Errorf("entry %d uses %d servers", i, n)
		}
	}
}
