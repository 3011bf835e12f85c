package quota

import (
	"math"
	"time"
)

const (
	// reserveLife is how long a gateway may use its reserve after it asked last: as long as a lease of the table, without which a gateway
	// begins nothing.
	reserveLife = 3 * time.Second
	// reserveMargin is for how much longer a reserve is counted: steady clocks may differ by as much in its life.
	reserveMargin = 100 * time.Millisecond
	// waitersShare is the part of a bucket that reserves leave to operations that wait.
	waitersShare = 0.3
)

// reserves are the operations of a tenant that gateways hold in reserve. What a gateway holds is counted until it can't be used any more,
// whether the gateway lives or not.
type reserves struct {
	byGateway map[string]reserve

	// unheard is the most that gateways may hold by earlier grants, but for those that have told what they hold. It is over at
	// unheardUntil.
	unheard      int
	unheardUntil time.Duration
	// hears: what a gateway tells that it holds is taken off unheard. Not so for a tenant that came while the bank was open: the gateway may
	// have told it while what it held could still be lent to others, before the tenant was taken out.
	hears bool
}

// reserve is the most that a gateway may hold.
type reserve struct {
	operations int
	until      time.Duration
}

// newReserves knows of no gateway. So much was lent at the most, and nothing later than at the time given.
func newReserves(from time.Duration, lent int, hears bool) *reserves {
	return &reserves{byGateway: map[string]reserve{}, unheard: lent, unheardUntil: from + reserveLife + reserveMargin, hears: hears}
}

// raise has gateways hold so many more operations. The limit may have been as high before, when what is unheard was lent.
func (r *reserves) raise(by int) { r.unheard += max(0, by) }

// room is how many operations the gateway may hold, of so many in all, beside what all others may hold.
func (r *reserves) room(now time.Duration, gateway string, most int) int {
	others := 0
	for name, held := range r.byGateway {
		switch {
		case held.until <= now:
			delete(r.byGateway, name)
		case name != gateway:
			others += held.operations
		}
	}
	if now < r.unheardUntil {
		others += r.unheard
	}
	return most - others
}

// hear takes in what a gateway holds, when it tells this bank for the first time.
func (r *reserves) hear(now time.Duration, gateway string, held int) {
	if known, found := r.byGateway[gateway]; r.hears && (!found || known.until <= now) {
		r.unheard = max(0, r.unheard-held)
	}
}

// reserve answers the part of a want that is about the gateway's reserve.
//
// A gateway that hasn't had an answer of this bank yet may have sent its request while an earlier bank could still grant to others what this
// gateway has used since. So what it holds stays as it is, and is counted only with its next request.
func (b *Allocator) reserve(now time.Duration, request Request, want Want, from *bucket, grant *Grant) {
	grant.Keep = want.Held
	if request.Gateway == "" || request.Bank != b.id {
		return
	}
	from.reserves.hear(now, request.Gateway, want.Held)
	room := from.reserves.room(now, request.Gateway, from.terms.reserve)
	grant.Keep = max(0, min(want.Held, room))
	spare := int(math.Floor(from.level - from.capacity*waitersShare))
	grant.Reserved = max(0, min(want.Reserve-grant.Keep, room-grant.Keep, spare))
	grant.ReserveLife = reserveLife
	from.level -= float64(grant.Reserved)
	from.reserves.byGateway[request.Gateway] = reserve{
		operations: max(want.Held, grant.Keep+grant.Reserved), // the answer may be lost
		until:      now + reserveLife + reserveMargin,
	}
	others := from.terms.reserve - room
	from.noteLent(now, others+from.reserves.byGateway[request.Gateway].operations)
}
