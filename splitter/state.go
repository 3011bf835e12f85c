package splitter

// This file holds the state of txn types, members, groups and txns, and the constants: (design) marks those of the routing design.

const (
	tickInterval        = 0.020 // s between checks of time limits: a few per shortest SLA time
	stallGap            = 0.2   // s between ticks that only a stall of the router itself explains
	positionMargin      = 0.004 // s, several times the rounding of positions
	ordinaryInterval    = 3.0   // s between probes of a member (design)
	urgentInterval      = 0.1   // s between probes in a failover window (design)
	failoverWindow      = 30.0  // s, maximum length of a failover window (design)
	settleTime          = 1.0   // s of the window left once an answer to a txn, not to a probe, has confirmed the primary
	heldProbePace       = 0.25  // share of the time writes have been held after which members are probed again for one of them
	heldProbeMax        = 1.0   // s, maximum time between probes of a member while writes are held
	asideProbeInterval  = 0.25  // s between probes of a member set aside: two take less than its rest
	probeCreditPerTxn   = 0.25  // probes that a txn pays for, beside those that it waits for
	positionProbes      = 2     // replicas probed at a time for their position: the second one saves a round
	firstProbeWait      = 0.05  // s that reads wait for the first probe of a member: several round trips
	scarceTime          = 5.0   // s for which idle connections are closed at once after a connection was refused
	failedProbesToLeave = 3     // failed probes in a row after which a member leaves the read set (design)
	goodProbesToRejoin  = 2     // answered probes after which it may rejoin (design)
	frozenRounds        = 3     // rounds of probes without any answer, counting the one under way, that freeze the role record (design)
	restTime            = 0.5   // s, minimum time a member is set aside, and maximum time a full one gets no submission
	restGrowthMax       = 16.0  // maximum factor on restTime for one that fails each trial: the longest outages last tens of seconds
	failureGain         = 0.2   // weight of the newest outcome in a node's failure rate
	failureLimit        = 0.5   // failure rate above which a node is set aside: most txns fail there
	failureRateAtTrial  = 0.4   // failure rate it rejoins with, so that one more failure sets it aside again
	paceGain            = 0.15  // weight of the newest latency in a node's pace: covers about the last dozen answers
	workGain            = 0.03  // weight of the newest latency in the usual latency of a txn type
	slowPace            = 0.25  // pace above which a node's limit shrinks, as a share of the SLA time
	sessionMemory       = 20.0  // s that a session's commit is remembered at least: few replicas lag more
	lagPace             = 0.8   // pace that a replica counts with when its lag reaches the bound
	limitStart          = 4.0   // limit on submissions in flight at a node that is not known yet
	limitMin            = 16.0  // submissions of all routers together at a node that is always slow: a few per core
	limitMax            = 64.0  // and at one that is never slow
	limitCutInterval    = 0.1   // s between cuts of a limit: answers must show the effect of the last cut first
	limitCut            = 0.85  // factor on the limit of a slow node
	coldCores           = 2.0   // assumed cores of a node, which no node reports: few have less
	choiceJitter        = 0.5   // width of the random part in the choice of a replica, so that equal routers choose differently
	goldenRatio         = 0.618 // steps of this size spread any number of routers and txns evenly over the turns
	workShare           = 5.0   // a txn is expected to take the SLA time divided by this, until answers tell
	quickShare          = 0.1   // share of answers that come within the quick latency of a txn type
	quickGain           = 0.2   // how far one answer moves that latency: covers the last few dozen
	overdueFactor       = 8.0   // an answer counts as lost after at least this many times its usual latency
	writeWaitShare      = 0.5   // share of its client's patience after which a write that was never sent is declined
	boundReserve        = 0.2   // share of a bound kept free where a position is estimated
	watchRetryDelay     = 1.0   // s, about, until a refused watch is retried; grows with each refusal
	watchRetryGrowth    = 4     // refusals until it grows no more: a third of the shortest time that routers may go without a retry
	forgetAfter         = 60.0  // s that a node is off the list until it is forgotten: an outdated list comes back sooner
	lagUnknown          = 1e12  // s of lag of a member that was never heard of: longer than any real one
	paceMin             = 0.02  // minimum pace a node counts with
	avoidBias           = 10.0  // how much busier a node counts for a txn that it has just failed
	comparedReplicas    = 2     // replicas compared where peers report loads: if all were compared, all routers would choose the same one
	primaryBias         = 1.5   // how much busier a primary counts among them: writes have nowhere else to go
	zoneBias            = 1.15  // a replica in another zone counts as this much busier
	retryDelayFirst     = 0.03  // s before a write is sent again to a primary that failed it, doubled each time
	retryDelayMax       = 0.25  // s, maximum of that delay
	recentSpan          = 2.0   // s over which counts of recent txns fade
	answeredFactor      = 1.2   // txns sent for each one answered in time: above 1, so that a queue drains and its end is noticed
	lateValueMin        = 0.5   // share of its value that a late answer must keep to be waited for in a crowd
	crowdThreshold      = 1.4   // answers in time per txn sent (quick ones twice) below which it is a crowd: normally half are quick
	ignoredTxns         = 1.0   // recent txns that prove nothing: one may be lost by chance, or be expensive
	reportAgeStart      = 0.1   // s, assumed age of a probe's report until reports of a primary tell
)

