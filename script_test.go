package bulrushlug_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug/ports"
)

// commandTimeout limits the wait of one script command for its condition.
const commandTimeout = 60 * time.Second

// portAllocator hands out the addresses of all scripts.
var portAllocator = ports.New()

// binDir is the directory with the compiled programs under test.
var binDir string

// TestMain compiles the programs that the scripts run.
func TestMain(m *testing.M) {
	d, err := os.MkdirTemp("", "bulrushlug-bin")
	if err != nil {
		panic(err)
	}
	binDir = d
	if b, err := exec.Command("go", "build", "-o", d+"/", "./cmd/...").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, b))
	}
	c := m.Run()
	_ = os.RemoveAll(d)
	os.Exit(c)
}

// TestScripts runs the end-to-end scripts, in which separate processes talk over loopback.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/scripts",
		Setup: setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"settings": settings,
			"until":    until,
			"request":  request,
			"items":    items,
			"results":  results,
			"signal":   signal,
			"owner":    owner,
			"stream":   stream,
		},
	})
}

const (
	credential = "script-operator"
	// credentialHash is the SHA-256 of the credential.
	credentialHash = "98202be2f6f570f3d0ecbadb5a8043bb4318978d6b547b06c67d69fff85a652d"
)

// setup puts the programs on the path, and sets the operator credential and the free addresses $A0 to $A23 of a script.
func setup(e *testscript.Env) error {
	e.Setenv("PATH", binDir+string(os.PathListSeparator)+e.Getenv("PATH"))
	e.Setenv("BULRUSHLUG_CREDENTIAL", credential)
	e.Setenv("HASH", credentialHash)
	for i := range 24 {
		a, err := portAllocator.Next()
		if err != nil {
			return err
		}
		e.Setenv("A"+strconv.Itoa(i), a)
	}
	e.Setenv("BULRUSHLUG_ENTRY", "http://"+e.Getenv("A0"))
	return nil
}

// settings writes a settings file and adds the VM to the VM list: settings FILE VM ROLE ZONE LISTEN [FIELD=VALUE ...].
func settings(ts *testscript.TestScript, _ bool, a []string) {
	f, vm, role, zone, listen := a[0], a[1], a[2], a[3], a[4]
	var b strings.Builder
	fmt.Fprintf(&b, "// Settings of %s.\n{\n\t\"vm\": %q,\n\t\"role\": %q,\n\t\"region\": \"r\",\n\t\"zone\": %q,\n\t\"listen\": %q,\n", vm, vm, role, zone, listen)
	fmt.Fprintf(&b, "\t\"store\": \"http://%s\",\n\t\"vmList\": \"http://%s\",\n\t\"drainSeconds\": 20,\n", ts.Getenv("A22"), ts.Getenv("A23"))
	fmt.Fprintf(&b, "\t\"peerSecrets\": [%q],\n", strings.Repeat("ab", 32))
	data := false
	for _, x := range a[5:] {
		k, v, _ := strings.Cut(x, "=")
		data = data || k == "dataFolder"
		fmt.Fprintf(&b, "\t%q: %s,\n", k, v)
	}
	b.WriteString("}\n")
	ts.Check(os.WriteFile(ts.MkAbs(f), []byte(b.String()), 0o600))
	m := fmt.Sprintf(`{"name":%q,"address":%q,"region":"r","zone":%q,"role":%q,"data":%v}`, vm, listen, zone, role, data)
	code, out := send(ts, http.MethodPut, "http://"+ts.Getenv("A23")+"/v1/vms", "", []byte(m))
	if code != http.StatusOK {
		ts.Fatalf("add %s to the VM list: status %d: %s", vm, code, out)
	}
}

// send sends one request and returns status and body; a failed connection gives status 0 and the error text.
func send(ts *testscript.TestScript, method, u, key string, b []byte) (int, string) {
	q, err := http.NewRequest(method, u, bytes.NewReader(b))
	ts.Check(err)
	q.Header.Set("Content-Type", "application/json")
	if strings.HasPrefix(key, "Idempotency-Key:") {
		q.Header.Set("Idempotency-Key", strings.TrimPrefix(key, "Idempotency-Key:"))
		key = ts.Getenv("KEY")
	}
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	out, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(out)
}

