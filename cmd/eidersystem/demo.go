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
	demoTime  = 10 * time.Second // by default
	demoLeast = 6 * time.Second  // a failover and a takeover fit in
)

// errDemoFailed makes the exit code tell that something acknowledged is missing.
var errDemoFailed = eris.New("demo: the rules were not kept")

func demoCommand() *ffcli.Command {
	flags := newFlagSet("demo")
	duration := flags.Duration("for", demoTime, "how long clients work")
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
			if *duration < demoLeast {
				return eris.Errorf("demo: --for %v is too short: %v or more would do", *duration, demoLeast)
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
