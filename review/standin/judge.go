package main

import (
	"fmt"
	"slices"

	"eiderway/systemtest/workload"
	"eiderway/testinstance"
)

// writeRecord writes down what clients sent and were answered, what servers ran and whom the platform promoted.
func (d *deployment) writeRecord() {
	if d.service == nil {
		return
	}
	if d.clients != nil {
		d.clients.Stop()
	}
	journal := d.service.Journal()
	for _, statement := range d.history.Statements() {
		d.record.note("client %d sent at %.3f %s %q, answered at %.3f: outcome %d code %q stamp %q", statement.Client,
			d.record.at(statement.Sent), statement.ID, statement.Text, d.record.at(statement.Answered), statement.Outcome, statement.Code, statement.Stamp)
	}
	for _, ran := range journal.Executions {
		d.record.note("%s ran at %.3f %s %q stamp %s end %v", ran.Instance, d.record.at(ran.At), ran.ID, ran.Text, ran.Stamp, ran.Log.End())
	}
	for _, call := range d.platform.Calls() {
		d.record.note("platform: call at %.3f for %s by %s fence %d: %d", d.record.at(call.At), call.InstanceID, call.Holder, call.Fence, call.Status)
	}
	for _, promotion := range journal.Promotions {
		d.record.note("promotion at %.3f of %s to term %d, log ends at %v", d.record.at(promotion.At), promotion.Instance, promotion.Term, promotion.Log.End())
	}
}

// acknowledgedWrites returns the writes and commits whose success a client has received.
func (d *deployment) acknowledgedWrites() []workload.Statement {
	return slices.DeleteFunc(d.history.Statements(), func(statement workload.Statement) bool {
		return statement.Outcome != workload.Done || len(statement.Writes) == 0
	})
}

// lostCommits returns, for each promotion, the commits that a client had been told of before and that the promoted server lacks.
func (d *deployment) lostCommits() []string {
	journal := d.service.Journal()
	stamps := map[string]testinstance.Execution{}
	for _, ran := range journal.Executions {
		stamps[ran.Stamp] = ran
	}
	var lost []string
	for _, promotion := range journal.Promotions {
		for _, write := range d.acknowledgedWrites() {
			ran := stamps[write.Stamp]
			if write.Answered.Before(promotion.At) && ran.Term < promotion.Term && !promotion.Log.Holds(ran.Log.End()) {
				lost = append(lost, fmt.Sprintf("LOST: %s %q, acknowledged at %.3f, is missing from the log of %s, promoted at %.3f to term %d",
					write.ID, write.Text, d.record.at(write.Answered), promotion.Instance, d.record.at(promotion.At), promotion.Term))
			}
		}
	}
	return lost
}
