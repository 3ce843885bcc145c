package proxy

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
)

// body is a response that is no stream.
type body struct {
	size   int
	broken bool // The connection breaks at its end.
}

// bodies is a fake client of the backend servers that answers with one body after the other, the last one again and again.
type bodies struct {
	list   []body
	calls  int
	onRead func() // Called before the end of each body.
}

func (v *bodies) Call(context.Context, bulrushlug.Backend, *bulrushlug.Request) (bulrushlug.Reply, error) {
	b := v.list[min(v.calls, len(v.list)-1)]
	v.calls++
	end := io.EOF
	if b.broken {
		end = errors.New("connection reset")
	}
	check := readerFunc(func([]byte) (int, error) { v.onRead(); return 0, end })
	return &reply{status: 200, contentType: "text/plain", in: io.MultiReader(strings.NewReader(strings.Repeat("x", b.size)), check)}, nil
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestLongResponses guards against a response that is held without bound, and against one that can't be retried although it
// is short enough to be held.
func TestLongResponses(t *testing.T) {
	const plenty = 1 << 30
	for name, x := range map[string]struct {
		budget   int
		list     []body
		calls    int
		size     int // Bytes that the caller gets.
		err      bulrushlug.Kind
		heldMost int // Most bytes reserved at the end of a body.
	}{
		"short":                             {budget: plenty, list: []body{{size: 5}}, calls: 1, size: 5},
		"short, without memory":             {budget: 0, list: []body{{size: 5}}, calls: 1, size: 5},
		"short and broken, without memory":  {budget: 0, list: []body{{size: 5, broken: true}, {size: 5}}, calls: 2, size: 5},
		"as long as one part":               {budget: 0, list: []body{{size: readSize}}, calls: 1, size: readSize},
		"longer, then broken":               {budget: plenty, list: []body{{size: 10 * readSize, broken: true}, {size: 7}}, calls: 2, size: 7, heldMost: 10 * readSize},
		"longer, without memory":            {budget: 0, list: []body{{size: 10 * readSize}}, calls: 1, size: 10 * readSize},
		"longer and broken, without memory": {budget: 0, list: []body{{size: 10 * readSize, broken: true}, {size: 7}}, calls: 1, size: 10 * readSize, err: bulrushlug.KindBroken},
		"as long as can be held":            {budget: plenty, list: []body{{size: maxBuffered - 1, broken: true}, {size: 7}}, calls: 2, size: 7, heldMost: maxBuffered},
		"too long to be held":               {budget: plenty, list: []body{{size: 4 * maxBuffered}}, calls: 1, size: 4 * maxBuffered},
		"too long to be held, then broken":  {budget: plenty, list: []body{{size: 4 * maxBuffered, broken: true}, {size: 7}}, calls: 1, size: 4 * maxBuffered, err: bulrushlug.KindBroken},
	} {
		t.Run(name, func(t *testing.T) {
			m := memory.New(x.budget)
			v := &bodies{list: x.list, onRead: func() {
				if int(m.Used()) > x.heldMost {
					t.Errorf("%d bytes are reserved, not %d", m.Used(), x.heldMost)
				}
			}}
			route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)),
				bulrushlug.RouteTraffic(bulrushlug.TrafficCall, true, false), bulrushlug.RouteLimits(3, 0, 0))
			k := &caller{}
			err := New(table(), v, noRecorder{}, func([]string) {}, noDetector{}, m).Run(t.Context(), bulrushlug.NewRequest("r", bulrushlug.WithTarget(route)), k)
			if bulrushlug.KindOf(err) != x.err || (err == nil) != (x.err == bulrushlug.KindInternal) || v.calls != x.calls {
				t.Errorf("%v after %d calls", err, v.calls)
			}
			if len(k.data) != x.size || k.heads != 1 {
				t.Errorf("the caller got %d bytes and %d heads", len(k.data), k.heads)
			}
			if m.Used() != 0 {
				t.Errorf("%d bytes are reserved in the end", m.Used())
			}
		})
	}
}

// TestCommentsWithoutEnd guards against comments that are held while their stream has no event, and against a server that is
// used at once again after them.
func TestCommentsWithoutEnd(t *testing.T) {
	for name, x := range map[string]struct {
		comments int
		err      bulrushlug.Kind
		avoided  bool
	}{
		"some": {comments: 10},
		"many": {comments: 2 * maxCommentBytes / 100, err: bulrushlug.KindBroken, avoided: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := table()
			v := &events{in: strings.Repeat(":"+strings.Repeat("x", 97)+"\n\n", x.comments) + "id: 1\ndata: a\n\n"}
			route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTraffic(bulrushlug.TrafficStream, false, false))
			k := &caller{}
			err := New(b, v, noRecorder{}, func([]string) {}, noDetector{}, memory.New(1<<30)).Run(t.Context(), bulrushlug.NewRequest("r", bulrushlug.WithTarget(route)), k)
			if bulrushlug.KindOf(err) != x.err || (err == nil) != (x.err == bulrushlug.KindInternal) {
				t.Errorf("%v", err)
			}
			if want := v.in; err == nil && k.data != want || err != nil && k.data != "" {
				t.Errorf("the caller got %d of %d bytes", len(k.data), len(want))
			}
			chosen := false
			for range 50 {
				l, _ := b.AcquireOnline("s", nil)
				chosen = chosen || l.Backend().ID() == v.server
				l.Release()
			}
			if chosen == x.avoided {
				t.Errorf("the server is chosen again: %v", chosen)
			}
		})
	}
}

// events is a fake client of the backend servers that answers with a stream.
type events struct {
	in     string
	server string // Identifier of the server that was called last.
}

func (v *events) Call(_ context.Context, b bulrushlug.Backend, _ *bulrushlug.Request) (bulrushlug.Reply, error) {
	v.server = b.ID()
	return &reply{status: 200, contentType: eventStream, in: strings.NewReader(v.in)}, nil
}
