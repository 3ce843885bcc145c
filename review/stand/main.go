// Command stand runs the cases of the review that are scripts: it starts the processes of a small deployment with stand-ins
// for the platform's store, runners and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripts by name; each returns an exit code.
var cases = map[string]func(s *system) int{
	"route":     caseRoute,
	"retention": caseRetention,
	"spoiled":   caseSpoiled,
	"retire":    caseRetire,
	"gone":      caseGone,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs f and writes record.txt into folder d.
func play(f func(s *system) int, d string) int {
	o, err := os.Create(filepath.Join(d, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = o.Close() }()
	t, err := os.MkdirTemp("", "stand-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(t) }()
	} else {
		fmt.Println(t)
	}
	rec := &record{file: o, start: time.Now()}
	s := newSystem(t, rec, os.Getenv("TROUBLE") != "0")
	defer s.stop()
	n := f(s)
	rec.line("exit %d: %s", n, map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[n])
	return n
}
