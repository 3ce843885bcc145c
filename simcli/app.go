// Package simcli implements the command line of the standin program.
package simcli

import (
	"context"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/demo"
	"bulrushlug.dev/bulrushlug/memkv"
	"bulrushlug.dev/bulrushlug/memlm"
	"bulrushlug.dev/bulrushlug/memvm"
	"bulrushlug.dev/bulrushlug/report"
	"bulrushlug.dev/bulrushlug/simkv"
	"bulrushlug.dev/bulrushlug/simlm"
	"bulrushlug.dev/bulrushlug/simsvc"
	"bulrushlug.dev/bulrushlug/simvm"
)

// New returns the root command.
func New() *cli.Command {
	l := &cli.StringFlag{Name: "listen", Usage: "`host:port` to listen on", Required: true}
	return &cli.Command{
		Name:  "standin",
		Usage: "run simulated platform services and backend servers",
		Commands: []*cli.Command{
			{Name: "kv", Usage: "simulate the key-value service", Flags: []cli.Flag{l}, Action: kv},
			{Name: "vms", Usage: "simulate the VM list", Flags: []cli.Flag{l,
				&cli.DurationFlag{Name: "lag", Usage: "`time` until a change becomes visible"}}, Action: vms},
			{Name: "engine", Usage: "simulate a model engine", Flags: []cli.Flag{l,
				&cli.IntFlag{Name: "slots", Usage: "maximum number of concurrent `requests`", Value: 16},
				&cli.DurationFlag{Name: "token", Usage: "`time` per token", Value: 10 * time.Millisecond},
				&cli.DurationFlag{Name: "prefill", Usage: "prefill `time` before the first token", Value: 20 * time.Millisecond},
			}, Action: engine},
			{Name: "service", Usage: "simulate a plain HTTP service", Flags: []cli.Flag{l}, Action: service},
			{Name: "report", Usage: "run the simulation trials and write an HTML page with charts", Flags: []cli.Flag{
				&cli.StringFlag{Name: "out", Usage: "output `path`", Value: "report.html"}}, Action: runReport},
			{Name: "demo", Usage: "run a small fleet, one chat request and one batch job", Action: runDemo},
		},
	}
}

func kv(c context.Context, m *cli.Command) error {
	return listen(c, m, simkv.New(memkv.New()))
}

func vms(c context.Context, m *cli.Command) error {
	return listen(c, m, simvm.New(memvm.New(m.Duration("lag"))))
}

func engine(c context.Context, m *cli.Command) error {
	return listen(c, m, simlm.New(memlm.New(m.Int("slots"), m.Duration("token"), m.Duration("prefill"))))
}

func service(c context.Context, m *cli.Command) error {
	return listen(c, m, simsvc.New())
}

func runDemo(c context.Context, m *cli.Command) error {
	return demo.New(m.Root().Writer).Run(c)
}

func runReport(c context.Context, m *cli.Command) error {
	return report.New().Run(c, m.String("out"))
}

// listen serves h until SIGTERM or SIGINT.
func listen(c context.Context, m *cli.Command, h http.Handler) error {
	c, stop := signal.NotifyContext(c, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &http.Server{Addr: m.String("listen"), Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	end := context.AfterFunc(c, func() { _ = s.Close() })
	defer end()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
