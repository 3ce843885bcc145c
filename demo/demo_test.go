package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/conf"
)

// startFleet starts a fleet with one organisation, and returns it with the organisation's API key once it serves requests.
func startFleet(t testing.TB, logs io.Writer) (*Demo, string) {
	d := New(io.Discard)
	d.folder = t.TempDir()
	d.logger = log.NewLogfmtLogger(log.NewSyncWriter(logs))
	c, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		d.wait.Wait()
	})
	if err := d.start(c); err != nil {
		t.Fatal(err)
	}
	k, err := d.configure(c)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.runCommand(c, "route", "put", "--prefix", "/tickets", "--repeatable", "GET", "tickets"); err != nil {
		t.Fatal(err)
	}
	if _, err := d.askQuestion(c, k); err != nil {
		t.Fatal(err)
	}
	return d, k
}

// TestOpenAIClient checks compatibility with an unmodified OpenAI client: chat, streaming, models, files and batches.
func TestOpenAIClient(t *testing.T) {
	d, k := startFleet(t, io.Discard)
	c, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	o := openai.NewClient(option.WithBaseURL(d.entries[0]+"/v1"), option.WithAPIKey(k))
	p := openai.ChatCompletionNewParams{Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hours?")}}
	a, err := o.Chat.Completions.New(c, p)
	if err != nil || a.Choices[0].Message.Content == "" {
		t.Fatalf("completion %v, error %v", a, err)
	}
	s := o.Chat.Completions.NewStreaming(c, p)
	n := 0
	for s.Next() {
		n++
	}
	if s.Err() != nil || n == 0 {
		t.Fatalf("%d events, error %v", n, s.Err())
	}
	m, err := o.Models.List(c)
	if err != nil || len(m.Data) != 1 || m.Data[0].ID != model {
		t.Fatalf("models %v, error %v", m, err)
	}
	l := fmt.Sprintf(`{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"messages":[]}}`, model)
	f, err := o.Files.New(c, openai.FileNewParams{File: openai.File(strings.NewReader(l), "f.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch})
	if err != nil {
		t.Fatal(err)
	}
	b, err := o.Batches.New(c, openai.BatchNewParams{InputFileID: f.ID, Endpoint: "/v1/chat/completions", CompletionWindow: "24h"})
	for err == nil && b.Status != openai.BatchStatusCompleted {
		time.Sleep(100 * time.Millisecond)
		b, err = o.Batches.Get(c, b.ID)
	}
	if err != nil {
		t.Fatal(err)
	}
	r, err := o.Files.Content(c, b.OutputFileID)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	x, err := io.ReadAll(r.Body)
	if err != nil || gjson.GetBytes(x, "custom_id").String() != "a" {
		t.Fatalf("results %s, error %v", x, err)
	}
}

// TestBadInput checks that invalid input is rejected with the right status and error kind, and never as possibly executed.
func TestBadInput(t *testing.T) {
	d, k := startFleet(t, io.Discard)
	chat := "/v1/chat/completions"
	file := func(l string) string {
		return "--x\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n" + l + "\r\n--x--\r\n"
	}
	item := `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{}}`
	for name, x := range map[string]struct {
		method, path, body, key string
		status                  int
		kind, message           string
	}{
		"body is not JSON":         {"POST", chat, `{"model":`, k, 400, "badRequest", "not a JSON object"},
		"no model":                 {"POST", chat, `{"messages":[]}`, k, 400, "badRequest", "model"},
		"model is a number":        {"POST", chat, `{"model":1,"messages":[]}`, k, 400, "badRequest", "model"},
		"no messages":              {"POST", chat, `{"model":"visitor-guide"}`, k, 400, "badRequest", "messages"},
		"no prompt":                {"POST", "/v1/completions", `{"model":"visitor-guide"}`, k, 400, "badRequest", "prompt"},
		"stream is a string":       {"POST", chat, `{"model":"visitor-guide","messages":[],"stream":"yes"}`, k, 400, "badRequest", "stream"},
		"unknown model":            {"POST", chat, `{"model":"other","messages":[]}`, k, 404, "unknownModel", "other"},
		"no key":                   {"POST", chat, `{"model":"visitor-guide","messages":[]}`, "", 401, "unauthenticated", "no key"},
		"wrong key":                {"POST", chat, `{"model":"visitor-guide","messages":[]}`, "sk-wrong", 401, "unauthenticated", "unknown or withdrawn"},
		"unknown path":             {"GET", "/v2/none", "", k, 404, "notFound", "/v2/none"},
		"body too large":           {"POST", chat, `{"model":"` + strings.Repeat("x", 9<<20) + `"}`, k, 413, "tooLarge", "8388608"},
		"no form":                  {"POST", "/v1/files", `{}`, k, 400, "badRequest", "multipart"},
		"line is not JSON":         {"POST", "/v1/files", file(item + "\nnot json"), k, 400, "badRequest", "line 2 is not a JSON object"},
		"line lacks custom_id":     {"POST", "/v1/files", file(`{"method":"POST"}`), k, 400, "badRequest", "line 1 has no custom_id"},
		"custom_id repeats":        {"POST", "/v1/files", file(item + "\n" + item), k, 400, "badRequest", "line 2 repeats"},
		"empty file":               {"POST", "/v1/files", file(""), k, 400, "badRequest", "empty"},
		"file name not UTF-8":      {"POST", "/v1/files", strings.Replace(file(item), `"f"`, "\"\xff\"", 1), k, 400, "badRequest", "not UTF-8"},
		"unknown input file":       {"POST", "/v1/batches", `{"input_file_id":"file-x","endpoint":"/v1/chat/completions"}`, k, 404, "notFound", "file-x"},
		"batch field unknown":      {"POST", "/v1/batches", `{"input":"x"}`, k, 400, "badRequest", "input"},
		"unsupported endpoint":     {"POST", "/v1/batches", `{"input_file_id":"file-x","endpoint":"/v1/none"}`, k, 400, "badRequest", "/v1/none"},
		"window is not a duration": {"POST", "/v1/batches", `{"endpoint":"/v1/completions","completion_window":"soon"}`, k, 400, "badRequest", "soon"},
		"unknown batch":            {"GET", "/v1/batches/batch_x", "", k, 404, "notFound", "batch_x"},
		"settings lack a field":    {"settings", "s.json", `{"role": "entry"}`, "", 0, "badRequest", "s.json:1: vm: is missing"},
		"no credential":            {"POST", "/admin/v1/config", `{}`, k, 401, "unauthenticated", "credential"},
		"command field unknown":    {"POST", "/admin/v1/organisation", `{"nme":"x"}`, credential, 400, "badRequest", "nme"},
		"rate below zero":          {"POST", "/admin/v1/organisation", `{"name":"x","rate":-1,"create":true}`, credential, 400, "badRequest", "rate"},
		"selector is invalid":      {"POST", "/admin/v1/organisation", `{"name":"x","selector":"a=(","create":true}`, credential, 400, "badRequest", "selector"},
		"route is reserved":        {"POST", "/admin/v1/entity", `{"change":{"route":{"name":"x","prefix":"/v1/x"}}}`, credential, 400, "badRequest", "reserved"},
	} {
		t.Run(name, func(t *testing.T) {
			if x.method == "settings" {
				_, err := conf.Parse(x.path, []byte(x.body))
				if bulrushlug.KindOf(err).String() != x.kind || !strings.Contains(err.Error(), x.message) {
					t.Errorf("got %v; want kind %s, %q", err, x.kind, x.message)
				}
				return
			}
			q, err := http.NewRequest(x.method, d.entries[0]+x.path, strings.NewReader(x.body))
			if err != nil {
				t.Fatal(err)
			}
			q.Header.Set("Authorization", "Bearer "+x.key)
			if strings.HasPrefix(x.body, "--x") {
				q.Header.Set("Content-Type", "multipart/form-data; boundary=x")
			}
			r, err := http.DefaultClient.Do(q)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = r.Body.Close() }()
			b, _ := io.ReadAll(r.Body)
			kind := gjson.GetBytes(b, "error.kind").String() + gjson.GetBytes(b, "kind").String()
			if r.StatusCode != x.status || kind != x.kind || !bytes.Contains(b, []byte(x.message)) {
				t.Errorf("got %d %s; want %d, kind %s, %q", r.StatusCode, b, x.status, x.kind, x.message)
			}
			if gjson.GetBytes(b, "error.ran").Bool() {
				t.Error("a rejected request is reported as possibly executed")
			}
		})
	}
}

// lockedBuffer is a bytes.Buffer for concurrent writers.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestKeyIsNotExposed checks that an API key reaches neither backend servers, logs, events nor the configuration.
func TestKeyIsNotExposed(t *testing.T) {
	var logs lockedBuffer
	d, k := startFleet(t, &logs)
	c := context.Background()
	if _, err := readBody(sendRequest(c, http.MethodPost, d.entries[0]+"/tickets/change?id=7", k, "text/plain", []byte("x"))); err != nil {
		t.Fatal(err)
	}
	events, err := d.runCommand(c, "--json", "timeline", "--limit", "5000")
	if err != nil {
		t.Fatal(err)
	}
	config, err := d.runCommand(c, "--json", "org", "show", "zvonik")
	if err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]string{"backend server": d.service.Received(), "logs": logs.String(), "events": events, "configuration": config} {
		if s == "" || strings.Contains(s, k) || strings.Contains(s, strings.TrimPrefix(k, "sk-")) {
			t.Errorf("%s: empty or contains the key", name)
		}
	}
}
