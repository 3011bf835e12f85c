package simulation

import (
	"fmt"
	"time"
)

// serviceRecord is what was seen of a service's commits.
type serviceRecord struct {
	answered []entry                // commits that an instance has answered and no promote has cut back
	acked    []ackedCommit          // that clients know of, in the order of the acknowledgements
	byWrite  map[*statement]written // writes under way
	late     map[uint64]bool        // commits made at an old primary after a promote
}

type ackedCommit struct {
	at      time.Duration
	highest entry // of all acknowledged up to now: a log that holds it holds the others
}

type written struct {
	entry entry
	at    time.Duration
	by    *instance
}

func (j *Judge) record(service string) *serviceRecord {
	found := j.services[service]
	if found == nil {
		found = &serviceRecord{byWrite: map[*statement]written{}, late: map[uint64]bool{}}
		j.services[service] = found
	}
	return found
}

func holds(log []entry, one entry) bool {
	return one.number == 0 || one.number <= uint64(len(log)) && log[one.number-1] == one
}

// written notes a commit as it is made.
func (j *Judge) written(i *instance, added entry, one *statement) {
	record := j.record(i.service.name)
	record.byWrite[one] = written{entry: added, at: j.world.now(), by: i}
	if i.service.leader != i {
		record.late[added.commit] = true
	}
}

// committed notes that an instance answers a commit with success. It counts if the gateway still waits for the answer.
func (j *Judge) committed(i *instance, added entry, one *statement) {
	record := j.record(i.service.name)
	if i.service.leader == i && !one.dropped {
		record.answered = append(record.answered, added)
	}
}

// clientAnswered notes what a client gets.
func (j *Judge) clientAnswered(one *statement, kind answerKind) {
	switch kind {
	case answerBusy:
		j.busy++
	case answerInDoubt:
		j.doubt++
	case answerDone:
		j.served++
	case answerUnknownKey:
		j.strangers++
	}
	if !one.write {
		return
	}
	record := j.record(one.service)
	made, found := record.byWrite[one]
	delete(record.byWrite, one)
	if kind == answerBusy && found {
		j.broken(ruleOne, "a write was committed though its client was told BUSY")
	}
	if kind != answerDone {
		return
	}
	j.writes = append(j.writes, j.world.now())
	if !found {
		j.broken(ruleLost, "a write was acknowledged that no instance made")
		return
	}
	j.acknowledged(record, one, made)
}

func (j *Judge) acknowledged(record *serviceRecord, one *statement, made written) {
	if record.late[made.entry.commit] {
		j.judgeOne(one, made)
		return
	}
	leader := j.world.service(one.service).leader
	if !holds(leader.log, made.entry) {
		j.broken(ruleLost, fmt.Sprintf("commit %d of %s was acknowledged and %s, which leads now, lacks it", made.entry.number, one.service, leader.id))
		return
	}
	highest := made.entry
	if count := len(record.acked); count > 0 && record.acked[count-1].highest.number > highest.number {
		highest = record.acked[count-1].highest
	}
	record.acked = append(record.acked, ackedCommit{at: j.world.now(), highest: highest})
}

// judgeOne excuses a sender that was frozen or in trouble shortly before, or that was held up.
func (j *Judge) judgeOne(one *statement, made written) {
	slack := j.world.plan.Bounds.ThawSlack
	heldUp := made.at-one.passed > slack
	if heldUp || one.gateway.frozen || one.passed-one.gateway.lastTrouble < slack {
		return
	}
	j.broken(ruleOne, fmt.Sprintf("a write was committed at %s after a promote and acknowledged", made.by.id))
}

// read looks at the log that a read runs on.
func (j *Judge) read(i *instance, one *statement) {
	record := j.record(i.service.name)
	horizon := one.begun()
	if one.bound != nil {
		horizon -= one.bound.Staleness
		j.boundedReads(i, one)
	}
	for index := len(record.acked) - 1; index >= 0; index-- {
		known := record.acked[index]
		if known.at >= horizon {
			continue
		}
		if !holds(i.log, known.highest) {
			j.broken(ruleStale, fmt.Sprintf("a read ran at %s, which lacks commit %d acknowledged before", i.id, known.highest.number))
		}
		return
	}
}

// givenUp forgets what an operator has given up: whatever the lost copies held.
func (j *Judge) givenUp(service string) {
	record := j.record(service)
	record.answered, record.acked = nil, nil
}

// boundedReads looks at a read that may be some time old: whatever its bound, it sees what its own session committed if it must. Commits that a
// promote cut back don't count.
func (j *Judge) boundedReads(i *instance, one *statement) {
	if !i.primary {
		j.replicaReads = append(j.replicaReads, j.world.now())
	}
	lost := !holds(i.service.leader.log, one.own)
	if one.bound.OwnWrites && !lost && !holds(i.log, one.own) {
		j.broken(ruleStale, fmt.Sprintf("a read ran at %s, which lacks commit %d of its own session", i.id, one.own.number))
	}
}

// promoted looks at the log of the instance that takes over.
func (j *Judge) promoted(service *service, old, target *instance, sent *sentCall) {
	sent.effect = j.world.now()
	record := j.record(service.name)
	var kept []entry
	for _, commit := range record.answered {
		if holds(target.log, commit) {
			kept = append(kept, commit)
			continue
		}
		if service.syncReplicas > 0 {
			j.broken(ruleLost, fmt.Sprintf("%s is promoted over %s and lacks commit %d of %s", target.id, old.id, commit.number, service.name))
		}
	}
	record.answered = kept
	var acked []ackedCommit
	for _, commit := range record.acked {
		if holds(target.log, commit.highest) {
			acked = append(acked, commit)
		}
	}
	record.acked = acked
}

// firstServed is when service is expected at the latest: the first configuration is sent some seconds into the day.
const firstServed = 6 * time.Second

// longestOutage is the longest time without the success of a write.
func (j *Judge) longestOutage(end time.Duration) time.Duration {
	longest, last := time.Duration(0), firstServed
	for _, at := range append(j.writes, end) {
		longest = max(longest, at-last)
		last = max(last, at)
	}
	return longest
}
