package model

import (
	"container/heap"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

type due struct {
	at float64
	n  int
	do func()
}

// clock is virtual time.
type clock struct {
	now   float64
	n     int
	queue []due
}

func (c *clock) Len() int { return len(c.queue) }
func (c *clock) Less(i, j int) bool {
	a, b := c.queue[i], c.queue[j]
	return a.at < b.at || a.at == b.at && a.n < b.n
}
func (c *clock) Swap(i, j int) { c.queue[i], c.queue[j] = c.queue[j], c.queue[i] }
func (c *clock) Push(x any)    { c.queue = append(c.queue, x.(due)) }
func (c *clock) Pop() any {
	x := c.queue[len(c.queue)-1]
	c.queue = c.queue[:len(c.queue)-1]
	return x
}
func (c *clock) Now() float64 { return c.now }
func (c *clock) At(at float64, do func()) {
	c.n++
	heap.Push(c, due{max(at, c.now), c.n, do})
}
func (c *clock) run(until float64) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		x := heap.Pop(c).(due)
		c.now = x.at
		x.do()
	}
	c.now = until
}

var terms = Terms{Cores: 4, Work: 0.02, Handshake: 0.005, Lag: 0.03, Cold: 0.2, Warm: 10, Crowded: 0.1}

// load sends statements at a rate for some seconds, and gives their mean latency and what became of them.
func load(c *clock, n *Node, rate, span float64, seed int64) (mean float64, ends map[Outcome]int) {
	rng, ends := rand.New(rand.NewSource(seed)), map[Outcome]int{}
	sum, end := 0.0, c.now+span
	var again func()
	again = func() {
		if c.now >= end {
			return
		}
		sent := c.now
		n.Run(false, nil, func(a Answer) {
			ends[a.Outcome]++
			sum += c.now - sent
		})
		c.At(c.now+rng.ExpFloat64()/rate, again)
	}
	c.At(c.now, again)
	c.run(end)
	return sum / float64(max(1, ends[Done])), ends
}

// TestQueue: at 75% the mean latency of four cores is what queueing theory has for M/M/4 (Erlang C), and one seed gives one
// history.
func TestQueue(t *testing.T) {
	a, cores := 3.0, 4.0 // offered work, in cores
	sum, term := 0.0, 1.0
	for k := 0.0; k < cores; k++ {
		sum += term
		term *= a / (k + 1)
	}
	waits := term * cores / (cores - a) / (sum + term*cores/(cores-a))
	want := terms.Work * (1 + waits/(cores-a))
	var means []float64
	for range 2 {
		c := &clock{}
		mean, ends := load(c, New(terms, c, 1), 150, 2000, 2)
		require.Greater(t, ends[Done], 290_000)
		means = append(means, mean)
	}
	require.InEpsilon(t, want, means[0], 0.05)
	require.Equal(t, means[0], means[1])
}

// TestCold: a node that has just started bears a part of its load, and falls over where it is pushed.
func TestCold(t *testing.T) {
	c := &clock{now: 100}
	n := New(terms, c, 1)
	warm, _ := load(c, n, 100, 5, 2)
	n.Start()
	cold, _ := load(c, n, 30, 1, 2)
	require.Greater(t, cold, 2*warm)
	pushed := terms
	pushed.Falls, pushed.Down = 0.5, 2
	n = New(pushed, c, 1)
	n.Start()
	_, ends := load(c, n, 150, 3, 2)
	_, _, falls := n.Counts()
	require.Positive(t, falls)
	require.Positive(t, ends[Broken], "what was out is told at once")
	require.Positive(t, ends[NoConn], "while it is down")
	n = New(pushed, c, 1)
	_, ends = load(c, n, 150, 3, 2)
	_, _, falls = n.Counts()
	require.Zero(t, falls, "warm it bears that")
	require.Len(t, ends, 1)
}

// TestCrash: each statement that is out is ended once, and the node is back, cold, after its time.
func TestCrash(t *testing.T) {
	c := &clock{now: 10}
	n := New(terms, c, 1)
	ends := make([]int, 20)
	for i := range ends {
		n.Run(true, nil, func(Answer) { ends[i]++ })
	}
	n.Crash(1)
	_, ok := n.Probe()
	require.False(t, ok)
	c.run(10.5)
	for _, e := range ends {
		require.Equal(t, 1, e)
	}
	require.True(t, n.Down())
	c.run(11.1)
	require.False(t, n.Down())
	require.Less(t, n.speed(), 0.3)
	c.run(40)
	require.Equal(t, 1.0, n.speed())
}

// TestPositions: a replica falls behind while it is crowded, comes up again, and one that stands still goes on answering.
func TestPositions(t *testing.T) {
	c := &clock{now: 100}
	n := New(terms, c, 1)
	lag := func() float64 {
		a, ok := n.Probe()
		require.True(t, ok)
		return c.now - a.Pos
	}
	require.InDelta(t, terms.Lag, lag(), 1e-9)
	load(c, n, 400, 3, 2) // twice what it can do
	require.Greater(t, lag(), 0.15)
	c.run(200)
	require.InDelta(t, terms.Lag, lag(), 1e-9)
	n.Set(Ill{Stands: true})
	_, ends := load(c, n, 50, 5, 2)
	require.Positive(t, ends[Done])
	require.InDelta(t, 5+terms.Lag, lag(), 0.1)
	n.Set(Ill{})
	require.InDelta(t, terms.Lag, lag(), 0.05)
	n.Lead(true)
	require.Zero(t, lag())
	n.Set(Ill{Stands: true})
	c.run(c.now + 100)
	n.Lead(false)
	require.Zero(t, lag(), "it has what it committed")
	n.Set(Ill{})
	load(c, n, 400, 0.1, 2)
	require.Less(t, lag(), 0.05, "it follows from when it was primary last")
}

// TestIll: what is wrong with a node shows in what comes back, as a share where it is one.
func TestIll(t *testing.T) {
	for name, x := range map[string]struct {
		ill  Ill
		look func(ends map[Outcome]int)
	}{
		"hangs": {Ill{Hangs: true}, func(e map[Outcome]int) { require.Empty(t, e) }},
		"fails": {Ill{Fails: 0.3}, func(e map[Outcome]int) { require.InDelta(t, 0.3, float64(e[Error])/1000, 0.06) }},
		"loses": {Ill{Loses: 0.5}, func(e map[Outcome]int) { require.InDelta(t, 0.5, float64(e[Done])/1000, 0.06) }},
		"cut":   {Ill{Cut: true}, func(e map[Outcome]int) { require.Empty(t, e) }},
	} {
		c := &clock{}
		n := New(terms, c, 3)
		n.Set(x.ill)
		_, ends := load(c, n, 50, 20, 4)
		x.look(ends)
		_, probed := n.Probe()
		require.Equal(t, name != "hangs" && name != "cut", probed, name)
	}
	c := &clock{}
	n := New(terms, c, 3)
	well, _ := load(c, n, 20, 20, 4)
	n.Set(Ill{Slower: 0.3})
	slow, _ := load(c, n, 20, 20, 4)
	require.InDelta(t, 0.3, slow-well, 0.02)
	n.Set(Ill{Refuses: true})
	refused := Outcome(-1)
	n.Run(true, nil, func(a Answer) { refused = a.Outcome })
	c.run(c.now)
	require.Equal(t, NoConn, refused)
}
