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
	model     = "visitor-guide"
	question  = `{"model":"visitor-guide","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"When does the clock tower open?"}]}`
	batchSize = 20
)

// operate runs one command of the operators and returns what it writes.
func (d *Demo) operate(c context.Context, a ...string) (string, error) {
	var b bytes.Buffer
	m := cmds.New()
	m.Writer = &b
	x, stop := context.WithCancel(context.Background()) // The command line finds its parent in the context.
	defer stop()
	defer context.AfterFunc(c, stop)()
	err := m.Run(x, append([]string{"bulrushlug", "--entry", d.entries[0], "--credential", credential}, a...))
	return b.String(), err
}

func (d *Demo) say(f string, a ...any) { _, _ = fmt.Fprintf(d.out, f+"\n", a...) }

func (d *Demo) show(c context.Context) error {
	k, err := d.setUp(c)
	if err != nil {
		return err
	}
	d.say("\n== One question, streamed through %s", d.entries[0])
	r, err := d.ask(c, k)
	if err != nil {
		return err
	}
	d.say("\n== One batch job of %d items, sent to %s", batchSize, d.entries[1])
	j, err := d.batch(c, k)
	if err != nil {
		return err
	}
	for _, a := range [][]string{{"timeline", "--request", r}, {"timeline", "--job", j, "--limit", "12"}} {
		d.say("\n== bulrushlug %s", strings.Join(a, " "))
		o, err := d.operate(c, a...)
		if err != nil {
			return err
		}
		d.say("%s", o)
	}
	return nil
}

// setUp creates an organisation with a key and places the model, and returns the key.
func (d *Demo) setUp(c context.Context) (string, error) {
	d.say("== Operators set up an organisation and a model")
	var key string
	for _, a := range [][]string{
		{"org", "create", "--rate", "50", "--burst", "50", "zvonik"},
		{"model", "put", "--version", "1", model},
		{"key", "give", "--org", "zvonik", "kiosk"},
	} {
		o, err := d.retry(c, func() (string, error) { return d.operate(c, a...) })
		if err != nil {
			return "", err
		}
		if k, ok := strings.CutPrefix(o, "key "); ok {
			key, _, _ = strings.Cut(k, "\n")
			o = "key shown once\n"
		}
		d.say("bulrushlug %s: %s", strings.Join(a, " "), strings.TrimSpace(o))
	}
	return key, nil
}

// retry calls f until it succeeds, while the fleet starts.
func (d *Demo) retry(c context.Context, f func() (string, error)) (string, error) {
	t := time.Now()
	for {
		o, err := f()
		if err == nil || time.Since(t) > readyTime {
			return o, err
		}
		if err := bulrushlug.Sleep(c, readyPause); err != nil {
			return "", err
		}
	}
}

// send sends a request with key k; the caller closes the answer's body.
func send(c context.Context, method, u, k, contentType string, b []byte) (*http.Response, error) {
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

// ask streams the answer to one question and returns the request's identifier.
func (d *Demo) ask(c context.Context, k string) (string, error) {
	var id string
	o, err := d.retry(c, func() (string, error) {
		r, err := send(c, http.MethodPost, d.entries[0]+"/v1/chat/completions", k, "application/json", []byte(question))
		if err != nil {
			return "", err
		}
		defer func() { _ = r.Body.Close() }()
		id = r.Header.Get("X-Request-Id")
		return words(r.Body)
	})
	d.say("%s", o)
	return id, err
}

// words joins the text of server-sent events.
func words(r io.Reader) (string, error) {
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

// batch uploads items, runs them as a job and reads the results; it returns the job's identifier.
func (d *Demo) batch(c context.Context, k string) (string, error) {
	f, err := d.upload(c, k)
	if err != nil {
		return "", err
	}
	u := d.entries[1] + "/v1/batches"
	b := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, f)
	j, err := read(send(c, http.MethodPost, u, k, "application/json", []byte(b)))
	if err != nil {
		return "", err
	}
	id := gjson.Get(j, "id").String()
	for gjson.Get(j, "status").String() != "completed" {
		if err := bulrushlug.Sleep(c, readyPause); err != nil {
			return "", err
		}
		if j, err = read(send(c, http.MethodGet, u+"/"+id, k, "", nil)); err != nil {
			return "", err
		}
	}
	d.say("%s: %s", id, gjson.Get(j, "request_counts").Raw)
	o, err := read(send(c, http.MethodGet, d.entries[0]+"/v1/files/"+gjson.Get(j, "output_file_id").String()+"/content", k, "", nil))
	if err != nil {
		return "", err
	}
	l := strings.Split(strings.TrimSpace(o), "\n")
	d.say("%d results; the first one: %s: %s", len(l), gjson.Get(l[0], "custom_id"),
		gjson.Get(l[0], "response.body.choices.0.message.content"))
	return id, nil
}

// upload sends the items as a file and returns its identifier.
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
	o, err := read(send(c, http.MethodPost, d.entries[1]+"/v1/files", k, m.FormDataContentType(), b.Bytes()))
	return gjson.Get(o, "id").String(), err
}

// read returns the whole body of an answer.
func read(r *http.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return string(b), err
}
