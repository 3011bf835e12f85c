package rpc

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"

	"eiderway/control/replication"
	"eiderway/testing/loopback"
)

func newPeers(t *testing.T) *Peers {
	t.Helper()
	log, _ := test.NewNullLogger()
	peers := NewPeers("127.0.0.1:1", nil, log)
	t.Cleanup(peers.Close)
	return peers
}

// inbox collects the numbers of the messages that a server receives.
type inbox chan uint64

func (i inbox) handlers() Handlers {
	return Handlers{Message: func(message replication.Message) { i <- message.Request }}
}

func (i inbox) next(t *testing.T) uint64 {
	t.Helper()
	select {
	case number := <-i:
		return number
	case <-time.After(patience):
		t.Fatal("no message arrived")
		return 0
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	is := is.New(t)
	arrived := make(inbox, queueLength)
	_, address := serve(t, arrived.handlers())
	peers := newPeers(t)
	for number := range uint64(queueLength) {
		peers.Send(address, message(number))
	}
	for number := range uint64(queueLength) {
		is.Equal(arrived.next(t), number)
	}
	eventually(t, "counting of all messages", func() bool { return peers.Counts().Sent == queueLength })
	is.Equal(peers.Counts(), PeersCounts{Sent: queueLength, Connections: 1})
}

func TestNothingIsSentToSelf(t *testing.T) {
	is := is.New(t)
	peers := newPeers(t)
	peers.Send("127.0.0.1:1", message(1))
	peers.Send("", message(1))
	is.Equal(len(peers.senders), 0)
}

func TestSenderReconnects(t *testing.T) {
	is := is.New(t)
	arrived := make(inbox, queueLength)
	address := loopback.ReserveForTest(t).Address()
	listener, err := net.Listen("tcp4", address)
	is.NoErr(err)
	first := Serve(listener, arrived.handlers())
	peers := newPeers(t)
	peers.Send(address, message(1))
	is.Equal(arrived.next(t), uint64(1))
	first.Close()

	eventually(t, "a refused connection", func() bool {
		peers.Send(address, message(2)) // nobody receives these; the first may still be written to the closed connection
		return peers.Counts().Failures > 0
	})
	again, err := net.Listen("tcp4", address)
	is.NoErr(err)
	second := Serve(again, arrived.handlers())
	defer second.Close()
	peers.Send(address, message(3))
	for number := arrived.next(t); number != 3; number = arrived.next(t) {
		is.Equal(number, uint64(2)) // may have waited in the queue
	}
}

func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	unused := loopback.ReserveForTest(t).Address() // nobody listens on it
	peers := newPeers(t)
	const sent = 4 * queueLength
	for number := range uint64(sent) {
		peers.Send(unused, message(number))
	}
	is.True(peers.Counts().Overflowed >= sent-2*queueLength) // the sender may have taken one full queue meanwhile
	eventually(t, "dropping of all messages", func() bool {
		counts := peers.Counts()
		return counts.Overflowed+counts.Expired+counts.Lost == sent
	})
}

// A peer that doesn't read loses only its own messages and its connection; Send must not block.
func TestPeerThatDoesNotReadIsDisconnected(t *testing.T) {
	stalled := make(chan struct{})
	address := scriptedServer(t, func(connection *scriptedConn) {
		_ = connection.Conn.(*net.TCPConn).SetReadBuffer(readBufferSize)
		<-stalled
	})
	defer close(stalled)
	arrived := make(inbox, queueLength)
	_, healthy := serve(t, arrived.handlers())
	peers := newPeers(t)
	large := replication.Message{Piece: &replication.Piece{Bytes: make([]byte, MaxFrame/2)}}
	eventually(t, "loss of messages", func() bool {
		peers.Send(address, large)
		return peers.Counts().Lost > 0
	})
	peers.Send(healthy, message(1))
	is.New(t).Equal(arrived.next(t), uint64(1))
}

// A message that is too long ends its connection, so the messages after it travel over others, which are read side by side: they all
// arrive, in any order, and nothing else does.
func TestTooLongMessageDoesNotAffectOthers(t *testing.T) {
	is := is.New(t)
	arrived := make(inbox, queueLength)
	_, address := serve(t, arrived.handlers())
	peers := newPeers(t)
	peers.Send(address, tooLongMessage()) // the first on its connection, with type descriptions
	peers.Send(address, message(2))
	peers.Send(address, tooLongMessage())
	peers.Send(address, message(4))
	both := []uint64{arrived.next(t), arrived.next(t)}
	slices.Sort(both)
	is.Equal(both, []uint64{2, 4})
	is.Equal(peers.Counts().TooLong, uint64(2))
	is.Equal(len(arrived), 0)
}

func TestIdleSenderIsRemovedOnlyWithAnEmptyQueue(t *testing.T) {
	is := is.New(t)
	peers := newPeers(t)
	idle := newSender(peers, "127.0.0.1:2")
	peers.senders[idle.address] = idle
	idle.queueLocked(queuedMessage{message: message(1), since: time.Now()})
	is.True(!peers.retire(idle))
	peers.takeAll(idle)
	is.True(peers.retire(idle))
	is.Equal(len(peers.senders), 0)
}
