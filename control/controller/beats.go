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

// Heartbeats are spread over the controllers: thousands of instances would cost the primary more than anything else. A backup takes those that say
// nothing new, and tells the primary of them a few times a second. Whatever must be recorded or acknowledged as a promise, a drain or another address,
// goes to the primary itself.

// mostBeatNotes bounds what a backup keeps between two words to the primary. An instance whose beat isn't told is told of with its next.
const mostBeatNotes = 4096

// takesForPrimary takes a beat at a backup that follows the primary and whose copy says the same of the instance.
func (c *Controller) takesForPrimary(beat registry.Heartbeat) bool {
	if c.term != nil || len(c.beats) >= mostBeatNotes {
		return false
	}
	if _, follows := c.node.FollowedPrimary(); !follows {
		return false
	}
	record, found := state.InstanceByID(c.node, beat.InstanceID)
	if !found || !beat.IsPlain(record) {
		return false
	}
	c.beats = append(c.beats, replication.ForwardedHeartbeat{
		InstanceID: beat.InstanceID, CallSeq: beat.CallSeq, Role: beat.DBRole, WarmupLeftMs: beat.WarmupLeftMs,
	})
	return true
}

// sendBeatNotes tells the primary of the beats taken since the last time.
func (c *Controller) sendBeatNotes() {
	if len(c.beats) == 0 {
		return
	}
	if primary, follows := c.node.FollowedPrimary(); follows {
		c.effects.Send = append(c.effects.Send, replication.Envelope{
			To:      primary.Address,
			Message: replication.Message{From: c.self, To: primary.Incarnation, Beats: c.beats},
		})
	}
	c.beats = nil
}

// takeBeatNotes takes beats that a backup took. One that turns out to change something is decided on like any other.
func (c *Controller) takeBeatNotes(notes []replication.ForwardedHeartbeat) {
	if c.term == nil {
		return
	}
	transaction := state.NewTransaction(c.node).Lacking(c.settings.DisabledGuards)
	for _, note := range notes {
		record, found := state.InstanceByID(c.node, note.InstanceID)
		if !found {
			continue
		}
		beat := registry.PlainBeat(record, note.CallSeq, note.Role, note.WarmupLeftMs)
		taken := c.term.registry.Heartbeat(c.now, transaction, beat)
		switch {
		case taken.Changed && len(c.term.commands) < commandsWaiting:
			c.queue(command{kind: takeBeat, heartbeat: beat})
		case taken.Fresh:
			c.stepFailover(failover.Heartbeat{
				InstanceID: beat.InstanceID,
				Service:    beat.TargetService,
				Primary:    beat.DBRole == registry.Primary,
			})
		}
	}
}

// beatTarget is the controller to which an instance is to send its later beats: a copy that was heard lately, in its zone if there is one, the same
// for each beat. One that goes is the primary's.
func (c *Controller) beatTarget(beat registry.Heartbeat) quorum.Member {
	if beat.OperState != registry.Ready {
		return c.self
	}
	live := c.node.LiveCopies()
	var near []quorum.Member
	for _, member := range live {
		if member.Zone == beat.Zone {
			near = append(near, member)
		}
	}
	if len(near) > 0 {
		live = near
	}
	if len(live) == 0 {
		return c.self
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(beat.InstanceID))
	return live[int(sum.Sum32()%uint32(len(live)))]
}

// beatBody names the controller for later beats.
func beatBody(target quorum.Member) []byte {
	return []byte(`{"beatTarget":` + strconv.Quote(target.Control) + `}`)
}
