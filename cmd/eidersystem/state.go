package main

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"eiderway/control/store"
)

func stateCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "state",
		ShortUsage: "eidersystem state <check|dump|restore> PATH",
		ShortHelp:  "Look at, or restore, what a controller has on its disk, while it doesn't run.",
		FlagSet:    newFlagSet("state"),
		Exec:       showHelp,
		Subcommands: []*ffcli.Command{
			stateSubcommand("check", "Check that the file is whole, and say what it holds.", checkState),
			stateSubcommand("dump", "Write what the file holds to standard output, as lines of JSON.", dumpState),
			stateSubcommand("restore", "Make the file from a dump on standard input.", restoreState),
		},
	}
}

func stateSubcommand(name, help string, act func(path string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "eidersystem state " + name + " PATH",
		ShortHelp:  help,
		FlagSet:    newFlagSet(name),
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return eris.Errorf("state %s takes one path", name)
			}
			return act(arguments[0])
		},
	}
}

func checkState(path string) error { return store.Inspect(path, os.Stdout) }

func dumpState(path string) error { return store.Dump(path, os.Stdout) }

func restoreState(path string) error { return store.Restore(os.Stdin, path) }
