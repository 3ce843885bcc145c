package front

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/authn"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

// reply writes m as JSON with the field names of the OpenAI API.
func reply(w http.ResponseWriter, m proto.Message) error {
	b, err := codec.SnakeJSON(m)
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, "answer", err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(b)
	return err
}

func apiModel(n string) *wire.ApiModel {
	return &wire.ApiModel{Id: n, Object: "model", OwnedBy: "bulrushlug"}
}

func (s *Server) listModels(w http.ResponseWriter, _ *http.Request, o string) error {
	f := s.source.Config()
	l := &wire.ApiModels{Object: "list"}
	for _, m := range f.Models() {
		if authn.CheckModelAccess(f, o, m.Name()) == nil {
			l.Data = append(l.Data, apiModel(m.Name()))
		}
	}
	return reply(w, l)
}

func (s *Server) getModel(w http.ResponseWriter, r *http.Request, o string) error {
	n := r.PathValue("id")
	if err := authn.CheckModelAccess(s.source.Config(), o, n); err != nil {
		return err
	}
	return reply(w, apiModel(n))
}
