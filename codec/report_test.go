package codec

import (
	"reflect"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestReportSuspects encodes and decodes what a process knows of parts of prompts with which servers ended.
func TestReportSuspects(t *testing.T) {
	for name, l := range map[string][]bulrushlug.Suspect{
		"none":       nil,
		"crashes":    {bulrushlug.NewSuspect(1<<63, 2, true, []bulrushlug.Crash{bulrushlug.NewCrash(3, 4, 5*time.Second), bulrushlug.NewCrash(6, 7, 0)}, -1)},
		"a success":  {bulrushlug.NewSuspect(1, 2, false, nil, time.Minute)},
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
