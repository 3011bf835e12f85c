package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the disruptions by name. Each returns the violations that it found.
var cases = map[string]func(*deployment) ([]string, error){
	"late-beats":         lateBeats,
	"replaced-replica":   replacedReplica,
	"terminated-gateway": terminatedGateway,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: standin CASE RECORD")
		return couldNot
	}
	d, err := newDeployment(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	violations, err := cases[os.Args[1]](d)
	if err == nil {
		d.writeRecord()
	}
	d.stop()
	if err != nil {
		d.record.note("%v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	for _, violation := range violations {
		d.record.note("%s", violation)
	}
	d.record.note("%d violations", len(violations))
	fmt.Printf("%d violations\n", len(violations))
	if len(violations) > 0 {
		fmt.Println(violations[0])
		return broken
	}
	return held
}
