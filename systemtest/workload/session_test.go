package workload

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"eiderway/wire"
)

// REFUSED was reported falsely: sessions of one client that followed each other used the same ids, so a refused try was taken for a kept one.
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

// serveBusy plays a gateway that refuses each statement.
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
