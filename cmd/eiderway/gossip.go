package main

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"eiderway/mesh"
)

type key struct {
	New  keyNew  `cmd:"" help:"Make a key of this instance in a file, and print its public part."`
	Show keyShow `cmd:"" help:"Print the public part of a key, as settings have it, and its fingerprint."`
}

type keyNew struct {
	File string `arg:"" help:"A file that is not there yet." type:"path"`
}

func (k *keyNew) Run() error {
	public, err := mesh.NewKey(k.File)
	if err != nil {
		return err
	}
	fmt.Println(mesh.ShowKey(public))
	return nil
}

type keyShow struct {
	File string `arg:"" help:"A key's file." type:"path"`
}

func (k *keyShow) Run() error {
	private, err := mesh.ReadKey(k.File)
	if err != nil {
		return err
	}
	public := private.Public().(ed25519.PublicKey)
	fmt.Println(mesh.ShowKey(public), mesh.Fingerprint(public))
	return nil
}

type peers struct {
	Socket string `help:"The router's admin socket." required:"" type:"path"`
	JSON   bool   `help:"The answer as it comes." name:"json"`
}

func (p *peers) Run() error {
	var s struct {
		mesh.Status
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
		s.Bytes[1], s.Turned)
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "PEER\tADDRESS\tSTATE\tWEIGHT\tRIGHT\tWRONG\tACCUSES\tCLOCK\tKEYS")
	for _, x := range s.Peers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.2f\t%d\t%.1f\t%d\t%+.3fs\t%s\n", x.Name, x.Addr, map[bool]string{true: "gone", false: "there"}[x.Gone], x.Weight,
			x.Right, x.Wrong, x.Accuses, x.Skew, strings.Join(x.Keys, " "))
	}
	for _, n := range s.Nodes {
		fmt.Fprintf(table, "\nnode %s\t%s\town evidence: %.1f good, %.1f bad\tvoices: %s\n", n.Name,
			map[bool]string{true: "doubted", false: "not doubted"}[n.Doubted], n.Good, n.Bad, strings.Join(n.Voices, " "))
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
