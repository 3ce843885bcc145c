package daemon

import (
	"os"
	"syscall"
	"time"
)

// soakFaults are the faults that a soak injects into processes and connections; each returns once the fault is over.
var soakFaults = map[string]func(s *soak, p *childProcess, d time.Duration, n int){
	"kill": func(s *soak, p *childProcess, d time.Duration, _ int) {
		p.signal(syscall.SIGKILL)
		p.waitStopped(0)
		time.Sleep(d / 2)
		s.start(p)
	},
	"freeze": func(s *soak, p *childProcess, d time.Duration, _ int) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(d)
		s.oracle.excuse(p.entry)
		p.signal(syscall.SIGCONT)
	},
	"stop": func(s *soak, p *childProcess, d time.Duration, _ int) {
		p.signal(syscall.SIGTERM)
		p.waitStopped(8 * time.Second)
		s.start(p)
	},
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
		p.signal(syscall.SIGKILL)
		p.waitStopped(0)
		if err := os.RemoveAll(p.folder); err != nil {
			s.t.Error(err)
		}
		time.Sleep(d / 4)
		s.start(p)
		time.Sleep(diskLossInterval)
		s.lastDiskLoss = time.Now()
	},
}
