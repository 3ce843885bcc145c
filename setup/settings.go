// Package setup parses and validates the settings of a process that sends requests directly to backend servers.
package setup

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/tailscale/hujson"
	"github.com/tidwall/gjson"
	"google.golang.org/protobuf/encoding/protojson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// RoleData is the role of a process that stores lots on its disk and runs their items.
const RoleData = "data"

// Values of the setting placement.
const (
	PlacementLeastLoaded = "leastLoaded" // The default.
	PlacementEven        = "even"
)

const (
	maxToleratedDisks = 4 // Maximum number of disks that may be lost at the same time.
	maxHealthChecks   = 10
	defaultGrace      = 8 * time.Second
	defaultRetention  = 2 * time.Minute

	defaultMemory        = 512 // Megabytes.
	minMemory            = 48
	defaultDescriptors   = 4096
	minDescriptors       = 300
	defaultBodyGrace     = 10 * time.Second
	defaultBodyRate      = 100 // Bytes a second.
	defaultResponseStall = 5 * time.Second
)

// Settings are the validated settings of a process; values are immutable.
type Settings struct{ w *wire.SiteSettings }

// Matches reports whether b holds settings for this package and not for package conf, whose settings have no field
// toleratedDisks.
func Matches(b []byte) bool {
	j, err := hujson.Standardize(bytes.Clone(b))
	return err == nil && gjson.GetBytes(j, "toleratedDisks").Exists()
}

// Parse parses and validates the settings in b and ignores unknown fields. Errors have KindBadRequest, are prefixed with
// p and name every invalid field.
func Parse(p string, b []byte) (*Settings, error) {
	j, err := hujson.Standardize(bytes.Clone(b))
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	s := &Settings{w: &wire.SiteSettings{}}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(j, s.w); err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	if err := s.validate(); err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	return s, nil
}

// validate returns an error that names every invalid field.
func (s *Settings) validate() error {
	var l []error
	invalid := func(n, f string, a ...any) { l = append(l, fmt.Errorf("%s: %s", n, fmt.Sprintf(f, a...))) }
	for n, v := range map[string]string{"vm": s.w.Vm, "region": s.w.Region, "zone": s.w.Zone} {
		if v == "" {
			invalid(n, "is missing")
		}
	}
	addresses := map[string]string{"listen": s.w.Listen, "store": s.w.Store}
	switch s.w.Role {
	case bulrushlug.RoleEntry:
		addresses["http"], addresses["ready"] = s.w.Http, s.w.Ready
	case RoleData:
		if s.w.DataFolder == "" {
			invalid("dataFolder", "is missing")
		}
	default:
		invalid("role", "is %q, must be %q or %q", s.w.Role, bulrushlug.RoleEntry, RoleData)
	}
	if s.w.Metrics != "" {
		addresses["metrics"] = s.w.Metrics
	}
	for n, v := range addresses {
		if _, err := netip.ParseAddrPort(v); err != nil {
			invalid(n, "needs an IP number and a port: %v", err)
		}
	}
	switch s.w.Placement {
	case "", PlacementLeastLoaded, PlacementEven:
	default:
		invalid("placement", "is %q, must be %q or %q", s.w.Placement, PlacementLeastLoaded, PlacementEven)
	}
	if s.w.ToleratedDisks > maxToleratedDisks {
		invalid("toleratedDisks", "is %d, not from 0 to %d", s.w.ToleratedDisks, maxToleratedDisks)
	}
	for n, v := range map[string]float64{"graceSeconds": s.w.GraceSeconds, "statusSeconds": s.w.StatusSeconds,
		"rateWindowSeconds": s.w.RateWindowSeconds, "rateOverrun": s.w.RateOverrun, "rateSlack": s.w.RateSlack,
		"bodyGraceSeconds": s.w.BodyGraceSeconds, "responseStallSeconds": s.w.ResponseStallSeconds,
		"warmupFactor": s.w.WarmupFactor, "warmupSlack": s.w.WarmupSlack} {
		if v < 0 {
			invalid(n, "must not be negative")
		}
	}
	if n := s.w.MemoryMegabytes; n != 0 && n < minMemory {
		invalid("memoryMegabytes", "is %d, must be 0 or at least %d", n, minMemory)
	}
	if n := s.w.MaxDescriptors; n != 0 && n < minDescriptors {
		invalid("maxDescriptors", "is %d, must be 0 or at least %d", n, minDescriptors)
	}
	if n := s.w.HealthChecksPerSecond; n > maxHealthChecks {
		invalid("healthChecksPerSecond", "is %d, not from 0 to %d", n, maxHealthChecks)
	}
	return errors.Join(l...)
}

