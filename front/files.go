package front

import (
	"io"
	"mime"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/upload"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	outputPrefix    = "file-out-" // Prefix of the identifiers of files with the results of a job.
	errorsPrefix    = "file-err-" // Prefix of the identifiers of files with the errors of a job.
	maxFileBytes    = 8 << 30     // Largest upload.
	maxPurposeBytes = 64          // Largest purpose field.
)

// addFile stores an upload while it arrives; it responds once all chunks are synced and the file is recorded.
func (s *Server) addFile(w http.ResponseWriter, r *http.Request, o string) error {
	if t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || t != "multipart/form-data" {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "the body is not multipart/form-data")
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxFileBytes)
	m, err := r.MultipartReader()
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, "body", err)
	}
	purpose := upload.PurposeBatch
	for {
		p, err := m.NextPart()
		if err == io.EOF {
			return bulrushlug.Errorf(bulrushlug.KindBadRequest, "the form has no file field")
		}
		if err != nil {
			return bulrushlug.WrapError(bulrushlug.KindBadRequest, "body", err)
		}
		switch p.FormName() {
		case "purpose":
			b, err := io.ReadAll(io.LimitReader(p, maxPurposeBytes))
			if err != nil {
				return bulrushlug.WrapError(bulrushlug.KindBadRequest, "purpose", err)
			}
			purpose = string(b)
		case "file":
			if !utf8.ValidString(p.FileName()) || !utf8.ValidString(purpose) {
				return bulrushlug.Errorf(bulrushlug.KindBadRequest, "file name %q or purpose %q is not UTF-8", p.FileName(), purpose)
			}
			f, err := s.upload.Save(r.Context(), o, p.FileName(), purpose, p)
			if err != nil {
				return err
			}
			if err := s.jobs.AddFile(r.Context(), f); err != nil {
				return err
			}
			return reply(w, apiFile(f))
		}
	}
}

func apiFile(f bulrushlug.File) *wire.ApiFile {
	return &wire.ApiFile{
		Id:        f.ID(),
		Object:    "file",
		Bytes:     float64(f.Bytes()),
		CreatedAt: seconds(f.Created()),
		Filename:  f.Name(),
		Purpose:   f.Purpose(),
		Status:    "processed",
	}
}

func seconds(t time.Time) uint32 { return uint32(t.Unix()) }

func (s *Server) listFiles(w http.ResponseWriter, r *http.Request, o string) error {
	l, err := s.jobs.Files(r.Context(), o)
	if err != nil {
		return err
	}
	a := &wire.ApiFiles{Object: "list"}
	for _, f := range l {
		a.Data = append(a.Data, apiFile(f))
	}
	return reply(w, a)
}

// file returns the record of file i; result files have no record of their own and are derived from their job.
func (s *Server) file(r *http.Request, o, i string) (bulrushlug.File, error) {
	outputJob, isOutput := strings.CutPrefix(i, outputPrefix)
	errorsJob, isErrors := strings.CutPrefix(i, errorsPrefix)
	if !isOutput && !isErrors {
		return s.jobs.File(r.Context(), o, i)
	}
	id := outputJob
	if isErrors {
		id = errorsJob
	}
	j, err := s.jobs.Job(r.Context(), o, id)
	if err != nil {
		return bulrushlug.File{}, err
	}
	var l []bulrushlug.ChunkRef
	for _, x := range j.Results() {
		p := x.Output()
		if isErrors {
			p = x.Errors()
		}
		if len(p.VMs()) > 0 {
			l = append(l, p)
		}
	}
	return bulrushlug.NewFile(i, o, i+".jsonl", "batch_output", j.Created(), l), nil
}

func (s *Server) getFile(w http.ResponseWriter, r *http.Request, o string) error {
	f, err := s.file(r, o, r.PathValue("id"))
	if err != nil {
		return err
	}
	return reply(w, apiFile(f))
}

func (s *Server) deleteFile(w http.ResponseWriter, r *http.Request, o string) error {
	i := r.PathValue("id")
	f, err := s.jobs.File(r.Context(), o, i)
	if err != nil {
		return err
	}
	l, err := s.jobs.Jobs(r.Context(), o)
	if err != nil {
		return err
	}
	for _, j := range l {
		if j.Input() == i && !j.Status().Final() {
			return bulrushlug.Errorf(bulrushlug.KindConflict, "batch %s still uses file %s", j.ID(), i)
		}
	}
	if err := s.jobs.DeleteFile(r.Context(), o, i); err != nil {
		return err
	}
	for _, p := range f.Chunks() {
		s.replicator.Drop(r.Context(), p)
	}
	return reply(w, &wire.ApiDeleted{Id: i, Object: "file", Deleted: true})
}

// content writes the chunks of a file in order; if one can't be read after the first, it aborts the connection so that
// the caller does not take the response for complete.
func (s *Server) content(w http.ResponseWriter, r *http.Request, o string) error {
	f, err := s.file(r, o, r.PathValue("id"))
	if err != nil {
		return err
	}
	started := false
	for _, p := range f.Chunks() {
		b, err := s.replicator.Get(r.Context(), p)
		if err != nil && started {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			return err
		}
		if !started {
			w.Header().Set("Content-Type", "application/octet-stream")
			started = true
		}
		if _, err := w.Write(b); err != nil {
			return bulrushlug.WrapError(bulrushlug.KindCancelled, "caller", err)
		}
	}
	return nil
}
