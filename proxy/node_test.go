package proxy

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"eiderway/pgwire"
	"eiderway/splitter"
	"eiderway/terms"
)

// lateRousing is a connection whose rousing takes effect late, as when the machine puts the node's goroutine aside between
// the handing over of a job and the deadline that rouses the connection. The connection finds the job meanwhile.
type lateRousing struct {
	net.Conn
	handed  chan struct{} // closed when a job has been handed over
	begun   <-chan string // the job has reached the node
	applied chan struct{} // closed when the rousing has taken effect
	once    sync.Once
}

func (c *lateRousing) SetReadDeadline(at time.Time) error {
	if !at.Equal(past) {
		<-c.handed // it rests only now
		return c.Conn.SetReadDeadline(at)
	}
	c.once.Do(func() {
		close(c.handed)
		select {
		case <-c.begun:
		case <-time.After(100 * time.Millisecond): // it waits for the rousing
		}
	})
	err := c.Conn.SetReadDeadline(at)
	close(c.applied)
	return err
}

// TestJobIsNotEndedByItsOwnRousing: a job that is begun before the rousing of its connection takes effect has all its time. It
// was the cause of a write answered 08007 in a second of its eight.
func TestJobIsNotEndedByItsOwnRousing(t *testing.T) {
	applied := make(chan struct{})
	held := newStandIn(t, nil)
	answer := member(true)
	asked := 0
	held.reply = func(query string, to net.Conn) bool {
		if asked++; asked == 2 {
			<-applied
		}
		return answer(query, to)
	}
	life, end := context.WithCancel(context.Background())
	tasks, life := errgroup.WithContext(life)
	c := &core{actor: newActor(), clock: newClock(), terms: &terms.Terms{}, counters: &counters{},
		sockets: make(chan struct{}, 1), life: life, tasks: tasks}
	c.terms.Splitter.ConnectTimeout, c.terms.Splitter.IdleTimeout = patience.Seconds(), patience.Seconds()
	c.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &lateRousing{Conn: conn, handed: make(chan struct{}), begun: held.arrived, applied: applied}, err
	}
	n := newNode(c, "s-1", held.addr())
	tasks.Go(func() error { return n.run(life) })
	run := func(text string) splitter.Outcome {
		st, err := pgwire.ParseStatement(text)
		require.NoError(t, err)
		ended := make(chan splitter.Result, 1)
		j := &job{st: &st, node: n, sent: c.clock.now(), until: c.clock.now() + patience.Seconds()}
		j.done = func(res splitter.Result, _ []byte) { ended <- res }
		n.tell(func() { n.start(j) })
		return (<-ended).Outcome
	}
	require.Equal(t, splitter.Committed, run(statement("a1", "claim", 1000)))
	await(t, held.arrived)
	require.Equal(t, splitter.Committed, run(statement("a2", "claim", 1000)))
	end()
	require.NoError(t, tasks.Wait())
}