// until runs a program repeatedly until it succeeds and its output contains a text: until TEXT PROGRAM [ARG ...].
//
// If the output is a new API key, it sets $KEY.
func until(ts *testscript.TestScript, _ bool, a []string) {
	var out []byte
	for end := time.Now().Add(commandTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c := exec.Command(filepath.Join(binDir, a[1]), a[2:]...)
		c.Dir = ts.Getenv("WORK")
		c.Env = append(os.Environ(), "BULRUSHLUG_ENTRY="+ts.Getenv("BULRUSHLUG_ENTRY"), "BULRUSHLUG_CREDENTIAL="+credential)
		var err error
		if out, err = c.CombinedOutput(); err == nil && strings.Contains(string(out), a[0]) {
			if k, ok := strings.CutPrefix(string(out), "key "); ok {
				ts.Setenv("KEY", strings.Fields(k)[0])
			}
			ts.Logf("%s", out)
			return
		}
	}
	ts.Fatalf("timed out waiting for %q: %s", a[0], out)
}

// request repeats a request until the response has the given status and contains a text:
// request STATUS TEXT METHOD URL [BODY [KEY]].
//
// It sets $OUT to the field id of the response. KEY is an API key, or Idempotency-Key: followed by an idempotency key.
func request(ts *testscript.TestScript, neg bool, a []string) {
	want, err := strconv.Atoi(a[0])
	ts.Check(err)
	key, body := ts.Getenv("KEY"), ""
	if len(a) > 4 {
		body = a[4]
	}
	if len(a) > 5 {
		key = a[5]
	}
	var code int
	var out string
	for end := time.Now().Add(commandTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		code, out = send(ts, a[2], a[3], key, []byte(body))
		if code == want && strings.Contains(out, a[1]) {
			ts.Logf("%.300s", out)
			ts.Setenv("OUT", gjson.Get(out, "id").String())
			return
		}
		if neg {
			break
		}
		ts.Logf("not yet: %d %.300s", code, out)
	}
	ts.Fatalf("want status %d and %q, got %d %.500s", want, a[1], code, out)
}

// items uploads a batch file with COUNT items and sets $FILE to its identifier: items COUNT URL.
func items(ts *testscript.TestScript, _ bool, a []string) {
	n, err := strconv.Atoi(a[0])
	ts.Check(err)
	var b bytes.Buffer
	b.WriteString("--x\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--x\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f.jsonl\"\r\n\r\n")
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"c%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"%d"}]}}`+"\n", i, i)
	}
	b.WriteString("\r\n--x--\r\n")
	q, err := http.NewRequest(http.MethodPost, a[1]+"/v1/files", &b)
	ts.Check(err)
	q.Header.Set("Content-Type", "multipart/form-data; boundary=x")
	q.Header.Set("Authorization", "Bearer "+ts.Getenv("KEY"))
	r, err := http.DefaultClient.Do(q)
	ts.Check(err)
	defer func() { _ = r.Body.Close() }()
	out, err := io.ReadAll(r.Body)
	ts.Check(err)
	if r.StatusCode != http.StatusOK {
		ts.Fatalf("upload: status %d: %s", r.StatusCode, out)
	}
	ts.Setenv("FILE", gjson.GetBytes(out, "id").String())
}

