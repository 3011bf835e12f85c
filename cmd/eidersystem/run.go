package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"eiderway/host"
	"eiderway/system"
	"eiderway/system/metrics"
)

func runCommand() *ffcli.Command {
	flags := newFlagSet("run")
	figures := flags.String("metrics", "", "serve the process's own figures as text at `PORT/PATH` of the machine's address")
	admin := flags.String("admin", "", "take admin calls over a socket file at this `PATH` (a controller only); see service")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "eidersystem run [--metrics PORT/PATH] [--admin PATH]",
		ShortHelp:  "Run as the settings file says, until SIGTERM.",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, arguments []string) error { return run(ctx, *figures, *admin, arguments) },
	}
}

func run(ctx context.Context, figures, admin string, arguments []string) error {
	if len(arguments) > 0 {
		return eris.New("run takes no arguments: the settings file says it all")
	}
	endpoint, err := endpointOf(figures)
	if err != nil {
		return err
	}
	terminated := closedAt(syscall.SIGTERM, os.Interrupt)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)

	path := settingsPath()
	settings, err := system.Load(path)
	if err != nil {
		return err
	}
	applyLimits(settings.Limits)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	log := newLog(os.Stdout)
	changed := system.Watch(ctx, path, settings, hangup, log)
	return runRole(ctx, process{
		settings:   settings,
		changed:    changed,
		log:        log,
		terminated: terminated,
		publish:    publisher(ctx, settings, endpoint, log),
		admin:      admin,
	})
}

func endpointOf(figures string) (metrics.Endpoint, error) {
	if figures == "" {
		return metrics.Endpoint{}, nil
	}
	return metrics.ParseEndpoint(figures)
}

// publisher serves figures, if the endpoint is given. A process runs on without them: they are for people.
func publisher(ctx context.Context, settings system.Settings, endpoint metrics.Endpoint, log logrus.FieldLogger) func(metrics.Source) {
	if endpoint == (metrics.Endpoint{}) {
		return nil
	}
	return func(source metrics.Source) {
		if err := metrics.Serve(ctx, settings.IPAddress, endpoint, source); err != nil {
			log.WithError(err).Warn("no figures are served")
		}
	}
}

// process is what a role is run with.
type process struct {
	settings   system.Settings
	changed    <-chan system.Settings
	log        logrus.FieldLogger
	terminated <-chan struct{}
	publish    func(metrics.Source) // nil: no figures are served
	admin      string               // path of the admin socket; "": none
}

func runRole(ctx context.Context, process process) error {
	role, err := roleOf(process.settings)
	if err != nil {
		return err
	}
	if role != controllerRole && process.admin != "" {
		return eris.New("--admin is for controllers: a gateway takes no admin calls")
	}
	if role == controllerRole {
		return runController(ctx, process)
	}
	return runGateway(ctx, process)
}

func runController(ctx context.Context, process process) error {
	return host.Run(ctx, host.Options{
		Settings:  process.settings,
		Reload:    process.changed,
		Log:       process.log,
		Terminate: process.terminated,
		Publish:   process.publish,

		AdminSocket: process.admin,
	})
}

// closedAt returns a channel that is closed when one of the signals comes.
func closedAt(signals ...os.Signal) <-chan struct{} {
	came := make(chan os.Signal, 1)
	signal.Notify(came, signals...)
	closed := make(chan struct{})
	go func() {
		<-came
		close(closed)
	}()
	return closed
}
