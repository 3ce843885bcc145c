// Package setup reads the settings of a process that serves backend servers directly.
package setup

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/tailscale/hujson"
	"github.com/tidwall/gjson"
	"google.golang.org/protobuf/encoding/protojson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// RoleData is the role of a process that keeps lots on its disk.
const RoleData = "data"

const (
	maxTolerated  = 4 // Disks that may be lost at once.
	defaultGrace  = 8 * time.Second
	defaultStatus = 2 * time.Minute
)

// Settings are checked settings; values are immutable.
type Settings struct{ w *wire.SiteSettings }

// Load reads and checks the file at path p; the error names each field that is wrong.
func Load(p string) (*Settings, error) {
	b, err := os.ReadFile(p)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	return Parse(p, b)
}

// Describes reports whether b holds settings of this kind, and not of a process beside a backend server.
func Describes(b []byte) bool {
	j, err := hujson.Standardize(bytes.Clone(b))
	return err == nil && gjson.GetBytes(j, "toleratedDisks").Exists()
}

// Parse checks the settings in b, which p names in errors; fields that it does not know are left out.
func Parse(p string, b []byte) (*Settings, error) {
	j, err := hujson.Standardize(bytes.Clone(b))
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	s := &Settings{w: &wire.SiteSettings{}}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(j, s.w); err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	if err := s.check(); err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	return s, nil
}

func (s *Settings) check() error {
	var l []error
	wrong := func(n, f string, a ...any) { l = append(l, fmt.Errorf("%s: %s", n, fmt.Sprintf(f, a...))) }
	for n, v := range map[string]string{"vm": s.w.Vm, "region": s.w.Region, "zone": s.w.Zone} {
		if v == "" {
			wrong(n, "is missing")
		}
	}
	needed := map[string]string{"listen": s.w.Listen, "store": s.w.Store}
	switch s.w.Role {
	case bulrushlug.RoleEntry:
		needed["http"], needed["ready"] = s.w.Http, s.w.Ready
	case RoleData:
		if s.w.DataFolder == "" {
			wrong("dataFolder", "is missing")
		}
	default:
		wrong("role", "is %q, not %q or %q", s.w.Role, bulrushlug.RoleEntry, RoleData)
	}
	if s.w.Metrics != "" {
		needed["metrics"] = s.w.Metrics
	}
	for n, v := range needed {
		if _, err := netip.ParseAddrPort(v); err != nil {
			wrong(n, "needs an IP number and a port: %v", err)
		}
	}
	if s.w.ToleratedDisks > maxTolerated {
		wrong("toleratedDisks", "is %d, not from 0 to %d", s.w.ToleratedDisks, maxTolerated)
	}
	for n, v := range map[string]float64{"graceSeconds": s.w.GraceSeconds, "statusSeconds": s.w.StatusSeconds,
		"rateWindowSeconds": s.w.RateWindowSeconds, "rateOverrun": s.w.RateOverrun, "rateSlack": s.w.RateSlack} {
		if v < 0 {
			wrong(n, "is below zero")
		}
	}
	return errors.Join(l...)
}

// Member returns the process.
func (s *Settings) Member() bulrushlug.Member {
	return bulrushlug.NewMember(s.w.Vm, s.w.Listen, s.w.Region, s.w.Zone, s.w.Role).WithData(s.w.DataFolder != "")
}

// HTTP returns the address for callers.
func (s *Settings) HTTP() string { return s.w.Http }

// Ready returns the address at which the process says whether it is ready.
func (s *Settings) Ready() string { return s.w.Ready }

// Metrics returns the address of the counters, or nothing.
func (s *Settings) Metrics() string { return s.w.Metrics }

// Store returns the address of the key-value service.
func (s *Settings) Store() string { return s.w.Store }

// DataFolder returns the folder for lots, or nothing.
func (s *Settings) DataFolder() string { return s.w.DataFolder }

// Copies returns the number of disks that hold what is acknowledged.
func (s *Settings) Copies() int { return int(s.w.ToleratedDisks) + 1 }

// FirstStart reports whether the whole system starts for the first time.
func (s *Settings) FirstStart() bool { return s.w.FirstStart }

// LeaseMin returns the shortest lease of the key-value service.
func (s *Settings) LeaseMin() time.Duration { return time.Duration(s.w.LeaseMinMs) * time.Millisecond }

// Grace returns the time between the request to stop and the end of the process.
func (s *Settings) Grace() time.Duration { return seconds(s.w.GraceSeconds, defaultGrace) }

// Status returns the time after its receipt for which a lot can be read.
func (s *Settings) Status() time.Duration { return seconds(s.w.StatusSeconds, defaultStatus) }

// Tolerance returns what is tolerated beyond the rate of an organisation.
func (s *Settings) Tolerance() bulrushlug.Tolerance {
	return bulrushlug.NewTolerance(seconds(s.w.RateWindowSeconds, 0), s.w.RateOverrun, s.w.RateSlack)
}

func seconds(n float64, d time.Duration) time.Duration {
	if n == 0 {
		return d
	}
	return time.Duration(n * float64(time.Second))
}
