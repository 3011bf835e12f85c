package replication

import "time"

const (
	// heartbeat: five words go missing before a primary is doubted; at most five wake-ups a second for each member.
	heartbeat = 200 * time.Millisecond
	// electionAfter leaves room for two of a slowed disk's syncs (0.3 s each) and some lost words.
	electionAfter = time.Second
	// electionStep is longer than a round trip between regions, so that the first candidate is heard before the next stands.
	electionStep = 150 * time.Millisecond
	// copyLostAfter covers a change that waits behind two syncs of a slowed disk, and is well within an operator's patience.
	copyLostAfter = 900 * time.Millisecond
	// voterLostAfter is longer than a restart or a usual freeze: voting out is for members that don't come back.
	voterLostAfter = 8 * time.Second
	// replaceAfter is short because a successor already waits; a restart takes less.
	replaceAfter = 2500 * time.Millisecond
	// ownDiskAfter is below electionAfter: a primary with a hanging disk is gone before callers give up.
	ownDiskAfter = 800 * time.Millisecond
	// joinRetry keeps a newcomer's wait short; only newcomers pay for it.
	joinRetry = 300 * time.Millisecond
)

// DefaultTiming returns the intervals that suit machines of one region, also with one disk that is thirty times slowed.
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
