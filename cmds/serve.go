package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/daemon"
	"bulrushlug.dev/bulrushlug/logs"
	"bulrushlug.dev/bulrushlug/reload"
	"bulrushlug.dev/bulrushlug/setup"
)

// settingsEnv is the environment variable that holds the path of the settings file.
const settingsEnv = "BULRUSHLUG_BOOT"

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the process described by the settings file in $" + settingsEnv + " until SIGTERM",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "`path` of the settings file", Sources: cli.EnvVars(settingsEnv)}},
		Action: func(c context.Context, m *cli.Command) error {
			return serve(c, m.String("settings"))
		},
	}
}

func serve(c context.Context, p string) error {
	s, err := setup.Load(p)
	if err != nil {
		return err
	}
	w := logs.New(os.Stdout)
	defer func() { _ = w.Close() }()
	l := log.With(log.NewLogfmtLogger(w), "ts", log.DefaultTimestampUTC)
	x, err := daemon.New(s, l)
	if err != nil {
		return err
	}
	c, stop := signal.NotifyContext(c, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f := reload.New(p, func(b []byte) error { return reloadSettings(x, p, b) }, func(err error) { _ = l.Log("event", "notReloaded", "err", err) })
	go f.Run(c)
	return x.Run(c)
}

// reloadSettings parses the settings in b and applies them to the running process x; p is the path used in errors.
func reloadSettings(x *daemon.Daemon, p string, b []byte) error {
	s, err := setup.Parse(p, b)
	if err != nil {
		return err
	}
	return x.Reload(s)
}
