package gateway

import (
	"slices"
	"time"

	"eiderway/control/feed"
)

// hasReplica reports whether the current table has the placement's replica at the same address.
func (d *directory) hasReplica(placement placement) bool {
	target := d.services[placement.route.TargetService]
	if target == nil {
		return false
	}
	return slices.ContainsFunc(target.Instances, func(instance feed.Instance) bool {
		return instance.ID == placement.replica.ID && instance.Address == placement.replica.Address
	})
}

// mayBeginAtReplica reports whether a read may begin at the placement's replica now. It is checked last before the
// bytes are sent.
func (d *directory) mayBeginAtReplica(now time.Duration, placement placement) bool {
	target := d.services[placement.route.TargetService]
	if target == nil || !d.hasLease(now) {
		return false
	}
	return slices.ContainsFunc(target.Instances, func(instance feed.Instance) bool {
		return instance.ID == placement.replica.ID && instance.Address == placement.replica.Address && !instance.Draining
	})
}

// mayBegin reports whether a first statement may be sent now under a placement made before. It is checked last before
// the bytes are sent.
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

// mayOpen reports whether the first read or write of a begun transaction may be sent now. At a draining instance the
// work of a transaction counts as begun with that statement, not with its BEGIN.
func (d *directory) mayOpen(now time.Duration, placement placement) bool {
	if placement.atReplica() {
		return d.mayBeginAtReplica(now, placement)
	}
	return d.isLeader(placement) && d.mayUseLeader(now, d.services[placement.route.TargetService])
}

// mayUseLeader reports whether the leader of a service is present and statements may still begin there if it is
// draining.
func (d *directory) mayUseLeader(now time.Duration, target *service) bool {
	return target.address != "" && d.drains.MayBegin(now, target.leaderInstance)
}

// lateness returns by how much a statement sent at sentAt missed the deadline of a draining instance; zero or less if
// it was in time.
func (d *directory) lateness(sentAt time.Duration, placement placement) time.Duration {
	if placement.atReplica() {
		return d.drains.Overdue(sentAt, d.currentReplica(placement))
	}
	if !d.isLeader(placement) {
		return 0
	}
	return d.drains.Overdue(sentAt, d.services[placement.route.TargetService].leaderInstance)
}

// mayCommit reports whether a COMMIT may be sent now. Open transactions of a frozen service may end, since the freeze
// isn't acknowledged before they have.
func (d *directory) mayCommit(now time.Duration, placement placement) bool {
	if placement.atReplica() {
		return d.hasReplica(placement) // it has only read, so the commit keeps nothing
	}
	return d.isLeader(placement) && d.hasLease(now)
}

// isLeader reports whether the placement's leader still leads the service by the current table.
func (d *directory) isLeader(placement placement) bool {
	target := d.services[placement.route.TargetService]
	return target != nil && sameLeader(placement.leader, target.Leader)
}

// mayContinue reports whether a transaction that has begun may continue where it is.
func (d *directory) mayContinue(placement placement) bool {
	if placement.atReplica() {
		return d.hasReplica(placement)
	}
	return d.isLeader(placement)
}

// currentReplica returns the placement's replica as it is in the current table, or as it was when placed.
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

// conflicts reports whether work in flight under the placement must end before the current table is acknowledged,
// because the service is frozen or another instance leads it.
func (d *directory) conflicts(placement placement) bool {
	if placement.atReplica() {
		return !d.hasReplica(placement)
	}
	target := d.services[placement.route.TargetService]
	return !d.isLeader(placement) || target.Frozen
}

// remainedValid reports whether the right to use the leader has lasted without a break since the placement was checked:
// the lease holds and had not run out meanwhile, and the leader is the same. The service may have been frozen since: no
// instance is promoted before this gateway acknowledges the freeze, which it does only when nothing is in flight there.
func (d *directory) remainedValid(now time.Duration, placement placement) bool {
	if placement.atReplica() {
		return true // the replica itself proves what it read, whoever leads
	}
	return d.isLeader(placement) && d.hasLease(now) && d.leaseLapses == placement.leaseLapses
}

// withCurrentLease returns the placement with its right counted from now on.
func (d *directory) withCurrentLease(placement placement) placement {
	placement.leaseLapses = d.leaseLapses
	return placement
}
