package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/conf"
	"bulrushlug.dev/bulrushlug/node"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run the process described by a settings file until SIGTERM",
		ArgsUsage: "settings",
		Action:    run,
	}
}

func run(c context.Context, m *cli.Command) error {
	// Settings are only read at startup; neither the end of a terminal nor that of what reads the log must end the process.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	p, err := singleArg(m, "settings")
	if err != nil {
		return err
	}
	s, err := conf.Load(p)
	if err != nil {
		return err
	}
	l := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
	n, err := node.New(s, l)
	if err != nil {
		return err
	}
	c, stop := signal.NotifyContext(c, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(c)
}
