package conf

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

var (
	linePattern  = regexp.MustCompile(`\(line (\d+):\d+\)`)
	fieldPattern = regexp.MustCompile(`"([^"]+)"`)
)

// Load reads and validates the file at path p; the error names the file, line and field of each problem.
func Load(p string) (*Settings, error) {
	b, err := os.ReadFile(p)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	return Parse(p, b)
}

// Parse reads and validates the settings in b; p is the file name in errors.
func Parse(p string, b []byte) (*Settings, error) {
	j, err := hujson.Standardize(bytes.Clone(b))
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	w, err := codec.ParseJSON[wire.Settings](j)
	if err != nil {
		return nil, bulrushlug.Errorf(bulrushlug.KindBadRequest, "%s", syntaxError(p, err))
	}
	s := &Settings{w: w}
	s.setDefaults()
	f := &validator{path: p, text: j}
	f.check(w)
	if len(f.errors) > 0 {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, "settings", errors.Join(f.errors...))
	}
	return s, nil
}

// syntaxError returns the message of err with file, line and field first.
func syntaxError(p string, err error) string {
	m := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	m = strings.TrimPrefix(m, "proto: ")
	if x := linePattern.FindStringSubmatch(m); x != nil {
		field := ""
		if y := fieldPattern.FindStringSubmatch(m); y != nil {
			field = y[1]
		}
		return fmt.Sprintf("%s:%s: %s: %s", p, x[1], field, m)
	}
	return p + ": " + m
}

// validator collects all errors in one file.
type validator struct {
	path   string
	text   []byte // Standard JSON with the line breaks of the file.
	errors []error
}

// add appends an error about field n.
func (f *validator) add(n, format string, a ...any) {
	line := 1
	if i := bytes.Index(f.text, []byte(strconv.Quote(n))); i >= 0 {
		line += bytes.Count(f.text[:i], []byte("\n"))
	}
	f.errors = append(f.errors, fmt.Errorf("%s:%d: %s: %s", f.path, line, n, fmt.Sprintf(format, a...)))
}

func (f *validator) check(w *wire.Settings) {
	f.required(w)
	f.addresses(w)
	f.secrets(w)
	f.ranges(w)
}

func (f *validator) required(w *wire.Settings) {
	for _, x := range []struct{ name, value string }{
		{"vm", w.Vm},
		{"region", w.Region},
		{"zone", w.Zone},
		{"listen", w.Listen},
		{"store", w.Store},
		{"vmList", w.VmList},
	} {
		if x.value == "" {
			f.add(x.name, "is missing")
		}
	}
	switch w.Role {
	case bulrushlug.RoleEntry:
		f.entry(w)
	case bulrushlug.RoleAgent:
		if w.Engine == "" && len(w.Services) == 0 {
			f.add("engine", "an agent needs an engine or services")
		}
	default:
		f.add("role", "is %q, not %q or %q", w.Role, bulrushlug.RoleEntry, bulrushlug.RoleAgent)
	}
}

func (f *validator) entry(w *wire.Settings) {
	if w.Http == "" {
		f.add("http", "is missing")
	}
	if w.OperatorHash == "" {
		f.add("operatorHash", "is missing")
	}
	if w.Engine != "" || len(w.Services) > 0 {
		f.add("engine", "an entry has neither engine nor services")
	}
}

func (f *validator) addresses(w *wire.Settings) {
	for _, x := range []struct{ name, value string }{{"listen", w.Listen}, {"http", w.Http}, {"debug", w.Debug}} {
		if x.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(x.value); err != nil {
			f.add(x.name, "is not host:port: %v", err)
		}
	}
	if _, err := netip.ParseAddrPort(w.Listen); w.Listen != "" && err != nil {
		f.add("listen", "needs an IP number and a port: %v", err)
	}
	urls := []struct{ name, value string }{{"store", w.Store}, {"vmList", w.VmList}, {"engine", w.Engine}}
	for _, x := range w.Services {
		if x.Name == "" {
			f.add("services", "a service has no name")
		}
		urls = append(urls, struct{ name, value string }{"services", x.Url})
	}
	for _, x := range urls {
		if u, err := url.Parse(x.value); x.value != "" && (err != nil || u.Host == "") {
			f.add(x.name, "is not a URL: %q", x.value)
		}
	}
}

func (f *validator) secrets(w *wire.Settings) {
	if len(w.PeerSecrets) == 0 {
		f.add("peerSecrets", "at least one secret is needed")
	}
	for _, s := range w.PeerSecrets {
		f.hexDigits("peerSecrets", s)
	}
	if w.OperatorHash != "" {
		f.hexDigits("operatorHash", w.OperatorHash)
	}
	if t := w.Tls; t != nil && (t.Certificate == "" || t.Key == "" || t.Authority == "") {
		f.add("tls", "certificate, key and authority are needed")
	}
}

func (f *validator) hexDigits(n, s string) {
	if _, err := hex.DecodeString(s); err != nil || len(s) != secretDigits {
		f.add(n, "needs %d hex digits", secretDigits)
	}
}

func (f *validator) ranges(w *wire.Settings) {
	for _, x := range []struct {
		name   string
		value  uint32
		lo, hi uint32
	}{
		{"slots", w.Slots, 0, maxSlots},
		{"drainSeconds", w.GetDrainSeconds(), 0, maxDrain},
		{"maxBodyBytes", w.GetMaxBodyBytes(), 1024, maxBody},
		{"replicas", w.GetReplicas(), 1, maxReplicas},
		{"retentionHours", w.GetRetentionHours(), 1, maxRetention},
	} {
		if x.value < x.lo || x.value > x.hi {
			f.add(x.name, "is %d, not from %d to %d", x.value, x.lo, x.hi)
		}
	}
}
