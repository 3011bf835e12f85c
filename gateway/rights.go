package gateway

import (
	"slices"
	"time"

	"eiderway/control/feed"
)

// isPresent tells whether the replica of a placement is there by the table held, at the same address.
func (d *directory) hasReplica(placement placement) bool {
	target := d.services[placement.route.TargetService]
	if target == nil {
		return false
	}
	return slices.ContainsFunc(target.Instances, func(instance feed.Instance) bool {
		return instance.ID == placement.replica.ID && instance.Address == placement.replica.Address
	})
}

// mayBeginAt tells whether a read may be begun at the replica of a placement now: the last check before the bytes leave.
func (d *directory) mayBeginAtReplica(now time.Duration, placement placement) bool {
	target := d.services[placement.route.TargetService]
	if target == nil || !d.hasLease(now) {
		return false
	}
	return slices.ContainsFunc(target.Instances, func(instance feed.Instance) bool {
		return instance.ID == placement.replica.ID && instance.Address == placement.replica.Address && !instance.Draining
	})
}

// mayBegin tells whether a first statement may be sent now under a placement made before: the last check before the
// bytes leave.
func (d *directory) mayBegin(now time.Duration, placement placement) bool {
	if !d.stillRouted(placement) {
		return false
	}
	if placement.atReplica() {
		return d.mayBeginAtReplica(now, placement)
	}
	target := d.services[placement.route.TargetService]
	return d.isLeader(placement) && !target.Frozen && d.hasLease(now) && d.mayUseLeader(now, target)
}

// mayOpen tells whether the first read or write of a transaction that has begun may be sent now: what the transaction does is
// begun with it.
func (d *directory) mayOpen(now time.Duration, placement placement) bool {
	if placement.atReplica() {
		return d.mayBeginAtReplica(now, placement)
	}
	return d.isLeader(placement) && d.mayUseLeader(now, d.services[placement.route.TargetService])
}

// mayUse tells whether the leader of a service is there, and hasn't drained for too long.
func (d *directory) mayUseLeader(now time.Duration, target *service) bool {
	return target.address != "" && d.drains.MayBegin(now, target.leaderInstance)
}

// begunLate is by how much a statement that was sent under the placement at the time given is too late for an instance that drains.
func (d *directory) lateness(sentAt time.Duration, placement placement) time.Duration {
	if placement.atReplica() {
		return d.drains.Passed(sentAt, d.currentReplica(placement))
	}
	if !d.isLeader(placement) {
		return 0
	}
	return d.drains.Passed(sentAt, d.services[placement.route.TargetService].leaderInstance)
}

// mayCommit tells whether a COMMIT may be sent now. While the service is frozen its open transactions may end: the
// freeze isn't acknowledged before they have.
func (d *directory) mayCommit(now time.Duration, placement placement) bool {
	if placement.atReplica() {
		return d.hasReplica(placement) // it has read, and keeps nothing
	}
	return d.isLeader(placement) && d.hasLease(now)
}

// leads tells whether the instance of the placement leads its service by the table held.
func (d *directory) isLeader(placement placement) bool {
	target := d.services[placement.route.TargetService]
	return target != nil && sameLeader(placement.leader, target.Leader)
}

// goesOn tells whether a transaction that has begun may go on where it is.
func (d *directory) mayContinue(placement placement) bool {
	if placement.atReplica() {
		return d.hasReplica(placement)
	}
	return d.isLeader(placement)
}

// instanceOf is the replica of a placement as the table has it now, or as it was.
func (d *directory) currentReplica(placement placement) feed.Instance {
	if target := d.services[placement.route.TargetService]; target != nil {
		for _, instance := range target.Instances {
			if instance.ID == placement.replica.ID {
				return instance
			}
		}
	}
	return placement.replica
}

// conflicts tells whether what is under way at the instance of the placement must end before the table held is
// acknowledged: the service is frozen, or something else leads it.
func (d *directory) conflicts(placement placement) bool {
	if placement.atReplica() {
		return !d.hasReplica(placement)
	}
	target := d.services[placement.route.TargetService]
	return !d.isLeader(placement) || target.Frozen
}

// lasted tells whether the right to use the leader has lasted without a break since the placement was checked: the
// lease still holds, had not run out meanwhile, and the leader is the same. The service may have been frozen since:
// nothing is promoted before this gateway acknowledges the freeze, and it does that when nothing is under way there.
func (d *directory) remainedValid(now time.Duration, placement placement) bool {
	if placement.atReplica() {
		return true // what it read is proven by the instance, whoever leads
	}
	return d.isLeader(placement) && d.hasLease(now) && d.leaseLapses == placement.leaseLapses
}

// checked is the placement as of now: its right is counted from here on.
func (d *directory) renewed(placement placement) placement {
	placement.leaseLapses = d.leaseLapses
	return placement
}
