// Command eidersystem is a process of the system: a gateway or a controller, by what its settings file says.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"eiderway/system"
)

// Exit codes.
const (
	exitInOrder   = 0
	exitBadUse    = 1 // bad settings or use, or something that the machine refused
	exitInvariant = 2 // a state that can't be; also what the Go runtime ends a panic with
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
	case errors.Is(err, system.ErrInvariant):
		return exitInvariant
	}
	return exitBadUse
}

func root() *ffcli.Command {
	return &ffcli.Command{
		Name:        "eidersystem",
		ShortUsage:  "eidersystem <subcommand>",
		FlagSet:     newFlagSet("eidersystem"),
		Subcommands: []*ffcli.Command{runCommand(), checkCommand(), stateCommand(), versionCommand()},
		Exec:        helpOnly,
	}
}

// newFlagSet lets errors be told once, by execute.
func newFlagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	return flags
}

// helpOnly is for commands that need a subcommand.
func helpOnly(context.Context, []string) error { return flag.ErrHelp }
