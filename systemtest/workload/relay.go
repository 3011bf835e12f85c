package workload

import (
	"net"
	"sync"
)

// Relay stands on loopback between two processes: what connects to it is connected to its target. Each direction can be cut, which the ends
// don't hear of: bytes wait, and new connections get no further.
type Relay struct {
	listener net.Listener
	target   string
	running  sync.WaitGroup

	mutex   sync.Mutex
	changed *sync.Cond
	there   bool // bytes go to the target
	back    bool // bytes come back
	closed  bool
	open    map[net.Conn]struct{}
}

// StartRelay starts a relay in front of the target.
func StartRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, there: true, back: true, open: map[net.Conn]struct{}{}}
	r.changed = sync.NewCond(&r.mutex)
	r.running.Go(r.accept)
	return r, nil
}

// Address is where the relay is connected to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetPassing sets which directions carry bytes.
func (r *Relay) SetPassing(there, back bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.there, r.back = there, back
	r.changed.Broadcast()
}

// Close ends the relay and its connections.
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
		if r.keep(near) {
			r.running.Go(func() { r.join(near) })
		}
	}
}

// keep notes a connection that is to be closed with the relay, and closes it at once if that is over.
func (r *Relay) keep(connection net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		_ = connection.Close()
		return false
	}
	r.open[connection] = struct{}{}
	return true
}

func (r *Relay) drop(connection net.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.open, connection)
	_ = connection.Close()
}

// join connects to the target, once both directions are whole, and carries bytes both ways until one side ends.
func (r *Relay) join(near net.Conn) {
	defer r.drop(near)
	if !r.await(func() bool { return r.there && r.back }) {
		return
	}
	far, err := net.Dial("tcp4", r.target)
	if err != nil || !r.keep(far) {
		return
	}
	defer r.drop(far)
	var returning sync.WaitGroup
	returning.Go(func() {
		r.carry(far, near, func() bool { return r.back })
		_ = near.Close()
	})
	r.carry(near, far, func() bool { return r.there })
	_ = far.Close()
	returning.Wait()
}

// await waits until something holds; false: the relay is closed.
func (r *Relay) await(holds func() bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for !holds() && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *Relay) carry(from, to net.Conn, isWhole func() bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if !r.await(isWhole) {
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
