package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"eiderway/proxy"
	"eiderway/zone"
)

type zoneCmd struct {
	Status zoneStatus `cmd:"" help:"Tell which zones are used, by what share of the routers, and what was ordered by hand."`
	Leave  zoneLeave  `cmd:"" help:"Have all routers leave a zone, until it is returned to by hand; exit code 4: no router took the order in time."`
	Return zoneReturn `cmd:"" help:"Have all routers return to a zone, in growing shares; also takes back a leave that is under way."`
	Hold   zoneHold   `cmd:"" help:"Have a zone stay as it is, whatever evidence says."`
	Auto   zoneAuto   `cmd:"" help:"End a hold: evidence decides again."`
}

type zoneStatus struct {
	onSocket
	JSON bool `help:"The answer as it comes." name:"json"`
}

func (z *zoneStatus) Run() error {
	var states []zone.State
	text, err := askList(z.Socket, "zone status", &states)
	if err != nil {
		return err
	}
	if z.JSON {
		_, err := os.Stdout.Write(text)
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tNODES\tSHARE\tUSED HERE\tBY\tHAND\tBAD\tLATE\tGOOD\tROUTERS WITH TROUBLE\tFAILED RETURNS")
	for _, x := range states {
		by := "own sums"
		if x.Holder >= 0 {
			by = fmt.Sprintf("router %d", x.Holder)
		}
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%t\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", x.Zone, x.Nodes, x.Share, x.Uses, by, x.Hand, x.Bad, x.Late, x.Good, x.Voices, x.Flaps)
	}
	return table.Flush()
}

// askList is ask for an answer that is a list, or an object with an error.
func askList(socket, question string, into any) ([]byte, error) {
	var raw json.RawMessage
	text, err := ask(socket, question, &raw)
	if err != nil {
		return nil, err
	}
	var e struct{ Error string }
	if json.Unmarshal(raw, &e) == nil && e.Error != "" {
		return nil, errors.New(e.Error)
	}
	return text, json.Unmarshal(raw, into)
}

type zoneOrder struct {
	onSocket
	Zone string        `arg:"" help:"A zone of the list."`
	Wait time.Duration `help:"How long to wait until a word of the router that numbers the steps has the order." default:"6s"`
}

// run hands an order over and shows how far it is.
func (z *zoneOrder) run(what string) error {
	nc, err := net.Dial("unix", z.Socket)
	if err != nil {
		return err
	}
	defer nc.Close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		nc.Close()
	}()
	if _, err := fmt.Fprintf(nc, "zone %s %s\n", what, z.Zone); err != nil {
		return err
	}
	until := time.Now().Add(z.Wait)
	nc.SetReadDeadline(until)
	was := ""
	for in := bufio.NewScanner(nc); ; {
		if !in.Scan() {
			if time.Now().After(until) {
				return exit{exitNotGot, "no router that numbers the steps took the order in time; nothing was ordered, or its word has not come here"}
			}
			return errors.New("the router has gone, or the order was left to itself")
		}
		var s proxy.ZoneState
		if err := json.Unmarshal(in.Bytes(), &s); err != nil {
			return err
		}
		if s.Error != "" {
			return errors.New(s.Error)
		}
		if s.Obeyed {
			nc.SetReadDeadline(time.Time{})
		}
		state := map[bool]string{true: "ordered", false: "asked for"}[s.Obeyed]
		if line := fmt.Sprintf("%s %s: %s, used by %.3f of the routers", what, z.Zone, state, s.Share); line != was {
			fmt.Println(line)
			was = line
		}
		if s.Done {
			return nil
		}
	}
}

type zoneLeave struct {
	zoneOrder
	Dry bool `help:"Only tell what the others were seen to bear, as this router has seen it."`
}

func (z *zoneLeave) Run() error {
	if !z.Dry {
		return z.run("leave")
	}
	var b struct {
		zone.LeaveEstimate
		Error string
	}
	if _, err := ask(z.Socket, "zone bears "+z.Zone, &b); err != nil {
		return err
	}
	if b.Error != "" {
		return errors.New(b.Error)
	}
	fmt.Printf("this router: %.1f answers a second in all, %.1f of them from zone %s\n", b.Now, b.Moves, b.Zone)
	verdict := "were seen to bear it"
	if b.Seen < b.Now {
		verdict = "were not seen to bear so much: that they can is not known"
	}
	fmt.Printf("the other zones have given up to %.1f a second while they were well; they %s\n", b.Seen, verdict)
	if len(b.Stays) > 0 {
		fmt.Printf("groups with members in %s only go on there: %s\n", b.Zone, strings.Trim(fmt.Sprint(b.Stays), "[]"))
	}
	return nil
}

type zoneReturn struct{ zoneOrder }

func (z *zoneReturn) Run() error { return z.run("return") }

type zoneHold struct{ zoneOrder }

func (z *zoneHold) Run() error { return z.run("hold") }

type zoneAuto struct{ zoneOrder }

func (z *zoneAuto) Run() error { return z.run("auto") }
