package model

import (
	"container/heap"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

type timer struct {
	at float64
	n  int
	do func()
}

// clock is virtual time.
type clock struct {
	now   float64
	n     int
	queue []timer
}

func (c *clock) Len() int { return len(c.queue) }
func (c *clock) Less(i, j int) bool {
	a, b := c.queue[i], c.queue[j]
	return a.at < b.at || a.at == b.at && a.n < b.n
}
func (c *clock) Swap(i, j int) { c.queue[i], c.queue[j] = c.queue[j], c.queue[i] }
func (c *clock) Push(x any)    { c.queue = append(c.queue, x.(timer)) }
func (c *clock) Pop() any {
	x := c.queue[len(c.queue)-1]
	c.queue = c.queue[:len(c.queue)-1]
	return x
}
func (c *clock) Now() float64 { return c.now }
func (c *clock) At(at float64, do func()) {
	c.n++
	heap.Push(c, timer{max(at, c.now), c.n, do})
}
func (c *clock) run(until float64) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		x := heap.Pop(c).(timer)
		c.now = x.at
		x.do()
	}
	c.now = until
}

var testConfig = Config{Cores: 4, MeanWork: 0.02, Handshake: 0.005, Lag: 0.03, ColdSpeed: 0.2, WarmUp: 10, LagGrowth: 0.1}

// load sends statements at a rate for span seconds, and returns their mean latency and how many had each outcome.
func load(c *clock, n *Node, rate, span float64, seed int64) (mean float64, outcomes map[Outcome]int) {
	rng, outcomes := rand.New(rand.NewSource(seed)), map[Outcome]int{}
	sum, end := 0.0, c.now+span
	var again func()
	again = func() {
		if c.now >= end {
			return
		}
		sent := c.now
		n.Run(false, nil, func(a Answer) {
			outcomes[a.Outcome]++
			sum += c.now - sent
		})
		c.At(c.now+rng.ExpFloat64()/rate, again)
	}
	c.At(c.now, again)
	c.run(end)
	return sum / float64(max(1, outcomes[Done])), outcomes
}

// TestMeanLatencyMatchesQueueingTheory: at 75% load, the mean latency of four cores is that of M/M/4 (Erlang C),
// and the same seed gives the same history.
func TestMeanLatencyMatchesQueueingTheory(t *testing.T) {
	a, cores := 3.0, 4.0 // offered work, in cores
	sum, term := 0.0, 1.0
	for k := 0.0; k < cores; k++ {
		sum += term
		term *= a / (k + 1)
	}
	waits := term * cores / (cores - a) / (sum + term*cores/(cores-a))
	want := testConfig.MeanWork * (1 + waits/(cores-a))
	var means []float64
	for range 2 {
		c := &clock{}
		mean, outcomes := load(c, New(testConfig, c, 1), 150, 2000, 2)
		require.Greater(t, outcomes[Done], 290_000)
		means = append(means, mean)
	}
	require.InEpsilon(t, want, means[0], 0.05)
	require.Equal(t, means[0], means[1])
}

// TestColdNodeIsSlowAndCrashesUnderOverload: a node that has just started bears only part of the
// usual load, and crashes when its backlog grows too long.
func TestColdNodeIsSlowAndCrashesUnderOverload(t *testing.T) {
	c := &clock{now: 100}
	n := New(testConfig, c, 1)
	warm, _ := load(c, n, 100, 5, 2)
	n.Restart()
	cold, _ := load(c, n, 30, 1, 2)
	require.Greater(t, cold, 2*warm)
	pushed := testConfig
	pushed.CrashBacklog, pushed.Downtime = 0.5, 2
	n = New(pushed, c, 1)
	n.Restart()
	_, outcomes := load(c, n, 150, 3, 2)
	_, _, crashes := n.Counts()
	require.Positive(t, crashes)
	require.Positive(t, outcomes[Broken], "statements in flight end at once")
	require.Positive(t, outcomes[NoConn], "while it is down")
	n = New(pushed, c, 1)
	_, outcomes = load(c, n, 150, 3, 2)
	_, _, crashes = n.Counts()
	require.Zero(t, crashes, "a warm node bears this load")
	require.Len(t, outcomes, 1)
}

