package simulation

import (
	"time"

	"eiderway/control/failover"
	"eiderway/role"
)

// statementOutcome is what an instance answers.
type statementOutcome int

const (
	statementDone     statementOutcome = iota
	statementReadOnly                  // not run: not the primary
	statementRefused                   // not run: nobody there, or another instance
	statementLost                      // the connection broke; it may have run
	statementLagging                   // not run: the log lacks the position
)

// statement is a read or a write that a client sent.
type statement struct {
	service     string
	write       bool
	bound       *role.Bound       // of a read that may be some time old; nil: it must see all that was acknowledged before
	own         entry             // the last commit of its session
	written     failover.Position // the position that the session was told with it
	after       failover.Position // at a replica: what its log must hold
	told        failover.Position // by the instance that ran it
	made        entry             // by a write
	sent        time.Duration     // first byte, at the client
	gateway     *gateway
	operation   *operation    // that counts for a tenant
	transaction *transaction  // nil: it stands alone
	tenant      string        // that the instance is told; "": nobody
	passed      time.Duration // when the gateway passed it on
	arrived     time.Duration // at an instance
	dropped     bool          // the gateway waits no longer: nobody hears the answer
}

// inside tells whether it belongs to a transaction that has begun before.
func (s *statement) inside() bool { return s.transaction != nil && s.transaction.open }

// begun is when what it belongs to was begun by the client.
func (s *statement) begun() time.Duration {
	if s.transaction != nil {
		return s.transaction.began
	}
	return s.sent
}

// run carries a statement from a gateway to an instance.
func (w *World) run(from string, target *instance, one *statement, answer func(statementOutcome)) {
	back := func(outcome statementOutcome) {
		w.network.send(target.id, from, func() { answer(outcome) })
	}
	w.network.send(from, target.id, func() {
		if target.frozen {
			return
		}
		if !target.running {
			back(statementRefused)
			return
		}
		w.judge.reached(target, one)
		one.arrived = w.now()
		life := target.life
		work := minStatementTime + w.jitter(minStatementTime)
		w.schedule.after(work, func() {
			if target.life != life || target.frozen {
				return
			}
			target.execute(one, back)
		})
	})
}

// hasPosition tells whether the log holds the entry at a position.
func (i *instance) hasPosition(position failover.Position) bool {
	return position.Number <= uint64(len(i.log)) && i.log[position.Number-1].term == position.Term
}

// execute runs a statement on the log as it is now.
func (i *instance) execute(one *statement, back func(statementOutcome)) {
	if !one.write {
		if one.after.Number > 0 && !i.hasPosition(one.after) {
			back(statementLagging)
			return
		}
		i.world.judge.ran(i, one)
		i.world.judge.read(i, one)
		one.told = i.position()
		back(statementDone)
		return
	}
	if !i.primary {
		back(statementReadOnly)
		return
	}
	i.world.judge.ran(i, one)
	i.world.commits++
	added := entry{term: i.term, number: uint64(len(i.log) + 1), commit: i.world.commits}
	i.log = append(i.log, added)
	one.made, one.told = added, i.position()
	i.world.judge.written(i, added, one)
	if i.service.syncReplicas == 0 {
		i.world.judge.committed(i, added, one)
		back(statementDone)
		return
	}
	i.waiting = append(i.waiting, &commitWait{entry: added, statement: one, answer: back})
	i.stream()
}
