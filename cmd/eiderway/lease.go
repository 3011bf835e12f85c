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

	"eiderway/lease"
	"eiderway/proxy"
)

// Exit codes beside 0 and 1, for scripts.
const (
	exitLost   = 3 // a task that was held is not any more
	exitNotGot = 4 // it was not to be had in time
)

type leaseCmd struct {
	Hold    leaseHold    `cmd:"" help:"Hold a task until SIGINT or SIGTERM; exit code 3: it was lost, 4: not had in time."`
	Status  leaseStatus  `cmd:"" help:"Tell who holds what, under which token, and for how long."`
	Tell    leaseTell    `cmd:"" help:"Give the holder's word to all routers; this router must hold the task."`
	Give    leaseGive    `cmd:"" help:"Hand a task that this router holds to another router."`
	Release leaseRelease `cmd:"" help:"Have this router give a task up."`
}

// exit ends with a code of its own.
type exit struct {
	code int
	text string
}

func (e exit) Error() string { return e.text }

type onSocket struct {
	Socket string `help:"The router's admin socket." required:"" type:"path"`
}

// stream puts a question and hands on each line of the answer, until f is done or the router ends it.
func (o *onSocket) stream(question string, stop <-chan os.Signal, f func(proxy.LeaseState) (done bool, err error)) error {
	nc, err := net.Dial("unix", o.Socket)
	if err != nil {
		return err
	}
	defer nc.Close()
	if _, err := fmt.Fprintln(nc, question); err != nil {
		return err
	}
	lines := make(chan proxy.LeaseState)
	ended := make(chan struct{})
	left := make(chan struct{})
	defer close(left)
	go func() {
		defer close(ended)
		for in := bufio.NewScanner(nc); in.Scan(); {
			var s proxy.LeaseState
			if json.Unmarshal(in.Bytes(), &s) != nil {
				return
			}
			select {
			case lines <- s:
			case <-left:
				return
			}
		}
	}()
	for {
		select {
		case <-stop:
			return nil
		case <-ended:
			return errors.New("the router has gone")
		case s := <-lines:
			if s.Error != "" {
				return errors.New(s.Error)
			}
			if done, err := f(s); done || err != nil {
				return err
			}
		}
	}
}

// once puts a question that has one answer.
func (o *onSocket) once(question string) error {
	return o.stream(question, nil, func(proxy.LeaseState) (bool, error) { return true, nil })
}

type leaseHold struct {
	onSocket
	Task string        `arg:"" help:"One of the tasks in the settings."`
	Wait time.Duration `help:"How long to wait for it; 0: for as long as it takes." default:"0s"`
}

func (l *leaseHold) Run() error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	held := false
	if l.Wait > 0 {
		late := time.AfterFunc(l.Wait, func() { stop <- os.Interrupt })
		defer late.Stop()
		err := l.wait(stop, &held, late)
		if err == nil && !held {
			return exit{exitNotGot, "the task was not to be had in time"}
		}
		return err
	}
	return l.wait(stop, &held, nil)
}

// wait follows the task until it is lost or a signal comes.
func (l *leaseHold) wait(stop <-chan os.Signal, held *bool, late *time.Timer) error {
	err := l.stream("lease hold "+l.Task, stop, func(s proxy.LeaseState) (bool, error) {
		switch s.State {
		case "held":
			if late != nil {
				late.Stop()
			}
			*held = true
			fmt.Printf("held token=%d at=%s\n", s.Token, time.Now().Format(time.RFC3339Nano))
		case "lost":
			fmt.Printf("lost token=%d at=%s\n", s.Token, time.Now().Format(time.RFC3339Nano))
			return true, exit{exitLost, "the task is held no more"}
		}
		return false, nil
	})
	if err != nil && *held && !errors.As(err, new(exit)) {
		return exit{exitLost, err.Error()}
	}
	return err
}

type leaseStatus struct {
	onSocket
	JSON bool `help:"The answer as it comes." name:"json"`
}

func (l *leaseStatus) Run() error {
	var s struct {
		Me    int          `json:"me"`
		Seats []lease.Seat `json:"seats"`
		Error string       `json:"error"`
	}
	text, err := ask(l.Socket, "lease status", &s)
	if err == nil && s.Error != "" {
		err = errors.New(s.Error)
	}
	if err != nil {
		return err
	}
	if l.JSON {
		_, err := os.Stdout.Write(text)
		return err
	}
	fmt.Printf("router %d\n", s.Me)
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "TASK\tSLOT\tHOLDER\tTOKEN\tLEFT\tCOUNCIL\tWANTED HERE\tCHANGES\tHEARD BY\tWORD")
	for _, x := range s.Seats {
		holder := "not known here"
		if x.Holder >= 0 {
			holder = fmt.Sprint(x.Holder)
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%.2fs\t%s\t%t\t%d\t%d\t%s\n", x.Task, x.Slot, holder, x.Token, x.Left,
			strings.Trim(fmt.Sprint(x.Council), "[]"), x.Wanted, x.Changes, x.Heard, x.Text)
	}
	return table.Flush()
}

type leaseTell struct {
	onSocket
	Task string `arg:"" help:"A task that this router holds."`
	Text string `arg:"" help:"At most 170 bytes, in one line."`
}

func (l *leaseTell) Run() error {
	if strings.ContainsAny(l.Text, "\n\r") {
		return errors.New("a word is in one line")
	}
	return l.once("lease tell " + l.Task + " " + l.Text)
}

type leaseGive struct {
	onSocket
	Task   string `arg:"" help:"A task that this router holds."`
	Router int    `arg:"" help:"The number of the router that is to hold it."`
}

func (l *leaseGive) Run() error { return l.once(fmt.Sprintf("lease give %s %d", l.Task, l.Router)) }

type leaseRelease struct {
	onSocket
	Task string `arg:"" help:"One of the tasks in the settings."`
}

func (l *leaseRelease) Run() error { return l.once("lease release " + l.Task) }

type drainCmd struct {
	onSocket
	What string `arg:"" optional:"" enum:",status,cancel" default:"" help:"status: how far it is; cancel: return to service. Nothing: drain, and tell how far until no client is left."`
}

func (d *drainCmd) Run() error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	was := proxy.LeaseState{}
	return d.stream(strings.TrimSpace("drain "+d.What), stop, func(s proxy.LeaseState) (bool, error) {
		if s != was {
			fmt.Printf("%s, %d clients, %d txns\n", s.State, s.Open, s.Out)
		}
		was = s
		if d.What == "" && s.State == "serving" {
			return true, errors.New("the drain was cancelled")
		}
		return d.What != "" || s.State == "drained", nil
	})
}
