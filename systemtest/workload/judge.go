package workload

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"eiderway/control/failover"
	"eiderway/testinstance"
	"eiderway/wire"
)

// Evidence is all that a judge looks at.
type Evidence struct {
	Statements []Statement
	Journal    testinstance.Journal
	Final      testinstance.Log // of the instance that leads at the end
	DrainTime  time.Duration    // after which nothing may be begun at an instance that has said that it goes
	// MayRunLate says of what an instance ran that its caller stood still just before, so that it may come too late; nil: of nothing.
	MayRunLate func(testinstance.Execution) bool
}

// Judge returns the rules that were broken, each with what breaks it; none if all were kept.
func Judge(evidence Evidence) []string {
	j := newJudge(evidence)
	j.instancesRanWhatWasAsked()
	j.successesAreTrue()
	j.commitsAreKeptOnce()
	j.promisesAreKept()
	j.promotedHoldAcknowledged()
	j.readsAreFresh()
	j.onePrimary()
	j.departedAreLeftAlone()
	return j.broken
}

type judge struct {
	Evidence
	broken []string
	asked  map[string]Statement              // by id
	stamps map[string]testinstance.Execution // by stamp
	kept   map[string][]testinstance.Entry
}

func newJudge(evidence Evidence) *judge {
	j := &judge{
		Evidence: evidence,
		asked:    map[string]Statement{},
		stamps:   map[string]testinstance.Execution{},
		kept:     map[string][]testinstance.Entry{},
	}
	for _, statement := range evidence.Statements {
		j.asked[statement.ID] = statement
	}
	for _, ran := range evidence.Journal.Executions {
		j.stamps[ran.Stamp] = ran
	}
	for _, entry := range evidence.Final {
		j.kept[entry.ID] = append(j.kept[entry.ID], entry)
	}
	return j
}

func (j *judge) report(rule, format string, arguments ...any) {
	j.broken = append(j.broken, rule+": "+fmt.Sprintf(format, arguments...))
}

// instancesRanWhatWasAsked: only what a client sent, with its id and text.
func (j *judge) instancesRanWhatWasAsked() {
	for _, ran := range j.Journal.Executions {
		asked, known := j.asked[ran.ID]
		if !known || !sameText(asked.Text, ran.Text) {
			j.report("UNASKED", "%s ran %q for %s", ran.Instance, ran.Text, ran.ID)
		}
	}
}

// sameText tells whether an instance's statement is a client's. Prepared names may differ.
func sameText(asked, ran string) bool { return withoutName(asked) == withoutName(ran) }

func withoutName(text string) string {
	if !strings.HasPrefix(text, string(wire.Execute)+" ") {
		return text
	}
	return wire.RenameExecute(text, "")
}

// successesAreTrue: with the stamp and the rows of the instance that ran just this statement.
func (j *judge) successesAreTrue() {
	for _, statement := range j.Statements {
		if statement.Outcome != Done {
			continue
		}
		ran, known := j.stamps[statement.Stamp]
		if !known || ran.ID != statement.ID || !slices.Equal(ran.Rows, statement.Rows) {
			j.report("MIXED", "%s %q succeeded with stamp %q, rows %q", statement.ID, statement.Text, statement.Stamp, statement.Rows)
		}
	}
}

// commitsAreKeptOnce: what was acknowledged is there, and nothing is there twice.
func (j *judge) commitsAreKeptOnce() {
	for id, entries := range j.kept {
		if len(entries) > 1 {
			j.report("TWICE", "%s is in the log %d times", id, len(entries))
		}
		if !slices.Equal(entries[0].Writes, j.asked[id].Writes) {
			j.report("UNASKED", "%s committed %v", id, entries[0].Writes)
		}
	}
	for _, statement := range j.acknowledgedWrites() {
		if len(j.kept[statement.ID]) == 0 {
			j.report("LOST", "%s %q was acknowledged and is gone", statement.ID, statement.Text)
		}
	}
}

