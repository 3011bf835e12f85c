package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

const (
	defaultDemoDuration = 10 * time.Second // default of --for
	minDemoDuration     = 6 * time.Second  // enough for a failover and for a change of the leading controller
)

// errDemoFailed makes the process exit with an error when a rule was broken, such as when an acknowledged write is missing.
var errDemoFailed = eris.New("demo: the rules were not kept")

func demoCommand() *ffcli.Command {
	flags := newFlagSet("demo")
	duration := flags.Duration("for", defaultDemoDuration, "how long clients work")
	withLog := flags.Bool("log", false, "write the log of the system's parts to standard error")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "eidersystem demo [--for 10s] [--log]",
		ShortHelp:  "Run a whole system on loopback, take its leaders away, and tell what became of it.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return eris.New("demo takes no arguments")
			}
			if *duration < minDemoDuration {
				return eris.Errorf("demo: --for %v is too short: %v or more would do", *duration, minDemoDuration)
			}
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
			defer stop()
			log := newLog(io.Discard)
			if *withLog {
				log.SetOutput(os.Stderr)
			}
			return runDemo(ctx, *duration, log, os.Stdout)
		},
	}
}
