package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

func stateCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "state",
		ShortUsage: "eidersystem state <check|dump|restore> PATH",
		ShortHelp:  "Look at, or restore, what a controller has on its disk, while it doesn't run.",
		FlagSet:    newFlagSet("state"),
		Exec:       helpOnly,
		Subcommands: []*ffcli.Command{
			stateSubcommand("check", "Check that the state is whole.", notBuiltIn),
			stateSubcommand("dump", "Write the state to standard output.", notBuiltIn),
			stateSubcommand("restore", "Make the state from a dump on standard input.", notBuiltIn),
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

func notBuiltIn(string) error { return eris.New("not in this version") }
