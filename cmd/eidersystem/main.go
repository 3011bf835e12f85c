// Command eidersystem is a process of the system: a gateway or a controller, by what its settings file says.
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
	exitInOrder   = 0
	exitBadUse    = 1 // bad settings or use, or something that the machine refused
	exitInvariant = 2 // a state that can't be, or a damaged one on disk; also what the Go runtime ends a panic with
)

func main() {
	os.Exit(execute(context.Background(), os.Args[1:]))
}

func execute(ctx context.Context, arguments []string) int {
	err := root().ParseAndRun(ctx, arguments)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "eidersystem:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return exitInOrder
	case errors.Is(err, system.ErrInvariant), store.IsDamage(err):
		return exitInvariant
	}
	return exitBadUse
}

func root() *ffcli.Command {
	return &ffcli.Command{
		Name:        "eidersystem",
		ShortUsage:  "eidersystem <subcommand>",
		FlagSet:     newFlagSet("eidersystem"),
		Subcommands: []*ffcli.Command{runCommand(), checkCommand(), stateCommand(), serviceCommand(), demoCommand(), versionCommand()},
		Exec:        helpOnly,
	}
}

// newFlagSet returns errors in place of ending the process, so that execute chooses the exit code.
func newFlagSet(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// helpOnly is for commands that need a subcommand.
func helpOnly(context.Context, []string) error { return flag.ErrHelp }
