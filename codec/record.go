package codec

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// EncodeFile returns the record of f.
func EncodeFile(f bulrushlug.File) ([]byte, error) {
	w := &wire.File{
		Id:           f.ID(),
		Organisation: f.Organisation(),
		Name:         f.Name(),
		Purpose:      f.Purpose(),
		CreatedAtMs:  milliseconds(f.Created()),
	}
	for _, p := range f.Chunks() {
		w.Parts = append(w.Parts, encodePart(p))
	}
	return proto.Marshal(w)
}

// DecodeFile returns the file in the record b.
func DecodeFile(b []byte) (bulrushlug.File, error) {
	var w wire.File
	if err := proto.Unmarshal(b, &w); err != nil {
		return bulrushlug.File{}, bulrushlug.WrapError(bulrushlug.KindInternal, "file record", err)
	}
	var l []bulrushlug.ChunkRef
	for _, p := range w.Parts {
		l = append(l, decodePart(p))
	}
	return bulrushlug.NewFile(w.Id, w.Organisation, w.Name, w.Purpose, timeOf(w.CreatedAtMs), l), nil
}

// EncodeJob returns the record of j.
func EncodeJob(j bulrushlug.Job) ([]byte, error) {
	w := &wire.Job{
		Id:           j.ID(),
		Organisation: j.Organisation(),
		Input:        j.Input(),
		Endpoint:     j.Endpoint(),
		Status:       string(j.Status()),
		CreatedAtMs:  milliseconds(j.Created()),
		DueAtMs:      milliseconds(j.Due()),
		FinishedAtMs: milliseconds(j.Finished()),
		Owner:        j.Owner(),
		Fence:        j.Fence(),
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
			Output: encodePart(r.Output()),
			Errors: encodePart(r.Errors()),
		})
	}
	return proto.Marshal(w)
}

// DecodeJob returns the job in the record b.
func DecodeJob(b []byte) (bulrushlug.Job, error) {
	var w wire.Job
	if err := proto.Unmarshal(b, &w); err != nil {
		return bulrushlug.Job{}, bulrushlug.WrapError(bulrushlug.KindInternal, "job record", err)
	}
	var l []bulrushlug.Result
	for _, r := range w.Results {
		l = append(l, bulrushlug.NewResult(r.Chunk, r.Done, r.Failed, decodePart(r.Output), decodePart(r.Errors)))
	}
	return bulrushlug.NewJob(w.Id, w.Organisation, w.Input, w.Endpoint,
		bulrushlug.JobTimes(timeOf(w.CreatedAtMs), timeOf(w.DueAtMs), timeOf(w.FinishedAtMs)),
		bulrushlug.JobOwner(w.Owner, w.Fence),
		bulrushlug.JobStatus(bulrushlug.Status(w.Status), w.Problem),
		bulrushlug.JobItems(w.Items, l),
		bulrushlug.JobMetadata(w.Window, w.Metadata)), nil
}

func encodePart(p bulrushlug.ChunkRef) *wire.Part {
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

func decodePart(w *wire.Part) bulrushlug.ChunkRef {
	if w == nil {
		return bulrushlug.ChunkRef{}
	}
	return bulrushlug.NewChunkRef(w.File, w.Index, w.Vms, w.Items, w.Bytes, w.Checksum)
}

func milliseconds(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(t.UnixMilli())
}

func timeOf(n uint64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(n))
}
