package demo

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/cmds"
)

const (
	model       = "visitor-guide"
	chatRequest = `{"model":"visitor-guide","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"When does the clock tower open?"}]}`
	batchSize   = 20
)

// runCommand runs one operator command and returns its output.
func (d *Demo) runCommand(c context.Context, a ...string) (string, error) {
	var b bytes.Buffer
	m := cmds.New()
	m.Writer = &b
	x, stop := context.WithCancel(context.Background()) // Not derived from c, in which the cli package would find its parent command.
	defer stop()
	defer context.AfterFunc(c, stop)()
	err := m.Run(x, append([]string{"bulrushlug", "--entry", d.entries[0], "--credential", credential}, a...))
	return b.String(), err
}

// logf prints one line.
func (d *Demo) logf(f string, a ...any) { _, _ = fmt.Fprintf(d.out, f+"\n", a...) }

// runScenario sends the requests of the demonstration and prints their events.
func (d *Demo) runScenario(c context.Context) error {
	k, err := d.configure(c)
	if err != nil {
		return err
	}
	d.logf("\n== One chat request, streamed through %s", d.entries[0])
	r, err := d.askQuestion(c, k)
	if err != nil {
		return err
	}
	d.logf("\n== One batch job of %d items, sent to %s", batchSize, d.entries[1])
	j, err := d.runBatch(c, k)
	if err != nil {
		return err
	}
	for _, a := range [][]string{{"timeline", "--request", r}, {"timeline", "--job", j, "--limit", "12"}} {
		d.logf("\n== bulrushlug %s", strings.Join(a, " "))
		o, err := d.runCommand(c, a...)
		if err != nil {
			return err
		}
		d.logf("%s", o)
	}
	return nil
}

// configure creates an organisation and a model, and returns the API key of the organisation.
func (d *Demo) configure(c context.Context) (string, error) {
	d.logf("== Operator commands create an organisation and a model")
	var key string
	for _, a := range [][]string{
		{"org", "create", "--rate", "50", "--burst", "50", "zvonik"},
		{"model", "put", "--version", "1", model},
		{"key", "give", "--org", "zvonik", "kiosk"},
	} {
		o, err := d.retryUntilReady(c, func() (string, error) { return d.runCommand(c, a...) })
		if err != nil {
			return "", err
		}
		if k, ok := strings.CutPrefix(o, "key "); ok {
			key, _, _ = strings.Cut(k, "\n")
			o = "key created (not shown here)\n"
		}
		d.logf("bulrushlug %s: %s", strings.Join(a, " "), strings.TrimSpace(o))
	}
	return key, nil
}

// retryUntilReady calls f until it succeeds, for up to readyTimeout, since the fleet may still be starting.
func (d *Demo) retryUntilReady(c context.Context, f func() (string, error)) (string, error) {
	t := time.Now()
	for {
		o, err := f()
		if err == nil || time.Since(t) > readyTimeout {
			return o, err
		}
		if err := bulrushlug.Sleep(c, pollInterval); err != nil {
			return "", err
		}
	}
}

// sendRequest sends a request with API key k; it fails unless the status is 200. The caller closes the body of the response.
func sendRequest(c context.Context, method, u, k, contentType string, b []byte) (*http.Response, error) {
	q, err := http.NewRequestWithContext(c, method, u, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+k)
	q.Header.Set("Content-Type", contentType)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	if r.StatusCode != http.StatusOK {
		defer func() { _ = r.Body.Close() }()
		x, _ := io.ReadAll(r.Body)
		return nil, fmt.Errorf("%s %s: status %d: %s", method, u, r.StatusCode, x)
	}
	return r, nil
}

// askQuestion sends a streaming chat request, prints the completion and returns the request identifier.
func (d *Demo) askQuestion(c context.Context, k string) (string, error) {
	var id string
	o, err := d.retryUntilReady(c, func() (string, error) {
		r, err := sendRequest(c, http.MethodPost, d.entries[0]+"/v1/chat/completions", k, "application/json", []byte(chatRequest))
		if err != nil {
			return "", err
		}
		defer func() { _ = r.Body.Close() }()
		id = r.Header.Get("X-Request-Id")
		return eventText(r.Body)
	})
	d.logf("%s", o)
	return id, err
}

// eventText returns the concatenated content of a stream of chat completion chunks.
func eventText(r io.Reader) (string, error) {
	var t strings.Builder
	s := bufio.NewScanner(r)
	for s.Scan() {
		x, ok := strings.CutPrefix(s.Text(), "data: ")
		if ok && x != "[DONE]" {
			t.WriteString(gjson.Get(x, "choices.0.delta.content").String())
		}
	}
	return t.String(), s.Err()
}

// runBatch uploads a file of items, runs it as a batch job, prints the first result and returns the job identifier.
func (d *Demo) runBatch(c context.Context, k string) (string, error) {
	f, err := d.upload(c, k)
	if err != nil {
		return "", err
	}
	u := d.entries[1] + "/v1/batches"
	b := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, f)
	j, err := readBody(sendRequest(c, http.MethodPost, u, k, "application/json", []byte(b)))
	if err != nil {
		return "", err
	}
	id := gjson.Get(j, "id").String()
	for gjson.Get(j, "status").String() != "completed" {
		if err := bulrushlug.Sleep(c, pollInterval); err != nil {
			return "", err
		}
		if j, err = readBody(sendRequest(c, http.MethodGet, u+"/"+id, k, "", nil)); err != nil {
			return "", err
		}
	}
	d.logf("%s: %s", id, gjson.Get(j, "request_counts").Raw)
	o, err := readBody(sendRequest(c, http.MethodGet, d.entries[0]+"/v1/files/"+gjson.Get(j, "output_file_id").String()+"/content", k, "", nil))
	if err != nil {
		return "", err
	}
	l := strings.Split(strings.TrimSpace(o), "\n")
	d.logf("%d results; first result: %s: %s", len(l), gjson.Get(l[0], "custom_id"),
		gjson.Get(l[0], "response.body.choices.0.message.content"))
	return id, nil
}

// upload uploads the items of the batch job as a file and returns its identifier.
func (d *Demo) upload(c context.Context, k string) (string, error) {
	var b bytes.Buffer
	m := multipart.NewWriter(&b)
	if err := m.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	w, err := m.CreateFormFile("file", "scripts.jsonl")
	if err != nil {
		return "", err
	}
	for i := range batchSize {
		_, _ = fmt.Fprintf(w, `{"custom_id":"script-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":6,"messages":[{"role":"user","content":"Tour script %d"}]}}`+"\n", i, model, i)
	}
	if err := m.Close(); err != nil {
		return "", err
	}
	o, err := readBody(sendRequest(c, http.MethodPost, d.entries[1]+"/v1/files", k, m.FormDataContentType(), b.Bytes()))
	return gjson.Get(o, "id").String(), err
}

// readBody reads and closes the body of r, or returns err.
func readBody(r *http.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return string(b), err
}
