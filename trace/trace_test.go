package trace

import (
	"strings"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

const logs = `ts=2026-06-10T09:00:00Z vm=e1 event=start role=entry
ts=2026-06-10T09:00:01Z vm=e1 event=servers count=3 draining=0
ts=2026-06-10T09:00:02Z vm=e1 event=servers count=4 draining=1
  16.0000 e1 ts=2026-06-10T09:00:10.5Z vm=e1 event=callFailed request=r1 server=s1 err="connection refused: 10.0.0.1"
ts=2026-06-10T09:00:11Z vm=e1 event=requestEnd request=r1 organisation=o detail="ok after 600ms"
ts=2026-06-10T09:00:11Z vm=e1 event=requestEnd request=r2 organisation=o detail="ok after 1ms"
not a line of a log
ts=2026-06-10T09:00:10.7Z vm=e1 event=storeLost revision=9
ts=2026-06-10T09:00:10.8Z vm=d1 event=storeLost revision=9
ts=2026-06-10T09:00:12Z vm=d1 event=itemRunEnded cause=preempted lot=l1 request=i1 server=s1
ts=2026-06-10T09:00:12.25Z vm=d2 event=itemGivenUp lot=l1 item=0
ts=2026-06-10T09:00:13Z vm=d2 event=callFailed request=i1 server=s2
`

func TestWrite(t *testing.T) {
	for name, x := range map[string]struct{ id, want string }{
		"a request": {id: "r1", want: `r1: 2 lines of 1 processes in 500ms, from 09:00:10.500
     before  e1  servers count=4 draining=1 (8.5s old)
     before  e1  start role=entry (10.5s old)
*    +0.000  e1  callFailed request=r1 server=s1 err="connection refused: 10.0.0.1"
     +0.200  e1  storeLost revision=9
*    +0.500  e1  requestEnd request=r1 organisation=o detail="ok after 600ms"
`},
		"a lot and its items": {id: "l1", want: `l1: 3 lines of 2 processes in 1s, from 09:00:12.000
     -1.200  d1  storeLost revision=9
*    +0.000  d1  itemRunEnded cause=preempted lot=l1 request=i1 server=s1
*    +0.250  d2  itemGivenUp lot=l1 item=0
*    +1.000  d2  callFailed request=i1 server=s2
`},
	} {
		t.Run(name, func(t *testing.T) {
			y, b := &Trace{}, &strings.Builder{}
			if err := y.Read(strings.NewReader(logs)); err != nil {
				t.Fatal(err)
			}
			if err := y.Write(b, x.id); err != nil || b.String() != x.want {
				t.Errorf("error %v, wrote\n%s", err, b)
			}
		})
	}
}

func TestBadInput(t *testing.T) {
	for name, x := range map[string]struct {
		input string
		kind  bulrushlug.Kind // Of the error of Read, or else of Write.
		text  string
	}{
		"nothing":         {kind: bulrushlug.KindNotFound, text: "no line of 0 names r9"},
		"another request": {input: logs, kind: bulrushlug.KindNotFound, text: "no line of 11 names r9 (1 lines"},
		"no log":          {input: "\x00\xff\nts=\nts=x vm= event=\n", kind: bulrushlug.KindNotFound, text: "(3 lines"},
		"a line too long": {input: strings.Repeat("x", 2*maxLineBytes), kind: bulrushlug.KindBadRequest, text: "log"},
	} {
		t.Run(name, func(t *testing.T) {
			y := &Trace{}
			err := y.Read(strings.NewReader(x.input))
			if err == nil {
				err = y.Write(&strings.Builder{}, "r9")
			}
			if err == nil || bulrushlug.KindOf(err) != x.kind || !strings.Contains(err.Error(), x.text) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// FuzzRead checks that arbitrary logs are read without a panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte(logs))
	f.Fuzz(func(_ *testing.T, b []byte) {
		t := &Trace{}
		_ = t.Read(strings.NewReader(string(b)))
		_ = t.Write(&strings.Builder{}, "r1")
	})
}
