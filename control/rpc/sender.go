package rpc

import (
	"context"
	"net"
	"slices"
	"time"

	"eiderway/control/replication"
)

const (
	queueLength       = 256                    // messages for one address: a few seconds of a busy primary's traffic
	maxQueueTime      = 2 * time.Second        // a message that has waited this long for a connection is outdated and dropped
	flushSize         = 64 << 10               // number of buffered bytes from which they are written
	minBackoff        = 50 * time.Millisecond  // after the first failed attempt to connect; doubles with each further one
	maxBackoff        = 500 * time.Millisecond // between attempts, so a peer that has returned is reached within this time
	senderIdleTimeout = 30 * time.Second       // a connection without messages for this long is closed
	serverIdleTimeout = 2 * senderIdleTimeout  // a server closes a connection without frames for this long
	stableAfter       = time.Second            // a connection that lasted this long resets the backoff
	closeReadSize     = 1                      // bytes; a server sends nothing on a peer's connection, so a read returns only when it ends
)

type queuedMessage struct {
	message replication.Message
	since   time.Time
}

// sender keeps the connection to one address. Only its own goroutine uses the fields below wake.
type sender struct {
	peers   *Peers
	address string
	queue   []queuedMessage // guarded by peers.mutex
	wake    chan struct{}

	connection   net.Conn
	stopWatching func() bool   // stops the function that closes the connection when peers is closed
	closed       chan struct{} // closed when the other side has closed the connection
	encoder      *encoder
	unflushed    uint64    // number of messages in the encoder that are not written yet
	connectedAt  time.Time // when the connection was made
	backoff      time.Duration
}

func newSender(peers *Peers, address string) *sender {
	return &sender{peers: peers, address: address, wake: make(chan struct{}, 1), backoff: minBackoff}
}

// queueLocked queues the message. If the queue is full, it drops the oldest message: newer ones matter more.
func (s *sender) queueLocked(message queuedMessage) {
	if len(s.queue) >= queueLength {
		s.queue = slices.Delete(s.queue, 0, 1)
		s.peers.counts.Overflowed++
	}
	s.queue = append(s.queue, message)
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

func (s *sender) run() {
	defer s.peers.wait.Done()
	defer s.disconnect()
	idle := time.NewTimer(senderIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-s.peers.ctx.Done():
			return
		case <-s.closed: // nil without a connection, and so never ready
			s.disconnect()
		case <-s.wake:
			s.deliver()
			idle.Reset(senderIdleTimeout)
		case <-idle.C:
			if s.peers.retire(s) {
				return
			}
			idle.Reset(senderIdleTimeout)
		}
	}
}

// deliver sends the queued messages, and connects first if necessary.
func (s *sender) deliver() {
	if s.isClosed() {
		s.disconnect()
	}
	if !s.peers.dropExpired(s) {
		return
	}
	if s.connection == nil && !s.connect() {
		s.backOff()
		return
	}
	s.deliverAll(s.peers.takeAll(s))
}

// deliverAll sends the messages, and makes a new connection whenever one breaks.
func (s *sender) deliverAll(messages []queuedMessage) {
	for len(messages) > 0 {
		if s.connection == nil && !s.connect() {
			s.countLost(len(messages))
			s.backOff()
			return
		}
		messages = s.write(messages)
	}
}

func (s *sender) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

func (s *sender) connect() bool {
	connection, err := dial(s.peers.ctx, s.peers.routes.resolve(s.address))
	if err != nil {
		s.peers.count(func(counts *PeersCounts) { counts.Failures++ })
		return false
	}
	s.peers.count(func(counts *PeersCounts) { counts.Connections++ })
	s.connection = connection
	s.closed = make(chan struct{})
	s.encoder = newEncoder(kindPeer)
	s.connectedAt = time.Now()
	s.peers.wait.Add(1)
	go s.watchForClose(connection, s.closed)
	s.stopWatching = context.AfterFunc(s.peers.ctx, func() { _ = connection.Close() })
	return true
}

// watchForClose closes the channel as soon as the other side closes the connection, so that the next message isn't written to
// a dead connection.
func (s *sender) watchForClose(connection net.Conn, closed chan<- struct{}) {
	defer s.peers.wait.Done()
	_, _ = connection.Read(make([]byte, closeReadSize))
	close(closed)
}

func (s *sender) disconnect() {
	if s.connection == nil {
		return
	}
	s.stopWatching()
	_ = s.connection.Close()
	if time.Since(s.connectedAt) > stableAfter {
		s.backoff = minBackoff
	}
	s.connection, s.closed, s.encoder = nil, nil, nil
}

// backOff waits before the next attempt to connect. Queued messages stay queued, and the sender is woken again for them.
func (s *sender) backOff() {
	timer := time.NewTimer(s.backoff)
	defer timer.Stop()
	s.backoff = min(2*s.backoff, maxBackoff)
	select {
	case <-timer.C:
	case <-s.peers.ctx.Done():
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write sends messages until the connection breaks, and returns those that were not yet processed.
func (s *sender) write(messages []queuedMessage) []queuedMessage {
	for index, queued := range messages {
		if !s.encode(queued.message) {
			return messages[index+1:]
		}
		if s.encoder.size() >= flushSize && !s.flush() {
			return messages[index+1:]
		}
	}
	s.flush()
	return nil
}

// encode adds the message to the encoder. If it can't be sent, it is dropped, and the connection is closed because its encoder
// can't be used any more.
func (s *sender) encode(message replication.Message) bool {
	err := s.encoder.add(peerFrame{Message: message})
	if err == nil {
		s.unflushed++
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
	messages := s.unflushed
	s.unflushed = 0
	if err := s.encoder.flush(s.connection, time.Time{}); err != nil {
		s.countLost(int(messages))
		s.disconnect()
		return false
	}
	s.peers.count(func(counts *PeersCounts) { counts.Sent += messages })
	return true
}

func (s *sender) countLost(messages int) {
	s.peers.count(func(counts *PeersCounts) { counts.Lost += uint64(messages) })
}