// results checks that the output file of a job contains each item exactly once: results COUNT JOB URL.
func results(ts *testscript.TestScript, _ bool, a []string) {
	n, err := strconv.Atoi(a[0])
	ts.Check(err)
	code, out := send(ts, http.MethodGet, a[2]+"/v1/files/file-out-"+a[1]+"/content", ts.Getenv("KEY"), nil)
	if code != http.StatusOK {
		ts.Fatalf("results: status %d: %s", code, out)
	}
	seen := map[string]int{}
	for _, l := range strings.Split(strings.TrimSpace(out), "\n") {
		if gjson.Get(l, "response.status_code").Int() != http.StatusOK {
			ts.Fatalf("item failed: %s", l)
		}
		seen[gjson.Get(l, "custom_id").String()]++
	}
	for i := range n {
		if k := fmt.Sprint("c", i); seen[k] != 1 {
			ts.Fatalf("item %s occurs %d times in the results", k, seen[k])
		}
	}
	if len(seen) != n {
		ts.Fatalf("%d results, want %d", len(seen), n)
	}
}

// signal sends a signal to the process whose identifier a file contains: signal NAME FILE. STOP waits until the process runs no
// more. A stopped process goes on at the end of the script, which waits for it.
func signal(ts *testscript.TestScript, _ bool, a []string) {
	n, err := strconv.Atoi(strings.TrimSpace(ts.ReadFile(a[1])))
	ts.Check(err)
	x := map[string]syscall.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "HUP": syscall.SIGHUP}
	if a[0] == "STOP" {
		ts.Defer(func() { _ = syscall.Kill(n, syscall.SIGCONT) })
	}
	ts.Check(syscall.Kill(n, x[a[0]]))
	if a[0] != "STOP" {
		return
	}
	for end := time.Now().Add(commandTimeout); !stopped(n); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("process %d runs %v after the signal", n, commandTimeout)
		}
	}
}

// stopped reports whether all threads of process n are stopped. They go on after the signal was sent until one of them takes it.
func stopped(n int) bool {
	l, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", n))
	for _, f := range l {
		b, err := os.ReadFile(f)
		_, state, _ := strings.Cut(string(b), ") ")
		if err == nil && !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return err == nil && len(l) > 0
}

// owner sets $OWNER to the process that owns the only job, $OTHER to another one and $LEFT to the HTTP address of a third:
// owner PROCESS ...
func owner(ts *testscript.TestScript, _ bool, a []string) {
	code, out := send(ts, http.MethodPost, ts.Getenv("BULRUSHLUG_ENTRY")+"/admin/v1/jobs", credential, []byte("{}"))
	if code != http.StatusOK {
		ts.Fatalf("list of jobs: status %d: %s", code, out)
	}
	http := map[string]string{"ea": "A0", "eb": "A2", "ec": "A7", "ed": "A9"}
	var l []string
	for _, n := range a {
		if "entry-"+n[1:] == gjson.Get(out, "jobs.0.owner").String() {
			ts.Setenv("OWNER", n)
		} else {
			l = append(l, n)
		}
	}
	ts.Setenv("OTHER", l[0])
	ts.Setenv("LEFT", ts.Getenv(http[l[1]]))
}

// pendingStreams holds the channel of the response that each script waits for, by its work directory.
var pendingStreams sync.Map

// stream starts a streaming request in the background, or waits for its end and checks the response:
// stream start URL BODY | stream wait TEXT.
func stream(ts *testscript.TestScript, _ bool, a []string) {
	if a[0] == "wait" {
		x, _ := pendingStreams.Load(ts.Getenv("WORK"))
		if out := <-x.(chan string); !strings.Contains(out, a[1]) || strings.Contains(out, "[DONE]") != (a[1] == "[DONE]") {
			ts.Fatalf("unexpected response of the stream: %q", out)
		}
		return
	}
	c := make(chan string, 1)
	pendingStreams.Store(ts.Getenv("WORK"), c)
	begun := make(chan struct{})
	go func() {
		q, _ := http.NewRequest(http.MethodPost, a[1], strings.NewReader(a[2]))
		q.Header.Set("Authorization", "Bearer "+ts.Getenv("KEY"))
		r, err := http.DefaultClient.Do(q)
		close(begun)
		if err != nil {
			c <- err.Error()
			return
		}
		defer func() { _ = r.Body.Close() }()
		b, _ := io.ReadAll(r.Body)
		c <- string(b)
	}()
	<-begun
}