// acknowledgedWrites are the commits that their clients know of, in the order in which these heard.
func (j *judge) acknowledgedWrites() []Statement {
	var writes []Statement
	for _, statement := range j.Statements {
		if statement.Outcome == Done && len(statement.Writes) > 0 {
			writes = append(writes, statement)
		}
	}
	slices.SortStableFunc(writes, func(one, other Statement) int { return one.Answered.Compare(other.Answered) })
	return writes
}

// promisesAreKept: nothing is kept of a try of which that was promised.
func (j *judge) promisesAreKept() {
	for _, statement := range j.Statements {
		if statement.Outcome == NoEffect && len(j.kept[statement.ID]) > 0 {
			j.report("REFUSED", "%s %q was answered with %s and is kept", statement.ID, statement.Text, statement.Code)
		}
	}
}

// promotedHoldAcknowledged: whoever is promoted has all that clients knew by then to be committed.
func (j *judge) promotedHoldAcknowledged() {
	writes := j.acknowledgedWrites()
	for _, promote := range j.Journal.Promotions {
		for _, write := range writes {
			if write.Answered.Before(promote.At) && !promote.Log.Holds(j.positionOf(write)) {
				j.report("LOST", "%s was promoted to term %d without %s", promote.Instance, promote.Term, write.ID)
			}
		}
	}
}

func (j *judge) positionOf(write Statement) failover.Position {
	log := j.stamps[write.Stamp].Log
	return log.End()
}

// acknowledgedUntil is the furthest position of what was acknowledged until a moment.
type acknowledgedUntil struct {
	at       time.Time
	position failover.Position
}

// readsAreFresh: a read runs on a log that holds all that was acknowledged before its first byte.
func (j *judge) readsAreFresh() {
	var known []acknowledgedUntil
	var furthest failover.Position
	for _, write := range j.acknowledgedWrites() {
		if at := j.positionOf(write); furthest.Less(at) {
			furthest = at
		}
		known = append(known, acknowledgedUntil{at: write.Answered, position: furthest})
	}
	for _, read := range j.Statements {
		if read.Outcome != Done || !strings.HasPrefix(read.Text, string(wire.Fetch)) && !strings.HasPrefix(read.Text, executeFetch) {
			continue
		}
		count, _ := slices.BinarySearchFunc(known, read.Began, func(one acknowledgedUntil, began time.Time) int { return one.at.Compare(began) })
		if count > 0 && !j.stamps[read.Stamp].Log.Holds(known[count-1].position) {
			j.report("STALE", "%s read without %v", read.ID, known[count-1].position)
		}
	}
}

// onePrimary: what is committed at an old primary after a promote isn't acknowledged.
func (j *judge) onePrimary() {
	promotes := slices.Clone(j.Journal.Promotions)
	slices.SortStableFunc(promotes, func(one, other testinstance.Promotion) int { return cmp.Compare(one.Term, other.Term) })
	for _, write := range j.acknowledgedWrites() {
		ran := j.stamps[write.Stamp]
		for _, promote := range promotes {
			if promote.Term > ran.Term && promote.At.Before(ran.At) {
				j.report("ONE", "%s was committed at %s in term %d after %s led term %d", write.ID, ran.Instance, ran.Term, promote.Instance, promote.Term)
				break
			}
		}
	}
}

// departedAreLeftAlone: no statement is begun at an instance later than the drain time after its end was acknowledged.
func (j *judge) departedAreLeftAlone() {
	gone := map[string]time.Time{}
	for _, departure := range j.Journal.Departures {
		gone[departure.Instance] = departure.At.Add(j.DrainTime)
	}
	for _, ran := range j.Journal.Executions {
		until, departed := gone[ran.Instance]
		if departed && ran.First && ran.At.After(until) && !j.isExcused(ran) {
			j.report("DRAIN", "%s began at %s %v too late", ran.ID, ran.Instance, ran.At.Sub(until))
		}
	}
}

func (j *judge) isExcused(ran testinstance.Execution) bool { return j.MayRunLate != nil && j.MayRunLate(ran) }
