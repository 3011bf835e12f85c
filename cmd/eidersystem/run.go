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
)

func runCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "eidersystem run",
		ShortHelp:  "Run as the settings file says, until SIGTERM.",
		FlagSet:    newFlagSet("run"),
		Exec:       run,
	}
}

func run(ctx context.Context, arguments []string) error {
	if len(arguments) > 0 {
		return eris.New("run takes no arguments: the settings file says it all")
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
	return runRole(ctx, process{settings: settings, changed: changed, log: log, terminated: terminated})
}

// process is what a role is run with.
type process struct {
	settings   system.Settings
	changed    <-chan system.Settings
	log        logrus.FieldLogger
	terminated <-chan struct{}
}

func runRole(ctx context.Context, process process) error {
	role, err := roleOf(process.settings)
	if err != nil {
		return err
	}
	if role == controllerRole {
		return runController(ctx, process)
	}
	return runGateway(ctx, process)
}

func runController(ctx context.Context, process process) error {
	return host.Run(ctx, host.Boot{
		Settings:  process.settings,
		Reload:    process.changed,
		Log:       process.log,
		Terminate: process.terminated,
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
