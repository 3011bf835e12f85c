package registry

import (
	"time"

	"eiderway/control/guard"
	"eiderway/control/state"
)

// callOrder is the place of a heartbeat among the calls of its instance.
type callOrder int

const (
	late             callOrder = iota // a newer one has been accepted before
	repeated                          // the newest one, sent again
	newer                             // newer than all seen so far
	renumbered                        // the first one accepted after the instance began to number its calls from a low number again
	restartedProcess                  // renumbered, and the instance has warmed up since: its process was restarted
)

// isRenumbered tells whether the heartbeat is the first accepted one of a new numbering, which must be recorded.
func (o callOrder) isRenumbered() bool { return o == renumbered || o == restartedProcess }

// orderOf finds the place of a heartbeat. An acknowledged drain or leave ends only with a proven restart.
func orderOf(now time.Duration, seen *observation, record state.Instance, heartbeat Heartbeat, disabled guard.Set) callOrder {
	isWarmingUp := heartbeat.WarmupLeftMs > 0
	hasRestarted := seen.life.observe(now, heartbeat.CallSeq, isWarmingUp)
	hasEnded := (record.Draining || record.HasAnnouncedLeave()) && !disabled.Has(guard.RestartProven)
	switch {
	case hasEnded && hasRestarted:
		return restartedProcess
	case isLate(seen, record, heartbeat.CallSeq):
		order := orderOfLate(now, seen, record, heartbeat)
		if hasEnded && order == restartedProcess {
			return renumbered
		}
		return order
	case seen.hasSequence && heartbeat.CallSeq == seen.highest:
		return repeated
	default:
		return newer
	}
}

func isLate(seen *observation, record state.Instance, callSeq uint64) bool {
	if seen.hasSequence && callSeq < seen.highest {
		return true
	}
	return record.ID != "" && callSeq <= record.CallSeq
}

// orderOfLate finds out whether a heartbeat that seems late suggests that the instance was restarted.
func orderOfLate(now time.Duration, seen *observation, record state.Instance, heartbeat Heartbeat) callOrder {
	isWarmingUp := heartbeat.WarmupLeftMs > 0
	switch {
	case record.Lost && isWarmingUp:
		return restartedProcess
	case !seen.renumbering.observe(now, heartbeat.CallSeq, isWarmingUp):
		return late
	case seen.renumbering.sawWarmup:
		return restartedProcess
	}
	return renumbered
}
