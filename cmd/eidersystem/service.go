package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/user"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"eiderway/host"
)

func serviceCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "service",
		ShortUsage:  "eidersystem service give-up --admin PATH NAME",
		ShortHelp:   "Decide about a service, at the running controller that is primary, on its machine.",
		FlagSet:     newFlagSet("service"),
		Exec:        showHelp,
		Subcommands: []*ffcli.Command{giveUpCommand()},
	}
}

func giveUpCommand() *ffcli.Command {
	flags := newFlagSet("give-up")
	socket := flags.String("admin", "", "the `PATH` of the controller's admin socket (run --admin)")
	by := flags.String("by", userName(), "`WHO` gives it up, for the record")
	return &ffcli.Command{
		Name:       "give-up",
		ShortUsage: "eidersystem service give-up --admin PATH [--by WHO] NAME",
		ShortHelp:  "Give up what the lost copies of a service may have held, so that another instance may lead.",
		LongHelp: "A service whose last copies are gone waits for them for ever, since an acknowledged commit may be in them alone.\n" +
			"This gives such commits up. The name of the service is asked for once more on standard input. It is refused while\n" +
			"a copy that could hold such a commit is there or may still return.",
		FlagSet: flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return eris.New("service give-up takes the name of one service")
			}
			if *socket == "" {
				return eris.New("service give-up: --admin PATH is missing: the path that the controller was started with")
			}
			return giveUp(ctx, *socket, arguments[0], *by, os.Stdin, os.Stdout)
		},
	}
}

func userName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// giveUp has the operator type the name of the service again, and then sends the request to the controller.
func giveUp(ctx context.Context, socket, service, by string, in io.Reader, out io.Writer) error {
	fmt.Fprintf(out, "What the lost copies of %s may have held will be gone. Type the name of the service again: ", service)
	line, err := bufio.NewReader(in).ReadString('\n')
	if err != nil && line == "" {
		return eris.New("service give-up: the name was not typed again; nothing was done")
	}
	request := host.GiveUpRequest{Service: service, Confirmation: strings.TrimSpace(line), By: by}
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "service give-up")
	}
	answer, err := callAdmin(ctx, socket, host.GiveUpPath, body)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "given up: %s\n", answer)
	return nil
}

// callAdmin posts to the controller over its admin socket, and returns the body of the answer.
func callAdmin(ctx context.Context, socket, path string, body []byte) (string, error) {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://controller"+path, bytes.NewReader(body))
	if err != nil {
		return "", eris.Wrap(err, "admin call")
	}
	answer, err := client.Do(request)
	if err != nil {
		return "", eris.Wrap(err, "admin call")
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", eris.Wrap(err, "admin call: the outcome is not known; look into the controller's log")
	}
	if answer.StatusCode != http.StatusOK {
		return "", eris.Errorf("refused (%d): %s", answer.StatusCode, text)
	}
	return string(text), nil
}
