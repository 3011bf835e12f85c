package registry

import (
	"time"

	"eiderway/control/state"
)

// order of a beat among those of its instance.
type order int

const (
	late      order = iota // a newer one was taken before
	again                  // the newest one, sent again
	newer                  // newer than all that were seen
	restarted              // the first one that counts since the instance numbers its calls anew
	reborn                 // the same, and it has warmed up meanwhile: its process was started anew
)

// countsAnew tells whether the number of the beat is the first of a new count that must be recorded.
func (o order) countsAnew() bool { return o == restarted || o == reborn }

func orderOf(now time.Duration, seen *sighting, record state.Instance, beat Heartbeat) order {
	switch {
	case isLate(seen, record, beat.CallSeq):
		return orderOfLate(now, seen, record, beat)
	case seen.counted && beat.CallSeq == seen.highest:
		return again
	default:
		return newer
	}
}

func isLate(seen *sighting, record state.Instance, callSeq uint64) bool {
	if seen.counted && callSeq < seen.highest {
		return true
	}
	return record.ID != "" && callSeq <= record.CallSeq
}

// orderOfLate finds out whether a beat that seems late shows that the instance was started again.
func orderOfLate(now time.Duration, seen *sighting, record state.Instance, beat Heartbeat) order {
	warming := beat.WarmupLeftMs > 0
	switch {
	case record.Lost && warming:
		return reborn
	case !seen.anew.follow(now, beat.CallSeq, warming):
		return late
	case seen.anew.warmed:
		return reborn
	}
	return restarted
}
