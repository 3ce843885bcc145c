//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a caller has of one attempt.
type answer struct {
	status int
	stamp  string
	events []string // Data of the events 1, 2 and so on; events out of order are in odd.
	odd    []string
	whole  bool // The answer ended as a complete one.
	err    error
}

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, Timeout: 12 * time.Second}

// ask sends one request for n events to the entry at address, with the identifier id.
func ask(address, prefix, id string, n int, deadline time.Duration) (a answer) {
	r, err := http.NewRequest("POST", "http://"+address+prefix+"x", strings.NewReader(strings.Repeat("q", 1500)))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	for k, v := range map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": strconv.Itoa(int(deadline.Milliseconds())), "X-Api-Key": apiKey, "X-Model": "m",
		"X-Token-Usage": fmt.Sprintf("450,%d", n), "X-Prompt-Prefix": "5c1e07a2:200," + id + ":250"} {
		r.Header.Set(k, v)
	}
	w, err := callers.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer w.Body.Close()
	a.status, a.stamp = w.StatusCode, w.Header.Get("X-Server-Stamp")
	in := bufio.NewReader(w.Body)
	last := 0
	for {
		l, err := in.ReadString('\n')
		if x, ok := strings.CutPrefix(l, "id: "); ok {
			last, _ = strconv.Atoi(strings.TrimSpace(x))
		}
		if x, ok := strings.CutPrefix(l, "data: "); ok {
			if last == len(a.events)+1 {
				a.events = append(a.events, strings.TrimSpace(x))
			} else {
				a.odd = append(a.odd, strings.TrimSpace(x))
			}
		}
		if err != nil {
			a.whole = err == io.EOF
			if !a.whole {
				a.err = err
			}
			return a
		}
	}
}

// lotItem is an item of a lot.
type lotItem struct {
	ID         string            `json:"id"`
	Path       string            `json:"path"`
	Headers    map[string]string `json:"headers"`
	Body       []byte            `json:"body"`
	TokenCount int               `json:"tokenCount"`
}

// result is a result of a lot.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"outputText"`
}

// call makes one call about a lot to the entry at address, on a new channel.
func call(address, method, path, id string, b []byte, deadline time.Duration) (int, []byte, error) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return 0, nil, err
	}
	r.Host, r.Close = host, true
	r.Header.Set("X-Api-Key", apiKey)
	r.Header.Set("X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	if id != "" {
		r.Header.Set("X-Attempt-Id", id)
	}
	k := &http.Client{Timeout: deadline}
	w, err := k.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer w.Body.Close()
	x, err := io.ReadAll(w.Body)
	return w.StatusCode, x, err
}

// submit submits a lot of n items with the given number of events each, and returns the status.
func submit(address, lot string, n, events int) (int, error) {
	var l []lotItem
	for i := range n {
		id := fmt.Sprintf("%s%02d", lot, i)
		l = append(l, lotItem{ID: id, Path: lotPrefix + "run", TokenCount: 350 + events, Body: bytes.Repeat([]byte("b"), 2000),
			Headers: map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("350,%d", events), "X-Prompt-Prefix": "9c2e41:100," + id + ":250"}})
	}
	b, _ := json.Marshal(map[string]any{"items": l})
	status, _, err := call(address, "POST", lotPrefix+lot, lot, b, 4*time.Second)
	return status, err
}

// results reads the results of a lot from position n on.
func results(address, lot string, n int) (status int, l []result, err error) {
	status, b, err := call(address, "GET", fmt.Sprintf("/lots/%s?after=%d", lot, n), "", nil, 2500*time.Millisecond)
	if err != nil || status != 200 {
		return status, nil, err
	}
	var p struct {
		Results []result `json:"results"`
	}
	err = json.Unmarshal(b, &p)
	return status, p.Results, err
}

// wholeText is the whole output of an item with n events.
func wholeText(id string, n int) string {
	var l []string
	for i := range n {
		l = append(l, eventText(id, i+1))
	}
	return strings.Join(l, "\n")
}
