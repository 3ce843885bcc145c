package codec

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// EncodeFile encodes f as the value of its entry in the key-value service.
func EncodeFile(f bulrushlug.File) ([]byte, error) {
	w := &wire.File{
		Id:           f.ID(),
		Organisation: f.Organisation(),
		Name:         f.Name(),
		Purpose:      f.Purpose(),
		CreatedAtMs:  unixMillis(f.Created()),
	}
	for _, p := range f.Chunks() {
		w.Parts = append(w.Parts, encodeChunkRef(p))
	}
	return proto.Marshal(w)
}

// DecodeFile decodes the value of the entry of a file.
func DecodeFile(b []byte) (bulrushlug.File, error) {
	var w wire.File
	if err := proto.Unmarshal(b, &w); err != nil {
		return bulrushlug.File{}, bulrushlug.WrapError(bulrushlug.KindInternal, "file record", err)
	}
	var l []bulrushlug.ChunkRef
	for _, p := range w.Parts {
		l = append(l, decodeChunkRef(p))
	}
	return bulrushlug.NewFile(w.Id, w.Organisation, w.Name, w.Purpose, timeFromMillis(w.CreatedAtMs), l), nil
}

// EncodeJob encodes j as the value of its entry in the key-value service.
func EncodeJob(j bulrushlug.Job) ([]byte, error) {
	w := &wire.Job{
		Id:           j.ID(),
		Organisation: j.Organisation(),
		Input:        j.Input(),
		Endpoint:     j.Endpoint(),
		Status:       string(j.Status()),
		CreatedAtMs:  unixMillis(j.Created()),
		DueAtMs:      unixMillis(j.Due()),
		FinishedAtMs: unixMillis(j.Finished()),
		Owner:        j.Owner(),
		Fence:        j.FencingToken(),
		Items:        j.Items(),
		Problem:      j.Problem(),
		Window:       j.Window(),
		Metadata:     j.Metadata(),
	}
	for _, r := range j.Results() {
		w.Results = append(w.Results, &wire.Result{
			Chunk:  r.Chunk(),
			Done:   r.Done(),
			Failed: r.Failed(),
			Output: encodeChunkRef(r.Output()),
			Errors: encodeChunkRef(r.Errors()),
		})
	}
	return proto.Marshal(w)
}

// DecodeJob decodes the value of the entry of a job.
func DecodeJob(b []byte) (bulrushlug.Job, error) {
	var w wire.Job
	if err := proto.Unmarshal(b, &w); err != nil {
		return bulrushlug.Job{}, bulrushlug.WrapError(bulrushlug.KindInternal, "job record", err)
	}
	var l []bulrushlug.Result
	for _, r := range w.Results {
		l = append(l, bulrushlug.NewResult(r.Chunk, r.Done, r.Failed, decodeChunkRef(r.Output), decodeChunkRef(r.Errors)))
	}
	return bulrushlug.NewJob(w.Id, w.Organisation, w.Input, w.Endpoint,
		bulrushlug.JobTimes(timeFromMillis(w.CreatedAtMs), timeFromMillis(w.DueAtMs), timeFromMillis(w.FinishedAtMs)),
		bulrushlug.JobOwner(w.Owner, w.Fence),
		bulrushlug.JobStatus(bulrushlug.Status(w.Status), w.Problem),
		bulrushlug.JobItems(w.Items, l),
		bulrushlug.JobMetadata(w.Window, w.Metadata)), nil
}

// encodeChunkRef returns nil for the zero value, which has no VMs.
func encodeChunkRef(p bulrushlug.ChunkRef) *wire.Part {
	if len(p.VMs()) == 0 {
		return nil
	}
	return &wire.Part{
		Vms:      p.VMs(),
		File:     p.File(),
		Index:    p.Index(),
		Items:    p.Items(),
		Bytes:    p.Bytes(),
		Checksum: p.Checksum(),
	}
}

func decodeChunkRef(w *wire.Part) bulrushlug.ChunkRef {
	if w == nil {
		return bulrushlug.ChunkRef{}
	}
	return bulrushlug.NewChunkRef(w.File, w.Index, w.Vms, w.Items, w.Bytes, w.Checksum)
}

// unixMillis returns t in Unix milliseconds; zero stands for the zero time.
func unixMillis(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(t.UnixMilli())
}

// timeFromMillis reverses unixMillis.
func timeFromMillis(n uint64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(n))
}
