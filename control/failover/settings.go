package failover

import "time"

// DefaultSettings returns settings that suit a service whose promote takes up to about a second. Holder, Fence,
// FenceChecked and CallsPerSecond depend on the deployment: the caller sets them.
func DefaultSettings() Settings {
	return Settings{
		CallsPerSecond:      5,
		LeaderProbeInterval: 3 * time.Second,
		FastProbeInterval:   150 * time.Millisecond,
		FastWindow:          4 * time.Second,
		SuspectAfter:        1200 * time.Millisecond,
		ReplicaLostAfter:    10 * time.Second,
		MaxCallDelay:        15 * time.Second,
		DrainLimit:          7 * time.Second,
		DrainMargin:         time.Second,
	}
}

const (
	// replicaProbeInterval is the time between probes of members on which the next step doesn't depend.
	replicaProbeInterval = 500 * time.Millisecond
	// changeProbeInterval is the time between probes of a replica while there are signs of change and the leader answers.
	changeProbeInterval = time.Second
	// firstProbeSpacing is the time between the first probes of services that are added together, as after a takeover: probing all of
	// them at once would keep this process too busy to receive the answers in time.
	firstProbeSpacing = 10 * time.Millisecond
	// idleInterval is the time between steps of a service without signs of change.
	idleInterval = 200 * time.Millisecond
	// probeExpiry is the time after which a probe without a result from the host counts as silent.
	probeExpiry = 5 * time.Second
	// gatewayAnswerMaxAge is how long an answer that a gateway got from the leader keeps it from being considered silent.
	gatewayAnswerMaxAge = time.Second
	// statusMaxAge is how old a status may be for a decision to rest on it.
	statusMaxAge = time.Second
	// secondProbeWait is how long a second probe must have been outstanding, after one that failed.
	secondProbeWait = 300 * time.Millisecond
	// discoveryWait is how long to wait for the other instances once a first one claims to lead and no leader is recorded.
	discoveryWait = 700 * time.Millisecond
	// neverLedLimit is the time after which a service without any leader so far is given one.
	neverLedLimit = 10 * time.Second
	// departureMargin is added to the moment at which an instance left, before the leader's position covers it.
	departureMargin = 500 * time.Millisecond
	// departureProbeWindow is how long the leader is probed more often after a departure, so that its position covers the departed instance.
	departureProbeWindow = 2 * time.Second
	// leaderRefusedAfter is how long a leader's machine must refuse connections: a process that is restarted at once is back sooner.
	leaderRefusedAfter = 250 * time.Millisecond
	// refusedAnswerMaxAge replaces gatewayAnswerMaxAge for a leader whose machine refuses connections here. It is shorter because
	// gateways report failures at once.
	refusedAnswerMaxAge = 400 * time.Millisecond
	// replicaSilentAfter is the silence, longer than two heartbeats take, after which a replica is probed without a sign of change.
	replicaSilentAfter = 3 * time.Second
	// pauseMaxAge is how old a confirmed pause may be when an instance is chosen: a restart may have ended it since.
	pauseMaxAge = 3 * time.Second
	// catchUpWait bounds the wait for a replica to reach a draining leader's position.
	catchUpWait = time.Second
	// catchUpProbeInterval is the time between probes during that wait. It is short because every gateway waits too.
	catchUpProbeInterval = 40 * time.Millisecond
	// handOverLimit bounds a planned handover, from when every gateway keeps the freeze until its call is made.
	handOverLimit = 3 * time.Second
	// handOverMaxLag is how far behind a replica may be for a handover to begin during the first handOverPatience of a leader's drain.
	handOverMaxLag   = 300 * time.Millisecond
	handOverPatience = 2500 * time.Millisecond
	// handOverRetry is the time between attempts of a planned handover.
	handOverRetry = 2 * time.Second
	// maxFreezeDelay is the time within which a service must be frozen once its leader's drain is over. A service without signs of
	// change takes a step each idleInterval.
	maxFreezeDelay = 2 * idleInterval
	// stepDownAfter is how long a handover waits for a silent replica before the leader itself is asked to step down.
	stepDownAfter = 500 * time.Millisecond
	// intentMaxAge is how long ago an intent may have been requested when its call is sent: the process may have been stopped meanwhile.
	intentMaxAge = 4 * time.Second
	// promoteWait is longer than a promote takes.
	promoteWait = 4 * time.Second
	// repeatWait is how long the target of a call with an unknown outcome is watched before it is called again: clearly longer than
	// a promote takes. A call that arrives later names the same target, and does no harm.
	repeatWait = 3100 * time.Millisecond
	// inheritedWait is how long the target of an earlier holder's intent is watched before its call is made again.
	inheritedWait = 2 * time.Second
	// targetDeadAfter is the silence of a target, with probes failing, after which it is considered dead.
	targetDeadAfter = 3 * time.Second
	// seemsPrimaryWait is how long a call for an instance that the platform may consider the present primary is put off: it may do
	// nothing, and another instance may come back meanwhile.
	seemsPrimaryWait = 10 * time.Second
	// notSentRetry, declinedRetry and fencedRetry are the waits before a call that had no effect is repeated.
	notSentRetry  = 500 * time.Millisecond
	declinedRetry = time.Second
	fencedRetry   = 5 * time.Second
	// changeRetry is the wait before a change that was not committed is requested again.
	changeRetry = 200 * time.Millisecond
	// failuresOnlyAfter is how long gateways may report only failures at a leader that answers before it is logged.
	failuresOnlyAfter = 3 * time.Second
	// manyFailures is the number of consecutive failures after which an instance is probed more slowly.
	manyFailures = 20
	// maxDeparted bounds the departed instances of a service that are remembered.
	maxDeparted = 16
)
