package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

var version = "dev" // set by the linker in releases

func versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "eidersystem version",
		ShortHelp:  "Show the version.",
		FlagSet:    newFlagSet("version"),
		Exec: func(context.Context, []string) error {
			_, err := fmt.Println("eidersystem", version)
			return err
		},
	}
}
