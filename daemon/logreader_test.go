package daemon

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestLogReaderEnds guards against a process that ends as nobody reads its log any more.
func TestLogReaderEnds(t *testing.T) {
	binary := buildProgram(t)
	s := newFloodSystem(t, binary, &slowServer{}, "", "")
	p := s.processes["e0"]
	p.signal(syscall.SIGKILL)
	p.waitStopped(waitTimeout)
	if err := os.Remove(p.log); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(p.log, 0o600); err != nil {
		t.Fatal(err)
	}
	reader, err := os.OpenFile(p.log, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.start(binary, func() {}); err != nil {
		t.Fatal(err)
	}
	serves := func() bool {
		n, _ := s.call(t.Context(), "POST", "/ask/x", "logged", "body")
		return n == http.StatusOK
	}
	for begun := time.Now(); !serves(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begun) > waitTimeout {
			t.Fatalf("the entry does not serve after %v", waitTimeout)
		}
	}
	_ = reader.Close()
	for range 5 {
		p.changeSettings(t)
		p.signal(syscall.SIGHUP) // Makes the process log.
		time.Sleep(300 * time.Millisecond)
		if !serves() {
			t.Fatal("the process has ended")
		}
	}
}
