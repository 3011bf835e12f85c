package gateway

import (
	"slices"
	"time"

	"eiderway/control/feed"
)

// isPresent tells whether the replica of a placement is there by the table held, at the same address.
func (d *directory) isPresent(placed placement) bool {
	target := d.services[placed.route.TargetService]
	if target == nil {
		return false
	}
	return slices.ContainsFunc(target.Instances, func(instance feed.Instance) bool {
		return instance.ID == placed.replica.ID && instance.Address == placed.replica.Address
	})
}

// mayBeginAt tells whether a read may be begun at the replica of a placement now: the last check before the bytes leave.
func (d *directory) mayBeginAt(now time.Duration, placed placement) bool {
	target := d.services[placed.route.TargetService]
	if target == nil || !d.leased(now) {
		return false
	}
	return slices.ContainsFunc(target.Instances, func(instance feed.Instance) bool {
		return instance.ID == placed.replica.ID && instance.Address == placed.replica.Address && !instance.Draining
	})
}

// mayBegin tells whether a first statement may be sent now under a placement made before: the last check before the
// bytes leave.
func (d *directory) mayBegin(now time.Duration, placed placement) bool {
	if !d.stillRouted(placed) {
		return false
	}
	if placed.atReplica() {
		return d.mayBeginAt(now, placed)
	}
	target := d.services[placed.route.TargetService]
	return d.leads(placed) && !target.Frozen && d.leased(now) && d.mayUse(now, target)
}

// mayOpen tells whether the first read or write of a transaction that has begun may be sent now: what the transaction does is
// begun with it.
func (d *directory) mayOpen(now time.Duration, placed placement) bool {
	if placed.atReplica() {
		return d.mayBeginAt(now, placed)
	}
	return d.leads(placed) && d.mayUse(now, d.services[placed.route.TargetService])
}

// mayUse tells whether the leader of a service is there, and hasn't drained for too long.
func (d *directory) mayUse(now time.Duration, target *service) bool {
	return target.address != "" && d.drains.MayBegin(now, target.leading)
}

// begunLate is by how much a statement that was sent under the placement at the time given is too late for an instance that drains.
func (d *directory) begunLate(sentAt time.Duration, placed placement) time.Duration {
	if placed.atReplica() {
		return d.drains.Passed(sentAt, d.instanceOf(placed))
	}
	if !d.leads(placed) {
		return 0
	}
	return d.drains.Passed(sentAt, d.services[placed.route.TargetService].leading)
}

// mayCommit tells whether a COMMIT may be sent now. While the service is frozen its open transactions may end: the
// freeze isn't acknowledged before they have.
func (d *directory) mayCommit(now time.Duration, placed placement) bool {
	if placed.atReplica() {
		return d.isPresent(placed) // it has read, and keeps nothing
	}
	return d.leads(placed) && d.leased(now)
}

// leads tells whether the instance of the placement leads its service by the table held.
func (d *directory) leads(placed placement) bool {
	target := d.services[placed.route.TargetService]
	return target != nil && sameLeader(placed.leader, target.Leader)
}

// goesOn tells whether a transaction that has begun may go on where it is.
func (d *directory) goesOn(placed placement) bool {
	if placed.atReplica() {
		return d.isPresent(placed)
	}
	return d.leads(placed)
}

// instanceOf is the replica of a placement as the table has it now, or as it was.
func (d *directory) instanceOf(placed placement) feed.Instance {
	if target := d.services[placed.route.TargetService]; target != nil {
		for _, instance := range target.Instances {
			if instance.ID == placed.replica.ID {
				return instance
			}
		}
	}
	return placed.replica
}

// conflicts tells whether what is under way at the instance of the placement must end before the table held is
// acknowledged: the service is frozen, or something else leads it.
func (d *directory) conflicts(placed placement) bool {
	if placed.atReplica() {
		return !d.isPresent(placed)
	}
	target := d.services[placed.route.TargetService]
	return !d.leads(placed) || target.Frozen
}

// lasted tells whether the right to use the leader has lasted without a break since the placement was checked: the
// lease still holds, had not run out meanwhile, and the leader is the same. The service may have been frozen since:
// nothing is promoted before this gateway acknowledges the freeze, and it does that when nothing is under way there.
func (d *directory) lasted(now time.Duration, placed placement) bool {
	if placed.atReplica() {
		return true // what it read is proven by the instance, whoever leads
	}
	return d.leads(placed) && d.leased(now) && d.lapses == placed.lapses
}

// checked is the placement as of now: its right is counted from here on.
func (d *directory) checked(placed placement) placement {
	placed.lapses = d.lapses
	return placed
}