// Member returns the identity of the process.
func (s *Settings) Member() bulrushlug.Member {
	return bulrushlug.NewMember(s.w.Vm, s.w.Listen, s.w.Region, s.w.Zone, s.w.Role).WithDataFolder(s.w.DataFolder != "")
}

// HTTP returns the address (IP:port) on which the process serves callers.
func (s *Settings) HTTP() string { return s.w.Http }

// Ready returns the address (IP:port) of the readiness probe.
func (s *Settings) Ready() string { return s.w.Ready }

// Metrics returns the address (IP:port) of the metrics endpoint; empty if there is none.
func (s *Settings) Metrics() string { return s.w.Metrics }

// Store returns the address (IP:port) of the key-value service.
func (s *Settings) Store() string { return s.w.Store }

// DataFolder returns the data directory for lots; empty if there is none.
func (s *Settings) DataFolder() string { return s.w.DataFolder }

// ReplicationFactor returns the replication factor: the number of disks that hold what is acknowledged.
func (s *Settings) ReplicationFactor() int { return int(s.w.ToleratedDisks) + 1 }

// FirstStart reports whether the whole system is started for the first time.
func (s *Settings) FirstStart() bool { return s.w.FirstStart }

// MinLease returns the minimum lease TTL of the key-value service.
func (s *Settings) MinLease() time.Duration { return time.Duration(s.w.LeaseMinMs) * time.Millisecond }

// Grace returns the grace period between the request to stop and the end of the process.
func (s *Settings) Grace() time.Duration { return seconds(s.w.GraceSeconds, defaultGrace) }

// Retention returns how long a lot can be read after it was received.
func (s *Settings) Retention() time.Duration { return seconds(s.w.StatusSeconds, defaultRetention) }

// Placement returns the name of what chooses the servers of online requests.
func (s *Settings) Placement() string {
	if s.w.Placement == "" {
		return PlacementLeastLoaded
	}
	return s.w.Placement
}

// Tolerance returns the tolerated overrun of organisations' rate limits.
func (s *Settings) Tolerance() bulrushlug.Tolerance {
	return bulrushlug.NewTolerance(seconds(s.w.RateWindowSeconds, 0), s.w.RateOverrun, s.w.RateSlack)
}

// Memory returns the bytes of memory that the process may use.
func (s *Settings) Memory() int { return int(orDefault(s.w.MemoryMegabytes, defaultMemory)) << 20 }

// Descriptors returns the number of file descriptors that the process may have open.
func (s *Settings) Descriptors() int { return int(orDefault(s.w.MaxDescriptors, defaultDescriptors)) }

// MaxConnections returns the largest number of connections of callers; zero if only memory and descriptors limit it.
func (s *Settings) MaxConnections() int { return int(s.w.MaxConnections) }

// BodyGrace returns the time that the body of a request may take whatever its rate.
func (s *Settings) BodyGrace() time.Duration { return seconds(s.w.BodyGraceSeconds, defaultBodyGrace) }

// MinBodyRate returns the least rate, in bytes a second, of a body that takes longer than BodyGrace.
func (s *Settings) MinBodyRate() int {
	return int(orDefault(s.w.MinBodyBytesPerSecond, defaultBodyRate))
}

// ResponseStall returns the time for which a caller may take nothing of its response.
func (s *Settings) ResponseStall() time.Duration {
	return seconds(s.w.ResponseStallSeconds, defaultResponseStall)
}

// orDefault returns n, or d if n is zero.
func orDefault(n, d uint32) uint32 {
	if n == 0 {
		return d
	}
	return n
}

// Warmup returns the bound on requests to cold backend servers; without a factor it is the rate that they bear.
func (s *Settings) Warmup() bulrushlug.Warmup {
	if s.w.WarmupFactor == 0 {
		return bulrushlug.NewWarmup(1, s.w.WarmupSlack)
	}
	return bulrushlug.NewWarmup(s.w.WarmupFactor, s.w.WarmupSlack)
}

// HealthCheckInterval returns the time between two health checks of a backend server that may turn cold; zero if there are
// none.
func (s *Settings) HealthCheckInterval() time.Duration {
	if s.w.HealthChecksPerSecond == 0 {
		return 0
	}
	return time.Second / time.Duration(s.w.HealthChecksPerSecond)
}

// SuspectSilence reports whether a server is suspected as soon as it is silent on all streams while others are heard.
func (s *Settings) SuspectSilence() bool { return s.w.SuspectSilence }

// seconds returns n seconds as a duration, or d if n is zero.
func seconds(n float64, d time.Duration) time.Duration {
	if n == 0 {
		return d
	}
	return time.Duration(n * float64(time.Second))
}
