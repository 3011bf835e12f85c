// Command eidersystem runs a gateway or a controller, as its settings file says, and has commands for operators.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"eiderway/control/store"
	"eiderway/system"
)

// Exit codes.
const (
	exitOK        = 0
	exitFailure   = 1 // bad settings or arguments, or an error of the operating system
	exitInvariant = 2 // a broken invariant or a damaged state file; the Go runtime exits with the same code after a panic
)

func main() {
	os.Exit(execute(context.Background(), os.Args[1:]))
}

func execute(ctx context.Context, arguments []string) int {
	err := rootCommand().ParseAndRun(ctx, arguments)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "eidersystem:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, system.ErrInvariant), store.IsDamage(err):
		return exitInvariant
	}
	return exitFailure
}

func rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "eidersystem",
		ShortUsage:  "eidersystem <subcommand>",
		FlagSet:     newFlagSet("eidersystem"),
		Subcommands: []*ffcli.Command{runCommand(), checkCommand(), stateCommand(), serviceCommand(), demoCommand(), versionCommand()},
		Exec:        showHelp,
	}
}

// newFlagSet makes flag errors return instead of ending the process, so that execute chooses the exit code.
func newFlagSet(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// showHelp is the action of commands that need a subcommand.
func showHelp(context.Context, []string) error { return flag.ErrHelp }
