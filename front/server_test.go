package front

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

func TestDeadline(t *testing.T) {
	for name, x := range map[string]struct {
		header string
		want   time.Duration
	}{
		"none":                       {want: defaultTimeout},
		"a second":                   {header: "1000", want: time.Second},
		"not a number":               {header: "soon", want: defaultTimeout},
		"negative":                   {header: "-5", want: defaultTimeout},
		"more than the most":         {header: "999999999", want: maxTimeout},
		"more than a duration holds": {header: "9223372036855", want: maxTimeout},
		"the largest number":         {header: "9223372036854775807", want: maxTimeout},
		"more than a number holds":   {header: "9223372036854775808", want: defaultTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := httptest.NewRequest("POST", "/v1/completions", nil)
				r.Header.Set("X-Timeout-Ms", x.header)
				if got := time.Until(deadline(r)); got != x.want {
					t.Errorf("the timeout is %v", got)
				}
			})
		})
	}
}
