package main

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"eiderway/gossip/transport"
)

type key struct {
	New    keyNew    `cmd:"" help:"Make a key of this instance in a file, and print its public part."`
	Rotate keyRotate `cmd:"" help:"Make the next key beside one in use, or with --commit put it in its place."`
	Show   keyShow   `cmd:"" help:"Print the public part of a key, as settings have it, and its fingerprint."`
}

type keyNew struct {
	File string `arg:"" help:"A file that is not there yet." type:"path"`
}

func (k *keyNew) Run() error {
	public, err := transport.NewKey(k.File)
	if err != nil {
		return err
	}
	fmt.Println(transport.FormatKey(public))
	return nil
}

type keyRotate struct {
	File   string `arg:"" help:"The key's file in use." type:"path"`
	Commit bool   `help:"The next key is trusted everywhere: let it take the place of the one in use, which is kept as FILE.old."`
}

func (k *keyRotate) Run() error {
	next := k.File + ".next"
	if _, err := transport.ReadKey(k.File); err != nil {
		return err
	}
	if !k.Commit {
		public, err := transport.NewKey(next)
		if err != nil {
			return err
		}
		fmt.Println(transport.FormatKey(public))
		fmt.Fprintln(os.Stderr, "add it to this instance's keys under members everywhere, SIGHUP everywhere, then rotate with --commit")
		return nil
	}
	if _, err := transport.ReadKey(next); err != nil {
		return fmt.Errorf("there is no next key to put in place: %w", err)
	}
	// The file in use is there at every moment: a link to it first, then the next key over it.
	if err := os.Link(k.File, k.File+".old"); err != nil {
		return err
	}
	if err := os.Rename(next, k.File); err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "SIGHUP this instance; once peers hear it under the new key take the old one out of members everywhere")
	return nil
}

type keyShow struct {
	File string `arg:"" help:"A key's file." type:"path"`
}

func (k *keyShow) Run() error {
	private, err := transport.ReadKey(k.File)
	if err != nil {
		return err
	}
	public := private.Public().(ed25519.PublicKey)
	fmt.Println(transport.FormatKey(public), transport.Fingerprint(public))
	return nil
}

type peers struct {
	Socket string `help:"The router's admin socket." required:"" type:"path"`
	JSON   bool   `help:"The answer as it comes." name:"json"`
}

func (p *peers) Run() error {
	var s struct {
		transport.Status
		Error string `json:"error"`
	}
	text, err := ask(p.Socket, "peers", &s)
	if err == nil && s.Error != "" {
		err = fmt.Errorf("%s", s.Error)
	}
	if err != nil {
		return err
	}
	if p.JSON {
		_, err := os.Stdout.Write(text)
		return err
	}
	fmt.Printf("%s, %d peers, a quorum is a weight of %.0f; %d bytes in, %d out; turned away: %v\n", s.Name, len(s.Peers), s.Quorum, s.Bytes[0],
		s.Bytes[1], s.TurnedAway)
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "PEER\tADDRESS\tSTATE\tWEIGHT\tRIGHT\tWRONG\tACCUSES\tCLOCK\tKEYS")
	for _, x := range s.Peers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.2f\t%d\t%.1f\t%d\t%+.3fs\t%s\n", x.Name, x.Addr, map[bool]string{true: "gone", false: "there"}[x.Gone], x.Weight,
			x.Right, x.Wrong, x.Accuses, x.Skew, strings.Join(x.Keys, " "))
	}
	for _, n := range s.Nodes {
		fmt.Fprintf(table, "\nnode %s\t%s\town evidence: %.1f good, %.1f bad\tvoices: %s\n", n.Name,
			map[bool]string{true: "doubted", false: "not doubted"}[n.Suspected], n.Good, n.Bad, strings.Join(n.Accusers, " "))
	}
	return table.Flush()
}

// ask puts a question to a router's admin socket.
func ask(socket, question string, answer any) ([]byte, error) {
	text, err := askText(socket, question)
	if err != nil {
		return nil, err
	}
	return text, json.Unmarshal(text, answer)
}
