// Command standin2 plays the cases of the second review that the bench can't play as a day. It starts the project's programs as processes
// of their own, and stands in for clients, database instances and the platform.
package main

import (
	"fmt"
	"os"
)

// Exit codes, as the cases' scripts return them.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the cases by their names. Each reports whether the rule was broken. Without trouble it does the same without the disruption.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"quick-restart":            quickRestart,
	"sigterm-open-transaction": sigtermOpenTransaction,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin2 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	r := newRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble: %v", name, trouble)
	broken, err := cases[name](r, trouble)
	code := ruleHeld
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		code = notRun
	case broken:
		r.add("the rule was broken")
		code = ruleBroken
	default:
		r.add("the rule held")
	}
	if err := r.save(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return code
}
