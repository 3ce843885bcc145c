package daemon

import (
	"os"
	"syscall"
	"time"
)

// soakFaults are what happens to a process or to the ways between; each returns once it is over.
var soakFaults = map[string]func(s *soak, p *program, d time.Duration, n int){
	"kill": func(s *soak, p *program, d time.Duration, _ int) {
		p.signal(syscall.SIGKILL)
		p.down(0)
		time.Sleep(d / 2)
		s.start(p)
	},
	"freeze": func(_ *soak, p *program, d time.Duration, _ int) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(d)
		p.signal(syscall.SIGCONT)
	},
	"stop": func(s *soak, p *program, d time.Duration, _ int) {
		p.signal(syscall.SIGTERM)
		p.down(8 * time.Second)
		s.start(p)
	},
	"reload": func(_ *soak, p *program, _ time.Duration, _ int) { p.signal(syscall.SIGHUP) },
	"service": func(_ *soak, p *program, d time.Duration, n int) {
		p.store.set([]string{"delay", "silence", "deaf", "reset"}[n%4])
		time.Sleep(d)
		p.store.set("")
	},
	"whole service": func(s *soak, _ *program, d time.Duration, n int) {
		for _, x := range s.programs {
			x.store.set([]string{"delay", "silence", "deaf", "reset"}[n%4])
		}
		time.Sleep(d)
		for _, x := range s.programs {
			x.store.set("")
		}
	},
	"server": func(s *soak, _ *program, d time.Duration, n int) {
		g := s.servers[n%len(s.servers)]
		g.set([]string{"delay", "silence", "deaf", "reset"}[n/4%4])
		time.Sleep(d)
		g.set("")
	},
	"kill all": func(s *soak, _ *program, d time.Duration, _ int) {
		for _, x := range s.programs {
			x.signal(syscall.SIGKILL)
		}
		for _, x := range s.programs {
			x.down(0)
		}
		time.Sleep(d / 4)
		for _, x := range s.programs {
			s.start(x)
		}
	},
	"lose a disk": func(s *soak, p *program, d time.Duration, _ int) {
		if p.folder == "" || time.Since(s.lost) < diskTime {
			return
		}
		s.lost = time.Now()
		p.signal(syscall.SIGKILL)
		p.down(0)
		if err := os.RemoveAll(p.folder); err != nil {
			s.t.Error(err)
		}
		time.Sleep(d / 4)
		s.start(p)
		time.Sleep(diskTime)
		s.lost = time.Now()
	},
}
