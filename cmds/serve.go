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
	signal.Ignore(syscall.SIGPIPE) // The end of what reads the log must not end the process.
	f, err := reload.New(p)
	if err != nil {
		return err
	}
	s, err := setup.Parse(p, f.Content())
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
	// Settings may change while the process finishes its requests, so the watcher does not end with the first SIGTERM.
	watched, end := context.WithCancel(c)
	defer end()
	go f.Run(watched, func(b []byte) error { return reloadSettings(x, p, b) }, func(err error) { _ = l.Log("event", "notReloaded", "err", err) })
	running, stop := signal.NotifyContext(c, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return x.Run(running)
}

// reloadSettings parses the settings in b and applies them to the running process x; p is the path used in errors.
func reloadSettings(x *daemon.Daemon, p string, b []byte) error {
	s, err := setup.Parse(p, b)
	if err != nil {
		return err
	}
	return x.Reload(s)
}
