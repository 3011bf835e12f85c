package rpc

import (
	"context"
	"net"
	"slices"
	"time"

	"eiderway/control/replication"
)

const (
	queueLength   = 256                    // messages for one address: some seconds of a busy primary's words
	messageLife   = 2 * time.Second        // after which a message that waits for a connection says nothing worth sending
	flushSize     = 64 << 10               // bytes gathered at most before they are written
	firstBackoff  = 50 * time.Millisecond  // after the first failed attempt to connect, doubled with each
	longestPause  = 500 * time.Millisecond // between attempts: a peer that is back hears of it within this
	senderIdle    = 30 * time.Second       // without a message, after which the connection is closed
	serverIdle    = 2 * senderIdle         // without a frame, after which the server's side gives a connection up
	soundAfter    = time.Second            // a connection that lasted this long starts the backoff anew
	closedCommand = 1                      // bytes: a server says nothing on a peer's connection, so any read ends with it
)

type queued struct {
	message replication.Message
	since   time.Time
}

// sender keeps the connection to one address. Only its own goroutine uses the fields below wake.
type sender struct {
	peers   *Peers
	address string
	queue   []queued // guarded by peers.mutex
	wake    chan struct{}

	connection net.Conn
	release    func() bool   // ends the watch for the end of peers
	closed     chan struct{} // closed when the other side has closed the connection
	encoder    *encoder
	gathered   uint64    // messages in the encoder that are not written yet
	since      time.Time // when the connection was made
	backoff    time.Duration
}

func newSender(peers *Peers, address string) *sender {
	return &sender{peers: peers, address: address, wake: make(chan struct{}, 1), backoff: firstBackoff}
}

// queueLocked drops the oldest message if there is no room: newer ones say more.
func (s *sender) queueLocked(message queued) {
	if len(s.queue) >= queueLength {
		s.queue = slices.Delete(s.queue, 0, 1)
		s.peers.counts.Overflowed++
	}
	s.queue = append(s.queue, message)
	select {
	case s.wake <- struct{}{}:
	default: // it will be woken anyway
	}
}

func (s *sender) run() {
	defer s.peers.wait.Done()
	defer s.disconnect()
	idle := time.NewTimer(senderIdle)
	defer idle.Stop()
	for {
		select {
		case <-s.peers.ctx.Done():
			return
		case <-s.closed: // nil, and so never, without a connection
			s.disconnect()
		case <-s.wake:
			s.deliver()
			idle.Reset(senderIdle)
		case <-idle.C:
			if s.peers.retire(s) {
				return
			}
			idle.Reset(senderIdle)
		}
	}
}

// deliver sends what is queued, connecting first where needed.
func (s *sender) deliver() {
	if s.hasEnded() {
		s.disconnect()
	}
	if !s.peers.dropExpired(s) {
		return
	}
	if s.connection == nil && !s.connect() {
		s.pause()
		return
	}
	s.deliverAll(s.peers.takeAll(s))
}

// deliverAll goes on over a new connection if one breaks.
func (s *sender) deliverAll(messages []queued) {
	for len(messages) > 0 {
		if s.connection == nil && !s.connect() {
			s.countLost(len(messages))
			s.pause()
			return
		}
		messages = s.write(messages)
	}
}

func (s *sender) hasEnded() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

func (s *sender) connect() bool {
	connection, err := dial(s.peers.ctx, s.peers.routes.of(s.address))
	if err != nil {
		s.peers.count(func(counts *PeersCounts) { counts.Failures++ })
		return false
	}
	s.peers.count(func(counts *PeersCounts) { counts.Connections++ })
	s.connection = connection
	s.closed = make(chan struct{})
	s.encoder = newEncoder(kindPeer)
	s.since = time.Now()
	s.peers.wait.Add(1)
	go s.noticeEnd(connection, s.closed)
	s.release = context.AfterFunc(s.peers.ctx, func() { _ = connection.Close() })
	return true
}

// noticeEnd learns at once when the other side closes, so that the next message isn't written to a dead connection.
func (s *sender) noticeEnd(connection net.Conn, closed chan<- struct{}) {
	defer s.peers.wait.Done()
	_, _ = connection.Read(make([]byte, closedCommand))
	close(closed)
}

func (s *sender) disconnect() {
	if s.connection == nil {
		return
	}
	s.release()
	_ = s.connection.Close()
	if time.Since(s.since) > soundAfter {
		s.backoff = firstBackoff
	}
	s.connection, s.closed, s.encoder = nil, nil, nil
}

// pause waits before the next attempt to connect. What is queued stays queued, and wakes the sender again.
func (s *sender) pause() {
	timer := time.NewTimer(s.backoff)
	defer timer.Stop()
	s.backoff = min(2*s.backoff, longestPause)
	select {
	case <-timer.C:
	case <-s.peers.ctx.Done():
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write sends messages until the connection breaks, and returns those that were not touched.
func (s *sender) write(messages []queued) []queued {
	for at, waiting := range messages {
		if !s.gather(waiting.message) {
			return messages[at+1:]
		}
		if s.encoder.size() >= flushSize && !s.flush() {
			return messages[at+1:]
		}
	}
	s.flush()
	return nil
}

// gather encodes the message. One that can't be sent is dropped, together with the connection whose encoder it spoilt.
func (s *sender) gather(message replication.Message) bool {
	err := s.encoder.add(peerFrame{Message: message})
	if err == nil {
		s.gathered++
		return true
	}
	s.peers.count(func(counts *PeersCounts) { counts.TooLong++ })
	s.peers.log.WithError(err).Errorf("message to controller %s dropped", s.address)
	if s.flush() {
		s.disconnect()
	}
	return false
}

func (s *sender) flush() bool {
	gathered := s.gathered
	s.gathered = 0
	if err := s.encoder.flush(s.connection, time.Time{}); err != nil {
		s.countLost(int(gathered))
		s.disconnect()
		return false
	}
	s.peers.count(func(counts *PeersCounts) { counts.Sent += gathered })
	return true
}

func (s *sender) countLost(messages int) {
	s.peers.count(func(counts *PeersCounts) { counts.Lost += uint64(messages) })
}
