// Package admin is the HTTP front end for operators.
package admin

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/cfglog"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/fleet"
	"bulrushlug.dev/bulrushlug/jobs"
	"bulrushlug.dev/bulrushlug/rpccli"
	"bulrushlug.dev/bulrushlug/wire"
)

// maxCommandBytes is the largest command in bytes.
const maxCommandBytes = 1 << 20

// Server serves the commands of operators, who authenticate with a shared credential.
type Server struct {
	hash   string // Hash of the operators' credential.
	source bulrushlug.ConfigSource
	log    *cfglog.Log
	roster bulrushlug.Roster
	client *rpccli.Client
	jobs   *jobs.Store
	fleet  *fleet.Fleet
	mux    *http.ServeMux
}

// New returns a server that accepts the credential with hash h.
func New(h string, f bulrushlug.ConfigSource, l *cfglog.Log, r bulrushlug.Roster, k *rpccli.Client, j *jobs.Store, t *fleet.Fleet) *Server {
	s := &Server{hash: h, source: f, log: l, roster: r, client: k, jobs: j, fleet: t, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /admin/v1/organisation", handle(s, s.organisation))
	s.mux.HandleFunc("POST /admin/v1/key", handle(s, s.key))
	s.mux.HandleFunc("POST /admin/v1/entity", handle(s, s.entity))
	s.mux.HandleFunc("POST /admin/v1/config", handle(s, s.config))
	s.mux.HandleFunc("POST /admin/v1/positions", handle(s, s.positions))
	s.mux.HandleFunc("POST /admin/v1/events", handle(s, s.events))
	s.mux.HandleFunc("POST /admin/v1/servers", handle(s, s.servers))
	s.mux.HandleFunc("POST /admin/v1/jobs", handle(s, s.listJobs))
	return s
}

// ServeHTTP serves one command.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// handle returns a handler that checks the credential, decodes a command for f and encodes its result.
func handle[Q any, P codec.Message[Q], A proto.Message](s *Server, f func(c context.Context, q P) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.authorised(r) {
			fail(w, bulrushlug.Errorf(bulrushlug.KindUnauthenticated, "the operators' credential is missing or wrong"))
			return
		}
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCommandBytes))
		if err != nil {
			fail(w, bulrushlug.WrapError(bulrushlug.KindTooLarge, "command", err))
			return
		}
		q, err := codec.ParseJSON[Q, P](b)
		if err != nil {
			fail(w, bulrushlug.WrapError(bulrushlug.KindBadRequest, "command", err))
			return
		}
		a, err := f(r.Context(), q)
		if err != nil {
			fail(w, err)
			return
		}
		b, err = codec.JSON(a)
		if err != nil {
			fail(w, bulrushlug.WrapError(bulrushlug.KindInternal, "answer", err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(b)
	}
}

func (s *Server) authorised(r *http.Request) bool {
	k, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	h := bulrushlug.HashKey(k)
	return k != "" && subtle.ConstantTimeCompare([]byte(h), []byte(s.hash)) == 1
}

func fail(w http.ResponseWriter, err error) {
	p := codec.EncodeError(err)
	b, e := codec.JSON(p)
	if e != nil {
		http.Error(w, e.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(bulrushlug.KindOf(err).Response().Status())
	_, _ = w.Write(b)
}

// config returns all entities, without the hashes of keys.
func (s *Server) config(context.Context, *wire.Empty) (*wire.ConfigView, error) {
	f := s.source.Config()
	v := &wire.ConfigView{Revision: f.Revision()}
	for _, x := range f.Entities() {
		w := codec.EncodeChange(x)
		for _, k := range w.GetOrganisation().GetKeys() {
			k.Hash = ""
		}
		v.Entities = append(v.Entities, w)
	}
	return v, nil
}

// positions returns the position of every process on the VM list; one that does not respond has no revision.
func (s *Server) positions(c context.Context, _ *wire.Empty) (*wire.Positions, error) {
	l := forEachProcess(s, func(m bulrushlug.Member) *wire.Position {
		p, err := s.client.Position(c, m.Address())
		if err != nil {
			return &wire.Position{Vm: m.Name(), Role: m.Role(), Leaving: m.Leaving()}
		}
		return p
	})
	return &wire.Positions{Positions: l}, nil
}

// events merges the events of all processes in the order of their hybrid logical clock stamps.
func (s *Server) events(c context.Context, q *wire.EventsRequest) (*wire.Events, error) {
	l := forEachProcess(s, func(m bulrushlug.Member) []bulrushlug.Event {
		e, err := s.client.History(c, m.Address(), q)
		if err != nil {
			return []bulrushlug.Event{bulrushlug.NewEvent("noEvents", bulrushlug.WithDetail(err.Error())).WithOrigin(m.Name(), 0)}
		}
		return e
	})
	a := &wire.Events{}
	for _, e := range slices.Concat(l...) {
		a.Events = append(a.Events, codec.EncodeEvent(e))
	}
	slices.SortStableFunc(a.Events, func(x, y *wire.Event) int {
		switch {
		case x.Stamp < y.Stamp:
			return -1
		case x.Stamp > y.Stamp:
			return 1
		}
		return 0
	})
	if n := int(q.Limit); n > 0 && len(a.Events) > n {
		a.Events = a.Events[len(a.Events)-n:]
	}
	return a, nil
}

// maxParallel is the largest number of processes queried at once.
const maxParallel = 32

// forEachProcess calls f in parallel for every process on the VM list, and returns the results in the order of the list.
func forEachProcess[T any](s *Server, f func(m bulrushlug.Member) T) []T {
	l := s.roster.Members()
	o := make([]T, len(l))
	slots := make(chan struct{}, maxParallel)
	var g sync.WaitGroup
	for i, m := range l {
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			o[i] = f(m)
		})
	}
	g.Wait()
	return o
}

// servers returns what this entry knows of the backend servers.
func (s *Server) servers(context.Context, *wire.Empty) (*wire.ServerViews, error) {
	a := &wire.ServerViews{}
	for _, v := range s.fleet.All() {
		a.Servers = append(a.Servers, &wire.ServerView{
			Report:  codec.EncodeLoad(v.LoadReport()),
			Live:    v.Live(),
			Avoided: v.RecentlyFailed(),
			Busy:    v.LoadPerSlot(),
		})
	}
	slices.SortFunc(a.Servers, func(x, y *wire.ServerView) int { return strings.Compare(x.Report.Vm, y.Report.Vm) })
	return a, nil
}

// listJobs returns the jobs of the organisation in q, or of all if it is empty.
func (s *Server) listJobs(c context.Context, q *wire.KeyCommand) (*wire.JobViews, error) {
	l, err := s.jobs.Jobs(c, q.Organisation)
	if err != nil {
		return nil, err
	}
	a := &wire.JobViews{}
	for _, j := range l {
		d, f := j.Counts()
		a.Jobs = append(a.Jobs, &wire.JobView{
			Id:           j.ID(),
			Organisation: j.Organisation(),
			Status:       string(j.Status()),
			Owner:        j.Owner(),
			Items:        j.Items(),
			Done:         d,
			Failed:       f,
			Due:          j.Due().UTC().Format("2006-01-02T15:04:05Z"),
			Problem:      j.Problem(),
		})
	}
	return a, nil
}
