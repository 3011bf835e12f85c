package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"eiderway/control/feed"
	"eiderway/control/replication"
)

const (
	maxConnections     = 3600             // what the process's limit of descriptors leaves beside its other sockets and files
	maxOpenRequests    = 4                // requests on one connection: a gateway has one open, and a second one when it leaves
	greetingTimeout    = 2 * time.Second  // a slowed caller needs longer than a healthy one, but less than this
	foreignLogInterval = time.Minute      // between log lines about callers that don't speak the protocol
	acceptPause        = time.Second / 10 // after a failure to accept, for example because there are no descriptors left
)

// Handlers process what callers send. They are called from many goroutines.
type Handlers struct {
	// Message processes a controller's message. It must not block, because it delays further messages from that controller.
	Message func(replication.Message)
	// Watch answers a gateway's request. The context ends when the connection does. If it returns false, there is no answer
	// and the connection is closed, so that the gateway watchRequest another controller at once.
	Watch func(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool)
	// Log receives a line about callers that don't speak the protocol, at most once a minute. It may be nil.
	Log logrus.FieldLogger
}

// ServerCounts counts events on a server's connections.
type ServerCounts struct {
	Open    int    // connections
	Refused uint64 // connections closed at once because there were too many
	Foreign uint64 // connections closed because the greeting was invalid or late
	Broken  uint64 // connections closed because of bytes that are not a valid frame, or of too many requests
}

// Server accepts connections from other controllers and from gateways.
type Server struct {
	listener net.Listener
	handlers Handlers
	packer   packer
	ctx      context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup

	mutex          sync.Mutex
	connections    map[net.Conn]struct{}
	counts         ServerCounts
	lastForeignLog time.Time // when a line about foreign callers was last written
}

// Serve accepts connections from the listener until Close.
func Serve(listener net.Listener, handlers Handlers) *Server {
	ctx, stop := context.WithCancel(context.Background())
	server := &Server{listener: listener, handlers: handlers, ctx: ctx, stop: stop, connections: map[net.Conn]struct{}{}}
	server.wait.Add(1)
	go server.accept()
	return server
}

// Counts returns the counts up to now.
func (s *Server) Counts() ServerCounts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := s.counts
	counts.Open = len(s.connections)
	return counts
}

// Close closes the listener and all connections, and waits for the handlers to return.
func (s *Server) Close() {
	s.stop()
	_ = s.listener.Close()
	s.closeConnections()
	s.wait.Wait()
}

func (s *Server) closeConnections() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.connections {
		_ = connection.Close()
	}
}

func (s *Server) accept() {
	defer s.wait.Done()
	for s.ctx.Err() == nil {
		connection, err := s.listener.Accept()
		if err != nil {
			s.pauseAccepting()
			continue
		}
		s.handle(connection)
	}
}

func (s *Server) pauseAccepting() {
	select {
	case <-s.ctx.Done():
	case <-time.After(acceptPause):
	}
}

func (s *Server) handle(connection net.Conn) {
	if !s.register(connection) {
		_ = connection.Close()
		return
	}
	limitUnacked(connection)
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		defer s.unregister(connection)
		s.serve(connection)
	}()
}

func (s *Server) register(connection net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	if len(s.connections) >= maxConnections {
		s.counts.Refused++
		return false
	}
	s.connections[connection] = struct{}{}
	return true
}

func (s *Server) unregister(connection net.Conn) {
	_ = connection.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, connection)
}

func (s *Server) serve(connection net.Conn) {
	source := newDecoder(connection)
	_ = connection.SetReadDeadline(time.Now().Add(greetingTimeout))
	kind, err := source.readGreeting()
	if err != nil {
		s.countForeign(connection, err)
		return
	}
	if kind == kindPeer {
		s.servePeer(connection, source)
		return
	}
	serveGateway(s, connection, source)
}

func (s *Server) servePeer(connection net.Conn, source *decoder) {
	for s.ctx.Err() == nil {
		var frame peerFrame
		if !s.read(connection, source, &frame) {
			return
		}
		s.handlers.Message(frame.Message)
	}
}

// read reads one frame into the target; false at the end of the connection.
func (s *Server) read(connection net.Conn, source *decoder, target any) bool {
	_ = connection.SetReadDeadline(time.Now().Add(serverIdleTimeout))
	err := source.readValue(target)
	if isBroken(err) {
		s.countBroken()
	}
	return err == nil
}

func (s *Server) countBroken() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Broken++
}

// countForeign counts a caller that doesn't speak the protocol, and logs it if the last such line is long enough ago.
func (s *Server) countForeign(connection net.Conn, cause error) {
	if s.ctx.Err() != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Foreign++
	if s.handlers.Log == nil || (!s.lastForeignLog.IsZero() && time.Since(s.lastForeignLog) < foreignLogInterval) {
		return
	}
	s.lastForeignLog = time.Now()
	s.handlers.Log.Warnf("%d callers did not speak our protocol; the last from %s: %v", s.counts.Foreign, connection.RemoteAddr(), cause)
}
