package workload

import (
	"net"
	"sync"
)

// Relay forwards connections on loopback to its target. Each direction can be cut without the ends noticing: the bytes
// wait, and new connections are accepted but not forwarded.
type Relay struct {
	listener net.Listener
	target   string
	running  sync.WaitGroup

	mutex      sync.Mutex
	changed    *sync.Cond
	toTarget   bool // bytes go to the target
	fromTarget bool // bytes come back
	closed     bool
	open       map[net.Conn]struct{}
}

// StartRelay starts a relay in front of the target.
func StartRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, toTarget: true, fromTarget: true, open: map[net.Conn]struct{}{}}
	r.changed = sync.NewCond(&r.mutex)
	r.running.Go(r.accept)
	return r, nil
}

// Address returns the address on which the relay accepts connections.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetPassing sets which directions carry bytes.
func (r *Relay) SetPassing(toTarget, fromTarget bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.toTarget, r.fromTarget = toTarget, fromTarget
	r.changed.Broadcast()
}

// Close closes the relay and its connections, and waits until all of them have ended.
func (r *Relay) Close() {
	r.mutex.Lock()
	r.closed = true
	for connection := range r.open {
		_ = connection.Close()
	}
	r.changed.Broadcast()
	r.mutex.Unlock()
	_ = r.listener.Close()
	r.running.Wait()
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.track(near) {
			r.running.Go(func() { r.forward(near) })
		}
	}
}

// track registers a connection that is closed with the relay. If the relay is closed already, it closes the connection at once
// and returns false.
func (r *Relay) track(connection net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		_ = connection.Close()
		return false
	}
	r.open[connection] = struct{}{}
	return true
}

func (r *Relay) closeAndForget(connection net.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.open, connection)
	_ = connection.Close()
}

// forward connects to the target once neither direction is cut, and copies bytes both ways until one side ends.
func (r *Relay) forward(near net.Conn) {
	defer r.closeAndForget(near)
	if !r.await(func() bool { return r.toTarget && r.fromTarget }) {
		return
	}
	far, err := net.Dial("tcp4", r.target)
	if err != nil || !r.track(far) {
		return
	}
	defer r.closeAndForget(far)
	var returning sync.WaitGroup
	returning.Go(func() {
		r.copyBytes(far, near, func() bool { return r.fromTarget })
		_ = near.Close()
	})
	r.copyBytes(near, far, func() bool { return r.toTarget })
	_ = far.Close()
	returning.Wait()
}

// await waits until the condition holds. It returns false if the relay is closed.
func (r *Relay) await(holds func() bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for !holds() && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *Relay) copyBytes(from, to net.Conn, isPassing func() bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if !r.await(isPassing) {
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
