package controller

import (
	"hash/fnv"
	"strconv"

	"eiderway/control/failover"
	"eiderway/control/quorum"
	"eiderway/control/registry"
	"eiderway/control/replication"
	"eiderway/control/state"
)

// Heartbeats are spread over all controllers, because those of thousands of instances would be the primary's largest load. A backup
// acknowledges heartbeats that change nothing, and forwards them to the primary a few times a second. What must be committed before it
// is acknowledged, such as a drain or another address, goes to the primary itself.

// maxForwardedHeartbeats bounds what a backup collects between two messages to the primary. Further heartbeats are redirected to the
// primary. If a message to the primary is lost, it hears of the instances with their next heartbeats.
const maxForwardedHeartbeats = 4096

// acceptAsBackup accepts a heartbeat if this controller is a backup that follows the primary, and the heartbeat agrees with its copy of the
// instance's record.
func (c *Controller) acceptAsBackup(heartbeat registry.Heartbeat) bool {
	if c.term != nil || len(c.heartbeatsToForward) >= maxForwardedHeartbeats {
		return false
	}
	if _, follows := c.node.FollowedPrimary(); !follows {
		return false
	}
	record, found := state.InstanceByID(c.node, heartbeat.InstanceID)
	if !found || !heartbeat.IsRoutine(record) {
		return false
	}
	c.heartbeatsToForward = append(c.heartbeatsToForward, replication.ForwardedHeartbeat{
		InstanceID: heartbeat.InstanceID, CallSeq: heartbeat.CallSeq, Role: heartbeat.DBRole, WarmupLeftMs: heartbeat.WarmupLeftMs,
	})
	return true
}

// forwardHeartbeats sends the primary the heartbeats accepted here since the last time.
func (c *Controller) forwardHeartbeats() {
	if len(c.heartbeatsToForward) == 0 {
		return
	}
	if primary, follows := c.node.FollowedPrimary(); follows {
		c.effects.Send = append(c.effects.Send, replication.Envelope{
			To:      primary.Address,
			Message: replication.Message{From: c.self, To: primary.Incarnation, Beats: c.heartbeatsToForward},
		})
	}
	c.heartbeatsToForward = nil
}

// handleForwardedHeartbeats handles heartbeats that a backup accepted. One that changes something after all becomes a command.
func (c *Controller) handleForwardedHeartbeats(forwarded []replication.ForwardedHeartbeat) {
	if c.term == nil {
		return
	}
	transaction := state.NewTransaction(c.node).DisableGuards(c.settings.DisabledGuards)
	for _, accepted := range forwarded {
		record, found := state.InstanceByID(c.node, accepted.InstanceID)
		if !found {
			continue
		}
		heartbeat := registry.RoutineHeartbeat(record, accepted.CallSeq, accepted.Role, accepted.WarmupLeftMs)
		result := c.term.registry.Heartbeat(c.now, transaction, heartbeat)
		switch {
		case result.Changed && len(c.term.commands) < maxQueuedCommands:
			c.enqueue(command{kind: recordHeartbeat, heartbeat: heartbeat})
		case result.Fresh:
			c.stepFailover(failover.Heartbeat{
				InstanceID: heartbeat.InstanceID,
				Service:    heartbeat.TargetService,
				Primary:    heartbeat.DBRole == registry.Primary,
			})
		}
	}
}

// heartbeatTarget returns the controller to which an instance is to send its later heartbeats: a copy that was heard from lately, in the
// instance's zone if there is one. A hash of the instance ID picks it, so that it stays the same from heartbeat to heartbeat. An instance
// that isn't ready stays with the primary.
func (c *Controller) heartbeatTarget(heartbeat registry.Heartbeat) quorum.Member {
	if heartbeat.OperState != registry.Ready {
		return c.self
	}
	live := c.node.LiveCopies()
	var sameZone []quorum.Member
	for _, member := range live {
		if member.Zone == heartbeat.Zone {
			sameZone = append(sameZone, member)
		}
	}
	if len(sameZone) > 0 {
		live = sameZone
	}
	if len(live) == 0 {
		return c.self
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(heartbeat.InstanceID))
	return live[int(sum.Sum32()%uint32(len(live)))]
}

// heartbeatReplyBody names the controller to which later heartbeats are to go.
func heartbeatReplyBody(target quorum.Member) []byte {
	return []byte(`{"beatTarget":` + strconv.Quote(target.Control) + `}`)
}
