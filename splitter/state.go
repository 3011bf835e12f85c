package splitter

// This file owns the numbers, and what is kept of txn types, members, groups and txns. It decides nothing.

const (
	tick         = 0.020 // s between looks at clocks: a few per shortest SLA time
	stall        = 0.2   // s between ticks that only a stall of the router itself explains
	margin       = 0.004 // s, several times what positions are rounded to
	ordinary     = 3.0   // s between probes of a member (design)
	hurried      = 0.1   // s between probes in a failover window (design)
	window       = 30.0  // s that a failover window lasts at most (design)
	settle       = 1.0   // s of window left once an answer, not a probe, has confirmed the primary
	heldPace     = 0.25  // share of the time writes have been held until members are asked again for one of them
	slowest      = 1.0   // s between probes of a member while writes are held at most
	asideProbe   = 0.25  // s between probes of a member set aside: two take less than its rest
	probeShare   = 0.25  // probes that a txn pays for beside those that it waits for
	askWidth     = 2     // replicas asked at a time for a proof of position: the second spares a step
	firstWait    = 0.05  // s that reads wait for a first look at a member: several ways there and back
	scarce       = 5.0   // s for which connections are given back at once after one was refused
	badProbes    = 3     // failed probes in a row until a member leaves the read set (design)
	goodProbes   = 2     // good ones until it rejoins (design)
	frozenRounds = 3     // rounds without any answer, the last one begun, that freeze the role record (design)
	rest         = 0.5   // s a member set aside stays there at least, and a full one is left alone at most
	restMost     = 16.0  // times that, for one that fails each trial: the longest outages are tens of seconds
	failGain     = 0.2   // weight of the newest outcome in a node's share of failures
	failLimit    = 0.5   // share of failures from which a node is set aside: it fails most
	failTrial    = 0.4   // share it comes back with, so that one more failure sets it aside again
	paceGain     = 0.15  // weight of the newest latency in a node's pace: about the last dozen answers
	workGain     = 0.03  // weight of the newest latency in what a txn type usually takes
	slowPace     = 0.25  // share of the SLA time from which a node's limit shrinks
	sessionSpan  = 20.0  // s a session's commit is kept at least: few replicas are so far behind
	lagPace      = 0.8   // pace that a lag as long as the bound amounts to
	limitStart   = 4.0   // submissions out at a node that is not known yet
	limitLeast   = 16.0  // submissions of all routers together at one that is always slow: a few a core
	limitMost    = 64.0  // and at one that is never slow
	cutEvery     = 0.1   // s between cuts of a limit: answers must show the last one first
	limitCut     = 0.85  // factor on the limit of a slow node
	coldCores    = 2.0   // cores a node has at least: few have less, and nobody tells
	chance       = 0.5   // width of the chance in the choice of a replica: routers alike must not choose alike
	golden       = 0.618 // steps of this spread any numbers of routers and txns evenly over the turns
	workShare    = 5.0   // SLA times a txn's work is expected to fit in, until answers tell
	quickShare   = 0.1   // share of answers that come within a txn type's quick time
	quickGain    = 0.2   // how far one answer moves that time: the last few dozen tell
	overdue      = 8.0   // times its usual latency an answer takes at least before it counts as lost
	heldShare    = 0.5   // share of its client's wait by which a write that was never sent is declined
	spare        = 0.2   // share of a bound kept free where a position is a guess
	askAgain     = 1.0   // s, about, until a refused watch is asked for again, growing with each refusal
	askMost      = 4     // refusals until it grows no more: a third of the shortest time routers may go unasked
	forgetAfter  = 60.0  // s a node is off the list until it is forgotten: an old list comes again sooner
	unheard      = 1e12  // s that a member lags as long as nothing was heard of it: longer than any
	leastPace    = 0.02  // pace of the quickest node that still counts
	avoidBias    = 10.0  // how much busier a node counts for a txn that it has just failed
	choices      = 2     // members that are compared where peers tell loads: what all know, all would choose
	spared       = 1.5   // how much busier a primary counts among them: writes have nowhere else to go
	zoneBias     = 1.15  // a replica in another zone counts as this much busier
	againFirst   = 0.03  // s before a write goes again to a primary that failed it, doubled each time
	againMost    = 0.25  // s
	shareSpan    = 2.0   // s over which the share of txns answered in time is taken
	shareLeast   = 1.2   // times what was answered in time that is sent: a crowd works off, and its end shows
	lateLeast    = 0.5   // share of its value that a late answer must keep to be waited for in a crowd
	crowdShare   = 1.4   // share of them, quick ones twice, under which there is a crowd: in calm half are quick
	shareFree    = 1.0   // txns in that time that say nothing: one is lost by chance, or costs much
	reportLate   = 0.1   // s, how old a probe's report is taken to be until a primary's own reports tell
)

