// Package loopback reserves ports and networks on the loopback interface for tests, demos and trials whose servers start
// later or more than once, perhaps in another process.
//
// Listening on port 0, closing the listener and passing its number on is a race: the operating system may give the port to
// the next listener or to an outgoing connection. So ports are taken from below the ephemeral range, and each is guarded
// while it is reserved: the reserving process listens on the same port of an address that is used for nothing else. Every
// process that reserves ports with this package skips the guarded ones.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
)

const (
	// host is the address on which most test servers listen.
	host = "127.0.0.1"
	// guardHost is the address on which reserved ports are guarded. No reserved network contains it.
	guardHost = "127.255.255.254"
	// Reserved ports lie below the ephemeral range, from which the operating system assigns ports by itself.
	firstPort = 10_000
	portCount = 20_000
	// guardPort is the port on which a reserved network is guarded, at its first address.
	guardPort         = 1023 + firstPort
	networkByteValues = 250 // values of the second and of the third byte of an address that reserved networks use
	maxAttempts       = 200
)

// Test is the part of testing.TB that a reservation needs.
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

// Address returns the address of the port on 127.0.0.1.
func (p Port) Address() string { return address(host, p.Number) }

// Release ends the reservation.
func (p Port) Release() { _ = p.guard.Close() }

// ReservePort reserves a port that is free for TCP and UDP on all of the hosts, or on 127.0.0.1 if none is given.
func ReservePort(hosts ...string) (Port, error) {
	if len(hosts) == 0 {
		hosts = []string{host}
	}
	for range maxAttempts {
		number := firstPort + rand.N(portCount)
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
	for _, host := range hosts {
		stream, err := net.Listen("tcp4", address(host, number))
		if err != nil {
			return false
		}
		_ = stream.Close()
		datagrams, err := net.ListenPacket("udp4", address(host, number))
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

// Network is a reserved part of the loopback network, with 254 addresses.
type Network struct {
	prefix string // the first three bytes of its addresses, such as 127.3.4
	guard  net.Listener
}

// Host returns the address with this last byte. The first address, 1, is the guard's: hosts begin at 2.
func (n Network) Host(last int) string { return fmt.Sprintf("%s.%d", n.prefix, last) }

// Address returns the address of a port of such a host.
func (n Network) Address(last, port int) string { return address(n.Host(last), port) }

// Release ends the reservation.
func (n Network) Release() { _ = n.guard.Close() }

// ReserveNetwork reserves a network that no other process has reserved.
func ReserveNetwork() (Network, error) {
	for range maxAttempts {
		found := Network{prefix: fmt.Sprintf("127.%d.%d", 1+rand.N(networkByteValues), 1+rand.N(networkByteValues))}
		guard, err := net.Listen("tcp4", found.Address(1, guardPort))
		if err != nil {
			continue
		}
		found.guard = guard
		return found, nil
	}
	return Network{}, eris.New("no free network on loopback")
}
