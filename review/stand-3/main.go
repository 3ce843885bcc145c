//go:build review

// Command stand-3 plays the scripts of the third review: it starts processes of the system, stand-ins of the platform, of runners
// and of clients, and checks what clients and runners see.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// limit is the longest time of a script.
const limit = 118 * time.Second

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) write(f string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+f+"\n", append([]any{time.Since(r.begun).Seconds()}, a...)...)
}

// scripts are the scripts by name. They return the number of times that the rule was broken.
var scripts = map[string]func(f *fleet, trouble bool) (int, error){
	"alone":   alone,
	"items":   items,
	"streams": func(f *fleet, trouble bool) (int, error) { return streams(f, trouble, askPrefix) },
	"once":    func(f *fleet, trouble bool) (int, error) { return streams(f, trouble, oncePrefix) },
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runnerMain(os.Args[2:])
		return
	}
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 SCRIPT FOLDER")
		return 2
	}
	o, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer o.Close()
	r := &record{file: o, begun: time.Now()}
	t, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(t)
	f, err := newFleet(t, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() { // No process outlives the script.
		select {
		case <-interrupted:
		case <-time.After(limit):
		}
		r.write("could not run: interrupted, or longer than %v", limit)
		f.end()
		_ = os.RemoveAll(t)
		os.Exit(2)
	}()
	n, err := scripts[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.write("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case n > 0:
		r.write("the rule was broken %d times", n)
		fmt.Printf("the rule was broken %d times\n", n)
		return 1
	}
	r.write("the rule held")
	fmt.Println("the rule held")
	return 0
}
