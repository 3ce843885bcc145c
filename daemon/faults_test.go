package daemon

import (
	"os"
	"syscall"
	"time"
)

// kill kills p and starts it again after d.
func (s *soak) kill(p *childProcess, d time.Duration) {
	p.signal(syscall.SIGKILL)
	p.waitStopped(0)
	time.Sleep(d)
	s.start(p)
}

// restart stops p by plan, and starts it again.
func (s *soak) restart(p *childProcess) {
	p.signal(syscall.SIGTERM)
	p.waitStopped(8 * time.Second)
	s.start(p)
}

// freeze stops p for d, without it noticing.
func (s *soak) freeze(p *childProcess, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	s.oracle.excuse(p.entry)
	p.signal(syscall.SIGCONT)
}

// loseDisk kills p, which starts again after d with an empty disk.
func (s *soak) loseDisk(p *childProcess, d time.Duration) {
	p.signal(syscall.SIGKILL)
	p.waitStopped(0)
	if err := os.RemoveAll(p.folder); err != nil {
		s.t.Error(err)
	}
	time.Sleep(d)
	s.start(p)
}

// soakFaults are the faults that a soak injects into processes and connections; each returns once the fault is over.
var soakFaults = map[string]func(s *soak, p *childProcess, d time.Duration, n int){
	"kill":   func(s *soak, p *childProcess, d time.Duration, _ int) { s.kill(p, d/2) },
	"freeze": func(s *soak, p *childProcess, d time.Duration, _ int) { s.freeze(p, d) },
	"stop":   func(s *soak, p *childProcess, _ time.Duration, _ int) { s.restart(p) },
	"reload": func(_ *soak, p *childProcess, _ time.Duration, _ int) { p.signal(syscall.SIGHUP) },
	"service": func(_ *soak, p *childProcess, d time.Duration, n int) {
		p.storeProxy.set([]string{"delay", "stall", "stall replies", "reset"}[n%4])
		time.Sleep(d)
		p.storeProxy.set("")
	},
	"whole service": func(s *soak, _ *childProcess, d time.Duration, n int) {
		for _, x := range s.processes {
			x.storeProxy.set([]string{"delay", "stall", "stall replies", "reset"}[n%4])
		}
		time.Sleep(d)
		for _, x := range s.processes {
			x.storeProxy.set("")
		}
	},
	"server": func(s *soak, _ *childProcess, d time.Duration, n int) {
		g := s.backends[n%len(s.backends)]
		g.set([]string{"delay", "stall", "stall replies", "reset"}[n/4%4])
		time.Sleep(d)
		g.set("")
	},
	"kill all": func(s *soak, _ *childProcess, d time.Duration, _ int) {
		for _, x := range s.processes {
			x.signal(syscall.SIGKILL)
		}
		for _, x := range s.processes {
			x.waitStopped(0)
		}
		time.Sleep(d / 4)
		for _, x := range s.processes {
			s.start(x)
		}
	},
	"lose a disk": func(s *soak, p *childProcess, d time.Duration, _ int) {
		if p.folder == "" || time.Since(s.lastDiskLoss) < diskLossInterval {
			return
		}
		s.lastDiskLoss = time.Now()
		s.loseDisk(p, d/4)
		time.Sleep(diskLossInterval)
		s.lastDiskLoss = time.Now()
	},
}
