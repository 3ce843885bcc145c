package setup

import (
	"strings"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const entrySettings = `// One process.
{
  "vm": "edge-a-1", "region": "r", "zone": "a", "role": "entry", "listen": "10.0.0.1:7360",
  "http": "10.0.0.1:80", "ready": "10.0.0.1:81", "metrics": "10.0.0.1:9100", "store": "10.0.0.9:80",
  "toleratedDisks": 1, "firstStart": true, "leaseMinMs": 1000, "graceSeconds": 8, "statusSeconds": 120.5,
  "rateWindowSeconds": 5, "rateOverrun": 0.1, "rateSlack": 20, "suspectSilence": true,
  "warmupFactor": 1.5, "warmupSlack": 5,
}`

func TestParse(t *testing.T) {
	for name, x := range map[string]struct {
		old, new string // Replacement in entrySettings.
		want     string // Part of the error; empty if the settings are valid.
	}{
		"an entry":                 {},
		"an unknown field":         {old: `"vm"`, new: `"later": {"x": [1]}, "vm"`},
		"default retention":        {old: `, "statusSeconds": 120.5`},
		"invalid JSON":             {old: `"vm":`, new: `vm`, want: "s.json"},
		"a string for a number":    {old: `"toleratedDisks": 1`, new: `"toleratedDisks": "one"`, want: "toleratedDisks"},
		"no name":                  {old: `"vm": "edge-a-1",`, want: "vm: is missing"},
		"no zone":                  {old: `"zone": "a",`, want: "zone: is missing"},
		"an unknown role":          {old: `"entry"`, new: `"king"`, want: `role: is "king", must be "entry" or "data"`},
		"no store":                 {old: `"store": "10.0.0.9:80",`, want: "store: needs an IP number and a port"},
		"a name for an address":    {old: `"10.0.0.1:7360"`, new: `"host:7360"`, want: "listen: needs an IP number and a port"},
		"no address for callers":   {old: `"http": "10.0.0.1:80",`, want: "http: needs an IP number and a port"},
		"data without a directory": {old: `"entry"`, new: `"data"`, want: "dataFolder: is missing"},
		"too many disks":           {old: `"toleratedDisks": 1`, new: `"toleratedDisks": 9`, want: "toleratedDisks: is 9, not from 0 to 4"},
		"even placement":           {old: `"firstStart"`, new: `"placement": "even", "firstStart"`},
		"an unknown placement":     {old: `"firstStart"`, new: `"placement": "best", "firstStart"`, want: `placement: is "best", must be "leastLoaded" or "even"`},
		"too little memory":        {old: `"firstStart": true`, new: `"memoryMegabytes": 32`, want: "memoryMegabytes: is 32, must be 0 or at least 48"},
		"too few descriptors":      {old: `"firstStart": true`, new: `"maxDescriptors": 100`, want: "maxDescriptors: is 100, must be 0 or at least 300"},
		"health checks":            {old: `"firstStart"`, new: `"healthChecksPerSecond": 2, "firstStart"`},
		"too many health checks":   {old: `"firstStart"`, new: `"healthChecksPerSecond": 11, "firstStart"`, want: "healthChecksPerSecond: is 11, not from 0 to 10"},
		"a negative stall":         {old: `"graceSeconds": 8`, new: `"responseStallSeconds": -1`, want: "responseStallSeconds: must not be negative"},
		"a negative factor":        {old: `"warmupFactor": 1.5`, new: `"warmupFactor": -1`, want: "warmupFactor: must not be negative"},
		"a negative duration":      {old: `"graceSeconds": 8`, new: `"graceSeconds": -8`, want: "graceSeconds: must not be negative"},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := Parse("s.json", []byte(strings.Replace(entrySettings, x.old, x.new, 1)))
			if x.want != "" {
				if err == nil || !strings.Contains(err.Error(), x.want) || bulrushlug.KindOf(err) != bulrushlug.KindBadRequest {
					t.Errorf("Parse returned %v", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if s.Member().Name() != "edge-a-1" || s.ReplicationFactor() != 2 || s.Grace() != 8*time.Second || s.Retention() < 2*time.Minute || !s.FirstStart() || !s.SuspectSilence() || s.Warmup().Requests(7.6) != 16 {
				t.Errorf("wrong settings: %+v", s)
			}
		})
	}
}
