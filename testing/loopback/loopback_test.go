package loopback

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Whoever reserves passes over what another one has, even before anybody listens there.
func TestReservedPortsAreGivenOnce(t *testing.T) {
	is := is.New(t)
	const many = 300
	given := map[int]bool{}
	for range many {
		port := ReserveForTest(t)
		is.True(!given[port.Number])
		given[port.Number] = true
		is.True(port.Number < 32_768) // where ports begin that systems give out
	}
}

func TestReservedPortCanBeUsedAgainAndAgain(t *testing.T) {
	is := is.New(t)
	port := ReserveForTest(t, "127.0.0.1", "127.0.0.2")
	for range 3 {
		for _, each := range []string{"127.0.0.1", "127.0.0.2"} {
			listener, err := net.Listen("tcp4", address(each, port.Number))
			is.NoErr(err)
			is.NoErr(listener.Close())
		}
	}
}

func TestPortInUseIsPassedOver(t *testing.T) {
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

func TestNetworksAreGivenOnce(t *testing.T) {
	is := is.New(t)
	given := map[string]bool{}
	for range 50 {
		network, err := ReserveNetwork()
		is.NoErr(err)
		t.Cleanup(network.Release)
		is.True(!given[network.prefix])
		given[network.prefix] = true
	}
}
