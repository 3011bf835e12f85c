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

// Evidence is the recorded history that Judge checks.
type Evidence struct {
	Statements []Statement
	Journal    testinstance.Journal
	Final      testinstance.Log // of the instance that is primary at the end
	DrainTime  time.Duration    // after an acknowledged departure; nothing may be begun at the instance later
	// MayRunLate reports whether an execution may come after the drain time, because its caller was stopped shortly before; nil: none may.
	MayRunLate func(testinstance.Execution) bool
}

// Judge returns the violations found, each with the name of its rule; none if all rules hold.
func Judge(evidence Evidence) []string {
	j := newJudge(evidence)
	j.checkOnlySentStatementsRan()
	j.checkSuccessesMatchExecutions()
	j.checkCommitsAreStoredOnce()
	j.checkPromisesOfNoEffect()
	j.checkPromotedHoldAcknowledged()
	j.checkReadsAreFresh()
	j.checkOnePrimary()
	j.checkDepartedAreUnused()
	return j.broken
}

type judge struct {
	Evidence
	broken []string
	asked  map[string]Statement              // by id
	stamps map[string]testinstance.Execution // by stamp
	stored map[string][]testinstance.Entry
}

func newJudge(evidence Evidence) *judge {
	j := &judge{
		Evidence: evidence,
		asked:    map[string]Statement{},
		stamps:   map[string]testinstance.Execution{},
		stored:   map[string][]testinstance.Entry{},
	}
	for _, statement := range evidence.Statements {
		j.asked[statement.ID] = statement
	}
	for _, ran := range evidence.Journal.Executions {
		j.stamps[ran.Stamp] = ran
	}
	for _, entry := range evidence.Final {
		j.stored[entry.ID] = append(j.stored[entry.ID], entry)
	}
	return j
}

func (j *judge) report(rule, format string, arguments ...any) {
	j.broken = append(j.broken, rule+": "+fmt.Sprintf(format, arguments...))
}

// checkOnlySentStatementsRan checks that instances ran only statements that a client sent, under their IDs and with their texts.
func (j *judge) checkOnlySentStatementsRan() {
	for _, ran := range j.Journal.Executions {
		asked, known := j.asked[ran.ID]
		if !known || !sameText(asked.Text, ran.Text) {
			j.report("UNASKED", "%s ran %q for %s", ran.Instance, ran.Text, ran.ID)
		}
	}
}

// sameText reports whether an instance ran the text that a client sent. Names of prepared statements may differ.
func sameText(asked, ran string) bool { return withoutName(asked) == withoutName(ran) }

func withoutName(text string) string {
	if !strings.HasPrefix(text, string(wire.Execute)+" ") {
		return text
	}
	return wire.RenameExecute(text, "")
}

// checkSuccessesMatchExecutions checks that each success carries the stamp and the rows of an execution of the same statement.
func (j *judge) checkSuccessesMatchExecutions() {
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

// checkCommitsAreStoredOnce checks that the final log holds every acknowledged commit, and none twice.
func (j *judge) checkCommitsAreStoredOnce() {
	for id, entries := range j.stored {
		if len(entries) > 1 {
			j.report("TWICE", "%s is in the log %d times", id, len(entries))
		}
		if !slices.Equal(entries[0].Writes, j.asked[id].Writes) {
			j.report("UNASKED", "%s committed %v", id, entries[0].Writes)
		}
	}
	for _, statement := range j.acknowledgedWrites() {
		if len(j.stored[statement.ID]) == 0 {
			j.report("LOST", "%s %q was acknowledged and is gone", statement.ID, statement.Text)
		}
	}
}

// acknowledgedWrites returns the acknowledged commits in the order of the acknowledgements.
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

// checkPromisesOfNoEffect checks that the final log holds nothing of a try whose answer promised no effect.
func (j *judge) checkPromisesOfNoEffect() {
	for _, statement := range j.Statements {
		if statement.Outcome == NoEffect && len(j.stored[statement.ID]) > 0 {
			j.report("REFUSED", "%s %q was answered with %s and is kept", statement.ID, statement.Text, statement.Code)
		}
	}
}

// checkPromotedHoldAcknowledged checks that a promoted instance holds every commit acknowledged before its promotion.
func (j *judge) checkPromotedHoldAcknowledged() {
	writes := j.acknowledgedWrites()
	for _, promotion := range j.Journal.Promotions {
		for _, write := range writes {
			if write.Answered.Before(promotion.At) && !promotion.Log.Holds(j.positionOf(write)) {
				j.report("LOST", "%s was promoted to term %d without %s", promotion.Instance, promotion.Term, write.ID)
			}
		}
	}
}

func (j *judge) positionOf(write Statement) failover.Position {
	log := j.stamps[write.Stamp].Log
	return log.End()
}

// acknowledgedUntil is the highest log position acknowledged up to a moment.
type acknowledgedUntil struct {
	at       time.Time
	position failover.Position
}

// checkReadsAreFresh checks that a read runs on a log that holds every commit acknowledged before the first byte of the read was sent.
func (j *judge) checkReadsAreFresh() {
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

// checkOnePrimary checks that no commit is acknowledged that an old primary made after the promotion of a newer one.
func (j *judge) checkOnePrimary() {
	promotions := slices.Clone(j.Journal.Promotions)
	slices.SortStableFunc(promotions, func(one, other testinstance.Promotion) int { return cmp.Compare(one.Term, other.Term) })
	for _, write := range j.acknowledgedWrites() {
		ran := j.stamps[write.Stamp]
		for _, promotion := range promotions {
			if promotion.Term > ran.Term && promotion.At.Before(ran.At) {
				j.report("ONE", "%s was committed at %s in term %d after %s led term %d", write.ID, ran.Instance, ran.Term, promotion.Instance, promotion.Term)
				break
			}
		}
	}
}

// checkDepartedAreUnused checks that no transaction or single statement begins at an instance once the drain time
// has passed since the acknowledgement of its departure.
func (j *judge) checkDepartedAreUnused() {
	gone := map[string]time.Time{}
	for _, departure := range j.Journal.Departures {
		gone[departure.Instance] = departure.At.Add(j.DrainTime)
	}
	for _, ran := range j.Journal.Executions {
		until, departed := gone[ran.Instance]
		if departed && ran.First && ran.At.After(until) && !j.isAllowedLate(ran) {
			j.report("DRAIN", "%s began at %s %v too late", ran.ID, ran.Instance, ran.At.Sub(until))
		}
	}
}

func (j *judge) isAllowedLate(ran testinstance.Execution) bool {
	return j.MayRunLate != nil && j.MayRunLate(ran)
}
