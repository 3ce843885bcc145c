package slots

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// stateColumns names the columns of WriteState.
const stateColumns = "SERVER\tSERVICE\tZONE\tSLOTS\tONLINE\tBATCH\tGETS NOTHING"

// WriteState writes a line of tab-separated columns for each server, sorted: its slots, the requests and items of all
// processes there, and why this process sends it nothing, if so.
func (t *Table) WriteState(w io.Writer) error {
	var l []string
	for i := range t.shards {
		l = append(l, t.shards[i].states(time.Now())...)
	}
	slices.Sort(l)
	_, err := io.WriteString(w, stateColumns+"\n"+strings.Join(l, ""))
	return err
}

func (s *shard) states(now time.Time) (l []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		online, batch := s.totalLoad(e, now)
		l = append(l, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%s\n", id, e.backend.Service(), e.backend.Zone(), e.backend.Slots(), online, batch, cmp.Or(s.exclusion(e, now), "-")))
	}
	return l
}
