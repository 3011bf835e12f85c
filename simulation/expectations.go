package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// failedExpectations gives the lines of the file that don't hold at the end:
//
//	expect order 12 acknowledged [before 20s | after 20s]
//	expect order 12 refused | open
//	expect configuration 12 [content a]
//	expect leader db = db2 | != db1
//	expect writes 20s 30s [20]          at least one (or so many) successful writes in that time
//	expect operations t1 20s 30s [100]  at least one (or so many) operations of a tenant that were run in that time
//	expect unknown-keys 20              at least so many statements refused for their keys
//	expect acting != c1
//	expect voter c4 | no-voter c2       by the acting controller's view
//	expect calls 2                      at most, to the platform
func (w *World) failedExpectations() []string {
	var failed []string
	for _, expected := range w.plan.Expectations {
		if why := w.unmet(expected.Words); why != "" {
			failed = append(failed, expected.Text+": "+why)
		}
	}
	return failed
}

func (w *World) unmet(words []string) string {
	switch words[0] {
	case "order":
		return w.unmetOrder(words[1:])
	case "configuration":
		return w.unmetConfiguration(words[1:])
	case "leader":
		return differs(w.service(words[1]).leader.id, words[2:])
	case "acting":
		return differs(w.actingName(), words[1:])
	case "writes":
		return unmetCount(w.judge.writes, words[1:])
	case "operations":
		return unmetCount(w.judge.arrivals(words[1]), words[2:])
	case "unknown-keys":
		if least, _ := strconv.Atoi(words[1]); w.judge.strangers < least {
			return fmt.Sprintf("there were %d", w.judge.strangers)
		}
	case "replica-reads":
		return unmetCount(w.judge.replicaReads, words[1:])
	case "give-ups":
		return differs(describeAll(w.giveUps), []string{"=", strings.Join(words[1:], " ")})
	case "voter", "no-voter":
		if w.isVoter(words[1]) != (words[0] == "voter") {
			return "it is otherwise"
		}
	case "calls":
		if most, _ := strconv.Atoi(words[1]); len(w.judge.calls) > most {
			return fmt.Sprintf("there were %d", len(w.judge.calls))
		}
	default:
		return "unknown word"
	}
	return ""
}

// describeAll says of each give-up in turn whether it was carried out.
func describeAll(carriedOut []bool) string {
	var words []string
	for _, one := range carriedOut {
		words = append(words, map[bool]string{true: "done", false: "refused"}[one])
	}
	return strings.Join(words, " ")
}

func differs(found string, words []string) string {
	if (found == words[1]) != (words[0] == "=") {
		return "it is " + found
	}
	return ""
}

func (w *World) unmetOrder(words []string) string {
	number, _ := strconv.ParseInt(words[0], 10, 64)
	content := ""
	if len(words) > 3 && words[1] == "content" {
		content = words[2]
		words = words[2:]
	}
	for _, one := range w.orders {
		if one.number == number && (content == "" || one.content == content) {
			return one.unmet(words[1], words[2:])
		}
	}
	return "it was never sent"
}

func (o *order) unmet(state string, limits []string) string {
	switch state {
	case "acknowledged":
		if o.acked < 0 {
			return "it was not"
		}
		return o.outside(limits)
	case "refused":
		if o.refused == 0 {
			return "it was not"
		}
	case "open":
		if o.acked >= 0 || o.refused != 0 {
			return "it is settled"
		}
	}
	return ""
}

func (o *order) outside(limits []string) string {
	if len(limits) < 2 {
		return ""
	}
	limit, _ := time.ParseDuration(limits[1])
	if (limits[0] == "before") != (o.acked < limit) {
		return fmt.Sprintf("it was at %.3fs", o.acked.Seconds())
	}
	return ""
}

func (w *World) unmetConfiguration(words []string) string {
	read := w.judge.lastRead
	number, _ := strconv.ParseInt(words[0], 10, 64)
	if read.number != number {
		return fmt.Sprintf("it is %d", read.number)
	}
	if len(words) == 3 && read.content != words[2] {
		return "its content is " + read.content
	}
	return ""
}

// unmetCount wants so many of the moments between two times: FROM TO [COUNT].
func unmetCount(moments []time.Duration, words []string) string {
	from, _ := time.ParseDuration(words[0])
	to, _ := time.ParseDuration(words[1])
	least := 1
	if len(words) > 2 {
		least, _ = strconv.Atoi(words[2])
	}
	count := 0
	for _, at := range moments {
		if at >= from && at < to {
			count++
		}
	}
	if count < least {
		return fmt.Sprintf("there were %d", count)
	}
	return ""
}

func (w *World) isVoter(name string) bool {
	acting := w.acting()
	if acting == nil {
		return false
	}
	view := acting.core.(statusTeller).Status().View
	for _, member := range view.Voters {
		if strings.HasPrefix(string(member.Incarnation), name+"-") {
			return true
		}
	}
	return false
}
