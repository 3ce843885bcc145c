package codec

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// TestReportSuspects encodes and decodes what a process knows of parts of prompts with which servers ended.
func TestReportSuspects(t *testing.T) {
	for name, l := range map[string][]bulrushlug.Suspect{
		"none":       nil,
		"crashes":    {bulrushlug.NewSuspect(1<<63, 2, true, []bulrushlug.Crash{bulrushlug.NewCrash(3, 4, 1<<63, 5, 6*time.Second), bulrushlug.NewCrash(7, 8, 9, 0, 0)}, -1)},
		"a success":  {bulrushlug.NewSuspect(1, 2, false, nil, time.Minute)},
		"a test":     {bulrushlug.NewSuspect(1, 2, false, nil, -1).WithTest(time.Second)},
		"a test now": {bulrushlug.NewSuspect(1, 2, false, nil, time.Second).WithTest(0)},
		"just begun": {bulrushlug.NewSuspect(1, 2, false, nil, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			r := bulrushlug.NewReport(bulrushlug.NewMember("v", "h:1", "", "z", "entry"), 1, 2, bulrushlug.ReportSuspects(l))
			if got := DecodeReport(EncodeReport(r)).Suspects(); !reflect.DeepEqual(got, l) {
				t.Errorf("suspects %+v, not %+v", got, l)
			}
		})
	}
}

// TestReportUnreachable encodes and decodes the servers that a process can't reach.
func TestReportUnreachable(t *testing.T) {
	for name, l := range map[string][]string{"none": nil, "one": {"a"}, "two": {"a", "b"}} {
		t.Run(name, func(t *testing.T) {
			r := bulrushlug.NewReport(bulrushlug.NewMember("v", "h:1", "", "z", "entry"), 1, 2, bulrushlug.ReportUnreachable(l))
			if got := DecodeReport(EncodeReport(r)).Unreachable(); !slices.Equal(got, l) {
				t.Errorf("decoded %q", got)
			}
		})
	}
}

// TestReportCold encodes and decodes the servers that said that they are cold.
func TestReportCold(t *testing.T) {
	for name, x := range map[string]struct{ list, want []bulrushlug.ColdServer }{
		"none":     {},
		"two":      {list: []bulrushlug.ColdServer{bulrushlug.NewColdServer("a", 2500*time.Millisecond), bulrushlug.NewColdServer("b", 0)}, want: []bulrushlug.ColdServer{bulrushlug.NewColdServer("a", 2500*time.Millisecond), bulrushlug.NewColdServer("b", 0)}},
		"too long": {list: []bulrushlug.ColdServer{bulrushlug.NewColdServer("a", 1<<62)}, want: []bulrushlug.ColdServer{bulrushlug.NewColdServer("a", math.MaxUint32*time.Millisecond)}},
	} {
		t.Run(name, func(t *testing.T) {
			r := bulrushlug.NewReport(bulrushlug.NewMember("v", "h:1", "", "z", "entry"), 1, 2, bulrushlug.ReportCold(x.list))
			if got := DecodeReport(EncodeReport(r)).Cold(); !slices.Equal(got, x.want) {
				t.Errorf("decoded %v", got)
			}
		})
	}
}

// TestReportServerEnds encodes and decodes the servers that ended.
func TestReportServerEnds(t *testing.T) {
	for name, l := range map[string][]bulrushlug.ServerEnd{
		"none":    nil,
		"several": {bulrushlug.NewServerEnd(1<<63, 5*time.Second), bulrushlug.NewServerEnd(2, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			r := bulrushlug.NewReport(bulrushlug.NewMember("v", "h:1", "", "z", "entry"), 1, 2, bulrushlug.ReportServerEnds(l))
			if got := DecodeReport(EncodeReport(r)).ServerEnds(); !reflect.DeepEqual(got, l) {
				t.Errorf("ends %+v, not %+v", got, l)
			}
		})
	}
}

// TestReportOfLeavingServers checks that the receiver of a report recognises the runs of servers that it names.
func TestReportOfLeavingServers(t *testing.T) {
	zone := bulrushlug.BackendZoneSlots("z", 8)
	for name, x := range map[string]struct {
		reported, listed bulrushlug.Backend
		same             bool
	}{
		"the same run":      {bulrushlug.NewBackend("i", "s", "h:1", zone, bulrushlug.BackendStart(5, 7)), bulrushlug.NewBackend("i", "s", "h:1", zone, bulrushlug.BackendStart(5, 9)), true},
		"without a start":   {bulrushlug.NewBackend("i", "s", "h:1"), bulrushlug.NewBackend("i", "s", "h:1", zone), true},
		"a later run":       {bulrushlug.NewBackend("i", "s", "h:1", bulrushlug.BackendStart(5, 7)), bulrushlug.NewBackend("i", "s", "h:1", bulrushlug.BackendStart(6, 7)), false},
		"another address":   {bulrushlug.NewBackend("i", "s", "h:1"), bulrushlug.NewBackend("i", "s", "h:2"), false},
		"another service":   {bulrushlug.NewBackend("i", "s", "h:1"), bulrushlug.NewBackend("i", "t", "h:1"), false},
		"another server":    {bulrushlug.NewBackend("i", "s", "h:1"), bulrushlug.NewBackend("j", "s", "h:1"), false},
		"an empty identity": {bulrushlug.NewBackend("", "", ""), bulrushlug.NewBackend("i", "s", "h:1"), false},
	} {
		t.Run(name, func(t *testing.T) {
			m := bulrushlug.NewMember("vm", "h:9", "", "z", bulrushlug.RoleEntry)
			b, err := proto.Marshal(EncodeReport(bulrushlug.NewReport(m, 1, 2, bulrushlug.ReportLeaving([]bulrushlug.Backend{x.reported}))))
			if err != nil {
				t.Fatal(err)
			}
			w := &wire.Report{}
			if err := proto.Unmarshal(b, w); err != nil {
				t.Fatal(err)
			}
			l := DecodeReport(w).Leaving()
			if len(l) != 1 || l[0].SameInstance(x.listed) != x.same {
				t.Errorf("leaving servers: %+v", l)
			}
		})
	}
}
