package simulation

import (
	"fmt"
	"time"

	"eiderway/control/access"
	"eiderway/control/feed"
	"eiderway/control/guard"
)

// Shape of transactions: as many reads as the rules allow, and longer than the time in which a key that was taken away is to be of no use.
const (
	transactionReads  = 12
	transactionPause  = 450 * time.Millisecond // between two reads, and up to twice that
	transactionsPause = 100 * time.Millisecond // between two transactions
)

// transaction is a row of reads at one leader, as a gateway knows it.
type transaction struct {
	began time.Duration // first byte of the first read
	open  bool          // the first read was answered
	life  int           // of the gateway
	at    *instance
	grant access.Grant
}

// transactor is a client that begins one transaction after the other.
type transactor struct {
	world   *World
	name    string
	tenant  string
	service string
	gateway int
}

func (t *transactor) next() {
	w := t.world
	begun := w.operationOf(t.tenant, fmt.Sprintf("%s %d", t.name, t.gateway))
	t.read(begun, &transaction{began: w.now()}, transactionReads)
}

// read sends the next read of a transaction, if any is left.
func (t *transactor) read(begun *operation, inside *transaction, left int) {
	w := t.world
	if left == 0 {
		t.pause()
		return
	}
	one := &statement{service: t.service, sent: w.now(), operation: begun, transaction: inside}
	ended := false
	finish := func(kind answerKind) {
		if ended {
			return
		}
		ended = true
		w.judge.clientAnswered(one, kind)
		if kind != answerDone {
			t.pause()
			return
		}
		w.schedule.after(transactionPause+w.jitter(transactionPause), func() { t.read(begun, inside, left-1) })
	}
	w.schedule.after(clientTimeout, func() {
		if !ended {
			t.gateway++
		}
		finish(answerInDoubt)
	})
	via := w.gateways[t.gateway%len(w.gateways)]
	w.askGateway(t.name, via, one, finish, func() {
		t.gateway++
		finish(answerBusy)
	})
}

func (t *transactor) pause() {
	w := t.world
	w.schedule.after(transactionsPause+w.jitter(transactionsPause), t.next)
}

// goesOn tells whether a transaction may go on: in the same life, at the instance that leads by the table held, under a key that is still good.
func (g *gateway) goesOn(inside *transaction, service *feed.Service) bool {
	if !inside.open || inside.life != g.life || service == nil || service.Frozen || service.Leader.InstanceID != inside.at.id {
		return false
	}
	unchecked := g.world.plan.Lacking.Has(guard.KeyInTransaction)
	return unchecked || g.access.IsGrantValid(inside.grant, g.trust(), g.world.now())
}

// open notes that the first read of a transaction was answered: the others follow it to the same instance.
func (g *gateway) open(one *statement, at *instance) {
	if inside := one.transaction; inside != nil && !inside.open {
		inside.open, inside.life, inside.at, inside.grant = true, g.life, at, g.grantOf(one)
	}
}

// takeInside serves a read of an open transaction: where it began, and outside the lease too.
func (g *gateway) takeInside(one *statement, answer func(answerKind)) {
	inside := one.transaction
	service := g.service(one.service)
	if !g.goesOn(inside, service) {
		inside.open = false
		answer(answerBusy)
		return
	}
	one.tenant = inside.grant.Tenant
	g.pass(one, service, inside.at, answer)
}
