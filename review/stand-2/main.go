//go:build review

// Command stand-2 has the stand-ins and the scripts of the second review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const limit = 115 * time.Second // Longest time of a script.

// scripts are the cases; each returns what broke the rule, or an empty text if it held.
var scripts = map[string]func() string{}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "runner" {
		serveRunner(os.Args[2:])
		return
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs the script called name, which writes to record.txt in dir.
func run(name, dir string) (code int) {
	var err error
	if record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() {
		endAll()
		if x := recover(); x != nil {
			code = 2
			var n errNotRun
			if e, ok := x.(errNotRun); ok {
				n = e
			} else {
				n.text = fmt.Sprint(x)
			}
			note("could not run: %s", n.text)
			fmt.Println("could not run:", n.text)
		}
	}()
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-c:
		case <-time.After(limit):
		}
		note("could not run: ended from outside, or not over in time")
		endAll()
		os.Exit(2)
	}()
	f, ok := scripts[name]
	if !ok {
		panic(errNotRun{"no such script"})
	}
	if b := f(); b != "" {
		note("BROKEN: %s", b)
		fmt.Println("broken:", b)
		return 1
	}
	note("held")
	fmt.Println("held")
	return 0
}
