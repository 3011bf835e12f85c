package loopback

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// A reserved port isn't reserved a second time, even while no server listens on it.
func TestPortIsReservedOnlyOnce(t *testing.T) {
	is := is.New(t)
	const count = 300
	reserved := map[int]bool{}
	for range count {
		port := ReserveForTest(t)
		is.True(!reserved[port.Number])
		reserved[port.Number] = true
		is.True(port.Number < 32_768) // start of the ephemeral range on Linux
	}
}

func TestReservedPortCanBeListenedOnRepeatedly(t *testing.T) {
	is := is.New(t)
	port := ReserveForTest(t, "127.0.0.1", "127.0.0.2")
	for range 3 {
		for _, host := range []string{"127.0.0.1", "127.0.0.2"} {
			listener, err := net.Listen("tcp4", address(host, port.Number))
			is.NoErr(err)
			is.NoErr(listener.Close())
		}
	}
}

func TestPortInUseIsNotFree(t *testing.T) {
	is := is.New(t)
	port := ReserveForTest(t)
	datagrams, err := net.ListenPacket("udp4", port.Address())
	is.NoErr(err)
	is.True(!isFree(port.Number, []string{host}))
	is.NoErr(datagrams.Close())
	stream, err := net.Listen("tcp4", port.Address())
	is.NoErr(err)
	is.True(!isFree(port.Number, []string{host}))
	is.NoErr(stream.Close())
	is.True(isFree(port.Number, []string{host}))
}

func TestNetworkIsReservedOnlyOnce(t *testing.T) {
	is := is.New(t)
	reserved := map[string]bool{}
	for range 50 {
		network, err := ReserveNetwork()
		is.NoErr(err)
		t.Cleanup(network.Release)
		is.True(!reserved[network.prefix])
		reserved[network.prefix] = true
	}
}
