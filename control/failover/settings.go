package failover

import "time"

// DefaultSettings returns settings that suit a service whose promote takes up to about a second. Holder, Fence,
// FenceChecked and CallsPerSecond are of the deployment: the caller fills them in.
func DefaultSettings() Settings {
	return Settings{
		CallsPerSecond: 5,
		LeaderProbe:    3 * time.Second,
		FastProbe:      150 * time.Millisecond,
		FastWindow:     4 * time.Second,
		SuspectAfter:   1200 * time.Millisecond,
		ReplicaLost:    10 * time.Second,
		MaxCallDelay:   15 * time.Second,
		DrainLimit:     7 * time.Second,
		DrainMargin:    time.Second,
	}
}

const (
	// replicaProbe is the time between probes of members that don't decide what comes next.
	replicaProbe = 500 * time.Millisecond
	// signProbe is the time between probes of a replica while there are signs of change and the leader answers.
	signProbe = time.Second
	// firstLookPace is the time between the first looks at services that came at once, as after a takeover: all of them at once would keep
	// this process too busy to hear the answers in time.
	firstLookPace = 10 * time.Millisecond
	// idleStep is how long a calm service is left alone.
	idleStep = 200 * time.Millisecond
	// probeGivenUp is the time after which a probe that the host never ended counts as silent.
	probeGivenUp = 5 * time.Second
	// gatewayAnswerFresh is how long an answer that a gateway got speaks for the leader.
	gatewayAnswerFresh = time.Second
	// statusFresh is how old a status may be when something is decided on it.
	statusFresh = time.Second
	// secondProbeWait is how long a second probe must have been out, beside one that failed.
	secondProbeWait = 300 * time.Millisecond
	// learnSettle is waited for the other instances once a first one says that it leads and no leader is recorded.
	learnSettle = 700 * time.Millisecond
	// learnLimit is the time after which a service in which nobody has ever led gets a leader.
	learnLimit = 10 * time.Second
	// departureMargin is added to the moment at which an instance left, before the leader's position covers it.
	departureMargin = 500 * time.Millisecond
	// departureLook is for how long the leader is asked more often after a departure, so that its position covers the departed one.
	departureLook = 2 * time.Second
	// refusedMargin is added to the moment at which a process was found not to run.
	refusedMargin = 500 * time.Millisecond
	// refusedLeader is for how long a leader's machine must refuse connections: a process that is started again at once is back sooner.
	refusedLeader = 250 * time.Millisecond
	// refusedAnswers is how long an answer that a gateway got speaks for a leader whose machine refuses connections here. Gateways report
	// what failed at once.
	refusedAnswers = 400 * time.Millisecond
	// replicaSilent is the silence, longer than two heartbeats take, after which a replica is probed at calm.
	replicaSilent = 3 * time.Second
	// heldFresh is how old the answer to a pause may be when one is chosen: a restart would have ended the pause.
	heldFresh = 3 * time.Second
	// catchUpWait bounds the wait for a replica to reach a draining leader's position.
	catchUpWait = time.Second
	// catchUpProbe is the time between probes meanwhile: every gateway waits.
	catchUpProbe = 40 * time.Millisecond
	// handOverLimit bounds a planned hand-over, from when every gateway keeps the freeze until its call is made.
	handOverLimit = 3 * time.Second
	// handOverLag is how far behind a replica may be for a hand-over to begin, in the first handOverPatience of a leader's drain.
	handOverLag      = 300 * time.Millisecond
	handOverPatience = 2500 * time.Millisecond
	// handOverRetry is the time between attempts of a planned hand-over.
	handOverRetry = 2 * time.Second
	// frozenWithin is within what time a leader whose drain is spent must be frozen. A calm service is looked at each idleStep.
	frozenWithin = 2 * idleStep
	// stepDownAfter is how long a hand-over waits for a silent replica before the leader itself is asked to step down.
	stepDownAfter = 500 * time.Millisecond
	// intentFresh is how old the wish for an intent may be when its call is sent: a process may have been frozen.
	intentFresh = 4 * time.Second
	// promoteWait is longer than a promote takes.
	promoteWait = 4 * time.Second
	// repeatWait is for how long the target of a call with an unknown outcome is watched before it is called again: clearly longer than
	// a promote takes. A call that arrives later names the same target, and does no harm.
	repeatWait = 3100 * time.Millisecond
	// inheritedWait is for how long the target of an earlier holder's intent is watched before its call is made again.
	inheritedWait = 2 * time.Second
	// targetDeadAfter is the silence of a target, with probes failing, after which it is taken for dead.
	targetDeadAfter = 3 * time.Second
	// seemsPrimaryWait is how long a call for an instance that the platform may take for the present primary is put off: it may do
	// nothing, and another instance may come back meanwhile.
	seemsPrimaryWait = 10 * time.Second
	// notSentRetry, declinedRetry and fencedRetry are waited before a call that had no effect is made anew.
	notSentRetry  = 500 * time.Millisecond
	declinedRetry = time.Second
	fencedRetry   = 5 * time.Second
	// changeRetry is waited before a change that was not committed is asked for again.
	changeRetry = 200 * time.Millisecond
	// failuresOnlyAfter is how long gateways may report only failures at a leader that answers before it is logged.
	failuresOnlyAfter = 3 * time.Second
	// manyFailures in a row let an instance be asked more slowly.
	manyFailures = 20
	// mostDeparted bounds the instances remembered after they have left.
	mostDeparted = 16
)