// typeStats is a txn type with the latencies observed for it.
type typeStats struct {
	TxnType
	work  float64 // s, usual latency
	free  float64 // s, the same at nodes that are not crowded
	quick float64 // s, latency that one answer in ten stays under
	base  float64 // s, the time that paces are shares of
}

// node is a member with its entry in the role record.
type node struct {
	Member
	group                        *group  // as it was first listed
	excluded, drained            bool    // is drained or gone; was listed as draining and has not restarted since
	claimedAt, deniedAt          float64 // latest time it was primary, and latest time it was not, by its own report
	pos, lag                     float64 // it has applied all commits up to this time; s it was behind at its last report
	lastAnswer, firstAnswer      float64 // last and first answer to a txn; the first is reset as a doubt ends
	refusedAt, fullUntil         float64 // when it last refused a connection, 0: it answered since; out of connections until then
	probedAt, probeFailedAt      float64 // when the last probe was sent, and the last one that failed
	known, probing, aside        bool    // it has reported its state; a probe is out; it is out of the read set
	probesFailed, probesAnswered int     // probes in a row that failed; that were answered since it was set aside
	restsUntil, nextRest         float64 // it does not rejoin before this; s it rests when its next trial fails
	failureRate                  float64 // share of recent txns that failed
	pace                         float64 // recent latency as a share of the SLA time
	limit, limitCutAt            float64 // maximum of own submissions in flight; when it was last cut
	notBefore, fullPause         float64 // no submission before this; s without submissions after it rejects one as full
	inFlight                     []*txn
	idleSince                    []float64 // for each connection that should be open and unused: since when
	goneSince, coldSince         float64   // since when it is off the list, 0: it is listed; when it last started cold
	doubtedUntil, doubtedSince   float64   // peers doubt it in this time
	peerLoad                     float64   // submissions of all routers there, as peers report
	down                         bool      // its process seemed gone
}

// group is a primary with its replicas, and the txns that wait for one of them.
type group struct {
	id                               int
	members                          []*node
	primary                          *node
	writesHeld                       bool                   // writes wait until a member proves that it is primary
	evidenceAfter, heldSince         float64                // proof must be newer than this; since when writes wait
	windowEnd                        float64                // end of the failover window
	active                           int                    // txns without a final answer, plus submissions in flight
	probeCredit                      float64                // probes that txns have paid for
	nextProbe, failedProbes          int                    // the member that is due first; failed probes in a row, of any member
	recent                           map[bool]*recentCounts // of writes (true) and reads (false)
	peersProbeUntil, peersReportedAt float64                // peers probe the members for all until then; their last report
	peerPrimary                      *node                  // the primary by their reports
	peerPrimaryAt                    float64                // as of when
	waiting                          map[int][]*txn         // by txn type
	// Commits of sessions, which their reads must see: recent ones, and older ones, which are dropped after a while.
	recentCommits, olderCommits map[int64]float64
	recentSince, forgottenUntil float64 // when recentCommits was begun; commits up to this time may be in neither map
}

// txn is a txn without a final answer, with its one submission in flight, if any.
type txn struct {
	Txn
	*typeStats
	group                    *group
	arrived                  float64
	turn                     float64 // its place, 0 to 1, in the turns at cold nodes
	tries                    int
	firstRunAt               float64 // when the first submission that may have run was sent; 0: none
	firstRunZone             int
	sentTo                   *node // where its submission is in flight; nil: nowhere
	sentAt                   float64
	newConnection, cancelled bool  // it needed a new connection; its submission was cancelled
	avoid                    *node // the last one to fail it
	cause                    Cause // why it waits
	hitOverload              bool  // it was rejected as full, timed out or shed
	answerStarted, ended     bool  // the answer has begun to flow to the client; it has its final answer
}
