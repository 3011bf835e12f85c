package quota

import (
	"math"
	"time"
)

const (
	// reserveLife is how long a gateway may use its reserve after its last request: as long as a lease of the table, without which a
	// gateway begins nothing.
	reserveLife = 3 * time.Second
	// reserveMargin is how much longer than that the allocator counts a reserve: monotonic clocks may differ by as much in its life.
	reserveMargin = 100 * time.Millisecond
	// waitersShare is the share of a bucket's capacity that reserves leave to operations that wait.
	waitersShare = 0.3
)

// tenantReserves are the operations of a tenant that gateways hold in reserve. What a gateway holds is counted until it can't be used any
// more, whether the gateway is still running or not.
type tenantReserves struct {
	byGateway map[string]gatewayReserve

	// unreported is the most that gateways may hold by earlier grants and haven't reported to this allocator. It ends at unreportedUntil.
	unreported      int
	unreportedUntil time.Duration
	// acceptsReports: what a gateway reports that it holds is taken off unreported. Not so for a tenant that was added while the allocator
	// was open: the gateway may have reported it before the tenant was removed, and what it held may have been granted to others since.
	acceptsReports bool
}

// gatewayReserve is the most that a gateway may hold, and until when.
type gatewayReserve struct {
	operations int
	until      time.Duration
}

// newTenantReserves knows of no gateway. At most the given number of operations was granted before, the last of them at the given time.
func newTenantReserves(from time.Duration, unreported int, acceptsReports bool) *tenantReserves {
	return &tenantReserves{
		byGateway: map[string]gatewayReserve{}, unreported: unreported, unreportedUntil: from + reserveLife + reserveMargin,
		acceptsReports: acceptsReports,
	}
}

// raiseUnreported follows a limit that is raised: it may have been as high before, when the unreported operations were granted.
func (r *tenantReserves) raiseUnreported(by int) { r.unreported += max(0, by) }

// room is how many of maxReserve operations are left for the gateway beside what all others may hold. It is negative if they hold more.
func (r *tenantReserves) room(now time.Duration, gateway string, maxReserve int) int {
	others := 0
	for name, held := range r.byGateway {
		switch {
		case held.until <= now:
			delete(r.byGateway, name)
		case name != gateway:
			others += held.operations
		}
	}
	if now < r.unreportedUntil {
		others += r.unreported
	}
	return maxReserve - others
}

// acceptReport takes what a gateway holds off unreported when the gateway reports it to this allocator for the first time.
func (r *tenantReserves) acceptReport(now time.Duration, gateway string, held int) {
	if known, found := r.byGateway[gateway]; r.acceptsReports && (!found || known.until <= now) {
		r.unreported = max(0, r.unreported-held)
	}
}

// grantReserve answers the part of a want that is about the gateway's reserve.
//
// A gateway that hasn't had an answer of this allocator yet may have sent its request while an earlier allocator could still grant to
// others what this gateway has used since. So what it holds stays as it is, and is counted only with its next request.
func (a *Allocator) grantReserve(now time.Duration, request Request, want Want, from *bucket, grant *Grant) {
	grant.Keep = want.Held
	if request.Gateway == "" || request.Bank != a.id {
		return
	}
	from.reserves.acceptReport(now, request.Gateway, want.Held)
	room := from.reserves.room(now, request.Gateway, from.maxReserve)
	grant.Keep = max(0, min(want.Held, room))
	spare := int(math.Floor(from.level - from.capacity*waitersShare))
	grant.Reserved = max(0, min(want.Reserve-grant.Keep, room-grant.Keep, spare))
	grant.ReserveLife = reserveLife
	from.level -= float64(grant.Reserved)
	from.reserves.byGateway[request.Gateway] = gatewayReserve{
		operations: max(want.Held, grant.Keep+grant.Reserved), // the answer may be lost
		until:      now + reserveLife + reserveMargin,
	}
	others := from.maxReserve - room
	from.noteReserved(now, others+from.reserves.byGateway[request.Gateway].operations)
}