// kind is a txn type with what experience says of it.
type kind struct {
	TxnType
	work  float64 // s, usual latency
	free  float64 // s, the same at nodes that are not crowded
	quick float64 // s, latency that one answer in ten stays under
	base  float64 // s, what paces are shares of
}

// node is a member with its entry in the role record.
type node struct {
	Member
	group                 *group  // as it was first listed
	closed, drained       bool    // drains or is gone; was listed as draining, and has not started anew since
	claimed, denied       float64 // latest time it was primary by its own word; latest that denies it
	pos, lag              float64 // it has applied all commits up to this time; s behind when last heard
	heard, first          float64 // last answer to a txn; first one, of those that count
	refused, full         float64 // when it last refused a connection, 0: answered since; full till then
	probed, missed        float64 // when the last probe was sent, the last that failed
	known, probing, aside bool    // it has told of itself; a probe is out; it is out of the read set
	bad, good             int     // probes in a row
	restsUntil, rests     float64 // not back before this; s it rests when its next trial fails
	fails                 float64 // share of txns that failed of late
	pace                  float64 // latency as a share of the SLA time, of late
	limit, cut            float64 // submissions of ours it bears at once; when that last shrank
	notBefore, fullPause  float64 // no submission before this; s it is left alone when it turns one away as full
	inFlight              []*txn
	idle                  []float64 // since when each connection that should be open is not in use
	goneSince, started    float64   // since when it is off the list, 0: it is on; when it last came up cold
	doubted, since        float64   // peers doubt it until then; and have since then
	load                  float64   // submissions of all routers there, by what peers say
	down                  bool      // its process seemed gone
}

// group is a primary with its replicas, and the txns that wait for one of them.
type group struct {
	id                 int
	members            []*node
	primary            *node
	held               bool            // writes wait until a member shows that it is primary
	heldAt, since      float64         // evidence must be newer than this; since when they wait
	until              float64         // end of the failover window
	live               int             // txns held and submissions out
	probeCredit        float64         // probes that txns have paid for
	next, failedProbes int             // the member that is due first; failed probes of any member in a row
	shares             map[bool]*share // of writes, of reads
	toldUntil, toldAt  float64         // peers look at the members for all until then; their last word
	named              *node           // the member that they call primary
	namedAt            float64         // as of when
	waiting            map[int][]*txn
	// Commits of sessions kept here: the newest, and those before, dropped in time: every read must see them.
	wrote, before  map[int64]float64
	turned, forgot float64 // when wrote was begun; commits up to this are in neither
}

// txn is a held txn with the one submission of it that is out.
type txn struct {
	Txn
	*kind
	group             *group
	arrived           float64
	turn              float64 // its place in the turns at fresh nodes, 0 to 1
	tries             int
	ran               float64 // when the first submission that may have run was sent; 0: none
	ranZone           int
	sentTo            *node // where a submission of it is out; nil: nowhere
	sentAt            float64
	opened, cancelled bool  // it needed a new connection; it was called off
	avoid             *node // the last one to fail it
	cause             Cause // what holds it
	queued            bool  // it ended in a queue, or was one too many for them
	started, ended    bool  // the answer has begun to flow; it is the client's
}
