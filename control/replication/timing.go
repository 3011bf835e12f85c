package replication

import "time"

const (
	// heartbeat lets five heartbeats be lost before an election, and wakes each member at most five times a second.
	heartbeat = 200 * time.Millisecond
	// electionAfter leaves room for two syncs of a slow disk (0.3 s each) and some lost messages.
	electionAfter = time.Second
	// electionStep is longer than a round trip between regions, so that the next voter hears of the first candidate before it
	// stands itself.
	electionStep = 150 * time.Millisecond
	// copyLostAfter covers a change that waits for two syncs of a slow disk, and is still short for an operator who waits.
	copyLostAfter = 900 * time.Millisecond
	// voterLostAfter is longer than a restart or a usual freeze: only members that don't come back are to be voted out.
	voterLostAfter = 8 * time.Second
	// replaceAfter is short, since a replacement is ready, but longer than a restart.
	replaceAfter = 2500 * time.Millisecond
	// ownDiskAfter is below electionAfter: a primary whose disk hangs steps down before callers give up.
	ownDiskAfter = 800 * time.Millisecond
	// joinRetry keeps the wait of a new controller short; only new controllers send these requests.
	joinRetry = 300 * time.Millisecond
)

// DefaultTiming returns intervals for machines of one region, also if one disk is thirty times slower than usual.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:      heartbeat,
		ElectionAfter:  electionAfter,
		ElectionStep:   electionStep,
		CopyLostAfter:  copyLostAfter,
		VoterLostAfter: voterLostAfter,
		ReplaceAfter:   replaceAfter,
		OwnDiskAfter:   ownDiskAfter,
		JoinRetry:      joinRetry,
	}
}
