package trymemberlist

import (
	"fmt"
	"io"
	"log"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

type counting struct {
	*memberlist.NetTransport
	out atomic.Int64
}

func (c *counting) WriteTo(b []byte, addr string) (time.Time, error) {
	c.out.Add(int64(len(b)) + 28 + 64) // headers, and a signature as ours has
	return c.NetTransport.WriteTo(b, addr)
}

func (c *counting) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	c.out.Add(int64(len(b)) + 28 + 64)
	return c.NetTransport.WriteToAddress(b, addr)
}

type countedConn struct {
	net.Conn
	c *counting
}

func (c countedConn) Write(b []byte) (int, error) {
	c.c.out.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c *counting) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	nc, err := c.NetTransport.DialAddressTimeout(a, d)
	return countedConn{nc, c}, err
}

type delegate struct {
	q *memberlist.TransmitLimitedQueue
}

func (d delegate) NodeMeta(int) []byte { return nil }
func (d delegate) NotifyMsg([]byte)    {}
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.q.GetBroadcasts(overhead, limit)
}
func (d delegate) LocalState(bool) []byte        { return nil }
func (d delegate) MergeRemoteState([]byte, bool) {}

type word []byte

func (word) Invalidates(memberlist.Broadcast) bool { return false }
func (w word) Message() []byte                     { return w }
func (word) Finished()                             {}

func play(t *testing.T, n int) {
	var all []*memberlist.Memberlist
	var ways []*counting
	var queues []*memberlist.TransmitLimitedQueue
	quiet := log.New(io.Discard, "", 0)
	for i := range n {
		tr, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{"127.0.0.1"}, Logger: quiet})
		if err != nil {
			t.Fatal(err)
		}
		c := memberlist.DefaultLANConfig()
		way := &counting{NetTransport: tr}
		q := &memberlist.TransmitLimitedQueue{NumNodes: func() int { return n }, RetransmitMult: 4}
		c.Name, c.Transport, c.Logger, c.BindAddr, c.BindPort, c.AdvertisePort, c.Delegate = fmt.Sprint(i), way, quiet, "127.0.0.1", tr.GetAutoBindPort(), tr.GetAutoBindPort(), delegate{q}
		m, err := memberlist.Create(c)
		if err != nil {
			t.Fatal(err)
		}
		if i > 0 {
			if _, err := m.Join([]string{fmt.Sprintf("127.0.0.1:%d", all[0].LocalNode().Port)}); err != nil {
				t.Fatal(err)
			}
		}
		all, ways, queues = append(all, m), append(ways, way), append(queues, q)
	}
	time.Sleep(5 * time.Second)
	found := 0
	for _, m := range all {
		if m.NumMembers() == n {
			found++
		}
	}
	measure := func(what string, each func()) {
		worst, total := int64(0), int64(0)
		for range 4 {
			before := make([]int64, n)
			for i, w := range ways {
				before[i] = w.out.Load()
			}
			each()
			time.Sleep(time.Second)
			for i, w := range ways {
				d := w.out.Load() - before[i]
				worst, total = max(worst, d), total+d
			}
		}
		t.Logf("%d members, %s: %d bytes out in the worst second of one, %d on average; %d know all; %d goroutines", n, what, worst, total/int64(4*n), found, runtime.NumGoroutine())
	}
	measure("at rest", func() {})
	measure("in a storm of 4 words each a second", func() {
		for _, q := range queues {
			for range 4 {
				q.QueueBroadcast(word(make([]byte, 130)))
			}
		}
	})
	for _, m := range all {
		m.Shutdown()
	}
}

func TestTwenty(t *testing.T)     { play(t, 20) }
func TestTwoHundred(t *testing.T) { play(t, 200) }
