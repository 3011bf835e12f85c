package main

import (
	"cmp"
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"eiderway/system"
)

func checkCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "eidersystem check [FILE]",
		ShortHelp:  "Read a settings file and say what a process would do with it, without starting anything.",
		FlagSet:    newFlagSet("check"),
		Exec:       runCheck,
	}
}

func runCheck(_ context.Context, arguments []string) error {
	if len(arguments) > 1 {
		return eris.New("check takes one settings file")
	}
	path := settingsPath()
	if len(arguments) == 1 {
		path = arguments[0]
	}
	settings, err := system.Load(path)
	if err != nil {
		return err
	}
	role, err := roleOf(settings)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s: a %s, %s, in zone %s\n", path, role, settings.Name, settings.Zone)
	return err
}

func settingsPath() string {
	return cmp.Or(os.Getenv(system.PathVariable), system.DefaultPath)
}
