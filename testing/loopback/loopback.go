// Package loopback hands out ports and networks on loopback to tests, demonstrations and trials, for servers that are
// started later or more than once, perhaps by another process.
//
// To draw a free port, close it and hand its number on is a race: the system gives such a port to the next one who asks,
// or to a connection that goes out. So ports come from below the range that the system gives out by itself, and each is
// guarded for as long as it is reserved: the reserving process listens on the same port of an address that is used for
// nothing else. Whoever reserves ports with this package, in any process, passes over what is guarded.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
)

const (
	// host is where most servers of tests listen.
	host = "127.0.0.1"
	// guardHost is the address on which reserved ports are guarded. Networks that are handed out never contain it.
	guardHost = "127.255.255.254"
	// Ports lie below those that the system gives to connections that go out and to listeners without a port.
	firstPort = 10_000
	manyPorts = 20_000
	// guardPort is where a reserved network is guarded, on its first address.
	guardPort = 1023 + firstPort
	networks  = 250 // as many values of the second and third number of an address are used for networks
	tries     = 200
)

// Test is what a reservation needs of a test.
type Test interface {
	Helper()
	Fatal(arguments ...any)
	Cleanup(func())
}

// Port is a reserved port.
type Port struct {
	Number int
	guard  net.Listener
}

// Address is that of the port on 127.0.0.1.
func (p Port) Address() string { return address(host, p.Number) }

// Release ends the reservation.
func (p Port) Release() { _ = p.guard.Close() }

// ReservePort reserves a port that is free on these addresses, by TCP and by UDP; on 127.0.0.1 if there are none.
func ReservePort(hosts ...string) (Port, error) {
	if len(hosts) == 0 {
		hosts = []string{host}
	}
	for range tries {
		number := firstPort + rand.N(manyPorts)
		guard, err := net.Listen("tcp4", address(guardHost, number))
		if err != nil {
			continue
		}
		if isFree(number, hosts) {
			return Port{Number: number, guard: guard}, nil
		}
		_ = guard.Close()
	}
	return Port{}, eris.New("no free port on loopback")
}

func isFree(number int, hosts []string) bool {
	for _, each := range hosts {
		stream, err := net.Listen("tcp4", address(each, number))
		if err != nil {
			return false
		}
		_ = stream.Close()
		datagrams, err := net.ListenPacket("udp4", address(each, number))
		if err != nil {
			return false
		}
		_ = datagrams.Close()
	}
	return true
}

func address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

// ReserveForTest reserves a port until the test ends.
func ReserveForTest(t Test, hosts ...string) Port {
	t.Helper()
	port, err := ReservePort(hosts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(port.Release)
	return port
}

// Network is a reserved part of the loopback network, of 254 addresses.
type Network struct {
	prefix string // three numbers
	guard  net.Listener
}

// Host is one of the network's, by its last number from 2 on.
func (n Network) Host(last int) string { return fmt.Sprintf("%s.%d", n.prefix, last) }

// Address is a port of such a host.
func (n Network) Address(last, port int) string { return address(n.Host(last), port) }

// Release ends the reservation.
func (n Network) Release() { _ = n.guard.Close() }

// ReserveNetwork reserves a network.
func ReserveNetwork() (Network, error) {
	for range tries {
		found := Network{prefix: fmt.Sprintf("127.%d.%d", 1+rand.N(networks), 1+rand.N(networks))}
		guard, err := net.Listen("tcp4", found.Address(1, guardPort))
		if err != nil {
			continue
		}
		found.guard = guard
		return found, nil
	}
	return Network{}, eris.New("no free network on loopback")
}