// TestCrashEndsStatementsOnceAndRestartsCold: each statement in flight ends exactly once, and the node is back
// after its downtime, with cold caches.
func TestCrashEndsStatementsOnceAndRestartsCold(t *testing.T) {
	c := &clock{now: 10}
	n := New(testConfig, c, 1)
	outcomes := make([]int, 20)
	for i := range outcomes {
		n.Run(true, nil, func(Answer) { outcomes[i]++ })
	}
	n.Crash(1)
	_, ok := n.Probe()
	require.False(t, ok)
	c.run(10.5)
	for _, e := range outcomes {
		require.Equal(t, 1, e)
	}
	require.True(t, n.IsDown())
	c.run(11.1)
	require.False(t, n.IsDown())
	require.Less(t, n.speed(), 0.3)
	c.run(40)
	require.Equal(t, 1.0, n.speed())
}

// TestReplicaLagFollowsLoad: a replica falls behind while it is overloaded and catches up afterwards; one whose replication is
// stalled keeps answering.
func TestReplicaLagFollowsLoad(t *testing.T) {
	c := &clock{now: 100}
	n := New(testConfig, c, 1)
	lag := func() float64 {
		a, ok := n.Probe()
		require.True(t, ok)
		return c.now - a.Pos
	}
	require.InDelta(t, testConfig.Lag, lag(), 1e-9)
	load(c, n, 400, 3, 2) // twice its capacity
	require.Greater(t, lag(), 0.15)
	c.run(200)
	require.InDelta(t, testConfig.Lag, lag(), 1e-9)
	n.SetImpairment(Impairment{ReplicationStalled: true})
	_, outcomes := load(c, n, 50, 5, 2)
	require.Positive(t, outcomes[Done])
	require.InDelta(t, 5+testConfig.Lag, lag(), 0.1)
	n.SetImpairment(Impairment{})
	require.InDelta(t, testConfig.Lag, lag(), 0.05)
	n.SetPrimary(true)
	require.Zero(t, lag())
	n.SetImpairment(Impairment{ReplicationStalled: true})
	c.run(c.now + 100)
	n.SetPrimary(false)
	require.Zero(t, lag(), "a former primary has what it committed")
	n.SetImpairment(Impairment{})
	load(c, n, 400, 0.1, 2)
	require.Less(t, lag(), 0.05, "it follows from where it stopped being primary")
}

// TestImpairments: each impairment shows in the outcomes, in its share where it has one.
func TestImpairments(t *testing.T) {
	for name, x := range map[string]struct {
		impairment Impairment
		check      func(outcomes map[Outcome]int)
	}{
		"hangs": {Impairment{Hangs: true}, func(e map[Outcome]int) { require.Empty(t, e) }},
		"fails": {Impairment{ErrorShare: 0.3}, func(e map[Outcome]int) { require.InDelta(t, 0.3, float64(e[Error])/1000, 0.06) }},
		"loses": {Impairment{LostAnswerShare: 0.5}, func(e map[Outcome]int) { require.InDelta(t, 0.5, float64(e[Done])/1000, 0.06) }},
		"cut":   {Impairment{Unreachable: true}, func(e map[Outcome]int) { require.Empty(t, e) }},
	} {
		c := &clock{}
		n := New(testConfig, c, 3)
		n.SetImpairment(x.impairment)
		_, outcomes := load(c, n, 50, 20, 4)
		x.check(outcomes)
		_, probed := n.Probe()
		require.Equal(t, name != "hangs" && name != "cut", probed, name)
	}
	c := &clock{}
	n := New(testConfig, c, 3)
	well, _ := load(c, n, 20, 20, 4)
	n.SetImpairment(Impairment{ExtraLatency: 0.3})
	slow, _ := load(c, n, 20, 20, 4)
	require.InDelta(t, 0.3, slow-well, 0.02)
	n.SetImpairment(Impairment{RefusesConnections: true})
	refused := Outcome(-1)
	n.Run(true, nil, func(a Answer) { refused = a.Outcome })
	c.run(c.now)
	require.Equal(t, NoConn, refused)
}
