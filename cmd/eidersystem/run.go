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
	metricsAddress := flags.String("metrics", "", "serve the process's own figures as text at `PORT/PATH` of the machine's address")
	admin := flags.String("admin", "", "take admin calls over a socket file at this `PATH` (a controller only); see service")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "eidersystem run [--metrics PORT/PATH] [--admin PATH]",
		ShortHelp:  "Run as the settings file says, until SIGTERM.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			return run(ctx, *metricsAddress, *admin, arguments)
		},
	}
}

func run(ctx context.Context, metricsAddress, admin string, arguments []string) error {
	if len(arguments) > 0 {
		return eris.New("run takes no arguments: the settings file says it all")
	}
	endpoint, err := parseEndpoint(metricsAddress)
	if err != nil {
		return err
	}
	terminated := closeOnSignal(syscall.SIGTERM, os.Interrupt)
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
	return runRole(ctx, runOptions{
		settings:   settings,
		changed:    changed,
		log:        log,
		terminated: terminated,
		publish:    publisher(ctx, settings, endpoint, log),
		admin:      admin,
	})
}

func parseEndpoint(address string) (metrics.Endpoint, error) {
	if address == "" {
		return metrics.Endpoint{}, nil
	}
	return metrics.ParseEndpoint(address)
}

// publisher returns a function that serves a source's metrics, or nil if no endpoint is given. If they can't be served the
// process goes on: nothing in the system depends on them.
func publisher(ctx context.Context, settings system.Settings, endpoint metrics.Endpoint, log logrus.FieldLogger) func(metrics.Source) {
	if endpoint == (metrics.Endpoint{}) {
		return nil
	}
	return func(source metrics.Source) {
		if err := metrics.Serve(ctx, settings.IPAddress, endpoint, source); err != nil {
			log.WithError(err).Warn("metrics are not served")
		}
	}
}

// runOptions holds what both roles are started with.
type runOptions struct {
	settings   system.Settings
	changed    <-chan system.Settings
	log        logrus.FieldLogger
	terminated <-chan struct{}
	publish    func(metrics.Source) // nil: metrics are not served
	admin      string               // path of the admin socket; "": none
}

func runRole(ctx context.Context, options runOptions) error {
	role, err := roleOf(options.settings)
	if err != nil {
		return err
	}
	if role != controllerRole && options.admin != "" {
		return eris.New("--admin is for controllers: a gateway takes no admin calls")
	}
	if role == controllerRole {
		return runController(ctx, options)
	}
	return runGateway(ctx, options)
}

func runController(ctx context.Context, options runOptions) error {
	return host.Run(ctx, host.Options{
		Settings:  options.settings,
		Reload:    options.changed,
		Log:       options.log,
		Terminate: options.terminated,
		Publish:   options.publish,

		AdminSocket: options.admin,
	})
}

// closeOnSignal returns a channel that is closed when the process receives one of the signals.
func closeOnSignal(signals ...os.Signal) <-chan struct{} {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	closed := make(chan struct{})
	go func() {
		<-received
		close(closed)
	}()
	return closed
}
