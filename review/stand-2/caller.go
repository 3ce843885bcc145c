//go:build review

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}, Timeout: 10 * time.Second}

// answer is what a caller got.
type answer struct {
	status int
	body   []byte
	err    error // The channel broke.
	stamp  string
}

// call makes one call of a caller on a new channel.
func call(front, method, path, id, key string, headers map[string]string, body []byte) answer {
	r, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader(body))
	check(err)
	r.Host = "h.example"
	if key != "" {
		r.Header.Set("X-Api-Key", key)
	}
	if id != "" {
		r.Header.Set("X-Attempt-Id", id)
	}
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	w, err := callers.Do(r)
	if err != nil {
		note("caller: %s %s %s: %v", method, path, id, err)
		return answer{err: err}
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	note("caller: %s %s %s: %d, %d bytes, %v", method, path, id, w.StatusCode, len(b), err)
	return answer{w.StatusCode, b, err, w.Header.Get("X-Server-Stamp")}
}

// lot is a lot of n items.
func lot(id string, n int) []byte {
	type it struct {
		ID         string            `json:"id"`
		Path       string            `json:"path"`
		Headers    map[string]string `json:"headers"`
		Body       string            `json:"body"`
		TokenCount int               `json:"tokenCount"`
	}
	var l []it
	for i := range n {
		x := itemID(id, i)
		l = append(l, it{x, "/in/3/" + x, map[string]string{"X-Model": "m", "X-Token-Usage": "350,400", "X-Prompt-Prefix": "9c2e41:100," + fmt.Sprintf("%x", x) + ":250"}, base64.StdEncoding.EncodeToString([]byte("prompt of " + x)), 750})
	}
	b, err := json.Marshal(map[string]any{"items": l})
	check(err)
	return b
}

func itemID(lot string, i int) string { return fmt.Sprintf("%s-i%d", lot, i) }

// submit submits a lot as often as it takes, at the entries in turn, and returns when the 202 came.
func (f *fleet) submit(id string, n int) time.Time {
	for t, i := time.Now(), 0; time.Since(t) < 15*time.Second; i++ {
		a := call(f.front[i%len(f.front)], "POST", "/in/x", id, "key-one", map[string]string{"X-Deadline-Ms": "4000", "Content-Type": "application/json"}, lot(id, n))
		if a.status == 202 {
			return time.Now()
		}
		time.Sleep(300 * time.Millisecond)
	}
	panic(errNotRun{"lot " + id + " was not accepted"})
}

// quietRead reads a lot from its start without a line in record.txt.
func (f *fleet) quietRead(id string) (p page, status int) {
	r, err := http.NewRequest("GET", "http://"+f.front[0]+"/lots/"+id+"?after=0", nil)
	check(err)
	r.Host = "h.example"
	r.Header.Set("X-Api-Key", "key-one")
	w, err := callers.Do(r)
	if err != nil {
		return p, 0
	}
	defer w.Body.Close()
	if w.StatusCode == 200 {
		_ = json.NewDecoder(w.Body).Decode(&p)
	}
	return p, w.StatusCode
}

// page is a page of results.
type page struct {
	Total   int
	Next    int
	Results []struct{ ID, State, OutputText string }
}

// read reads a lot from position n.
func (f *fleet) read(i int, id string, n int, wait int) (page, int) {
	h := map[string]string{}
	if wait > 0 {
		h["X-Wait-Ms"] = fmt.Sprint(wait)
	}
	a := call(f.front[i%len(f.front)], "GET", fmt.Sprintf("/lots/%s?after=%d", id, n), "", "key-one", h, nil)
	var p page
	if a.status == 200 {
		check(json.Unmarshal(a.body, &p))
	}
	return p, a.status
}
