package workload

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"eiderway/wire"
)

// Guards against false reports of rule REFUSED: if successive sessions of one client use the same IDs, a refused try is taken
// for one that was committed.
func TestSessionsOfOneClientShareNoIDs(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go serveBusy(listener)
	history := &History{}
	for range 2 {
		session := OpenSession(7, listener.Addr().String(), ClientSettings{Database: "shop", History: history})
		is.Equal(session.Put("t", "x").Outcome, NoEffect)
		session.Close()
	}
	statements := history.Statements()
	is.Equal(len(statements), 2)
	is.True(statements[0].ID != statements[1].ID)
	is.True(statements[0].Try != statements[1].Try)
}

// serveBusy serves connections as a gateway that refuses each statement with BUSY.
func serveBusy(listener net.Listener) {
	for {
		network, err := listener.Accept()
		if err != nil {
			return
		}
		reader := wire.NewReader(network)
		_, _ = reader.ReadLine()
		_, _ = network.Write(wire.AppendReady(nil, wire.Idle, wire.NoPosition))
		_, _ = reader.ReadLine()
		_, _ = network.Write(wire.AppendAnswer(nil, wire.Refusal(wire.Busy, "", wire.Idle)))
		_ = network.Close()
	}
}
