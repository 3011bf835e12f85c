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
	maxConnections  = 3600             // what a process's descriptors leave beside its other sockets and files
	maxOpen         = 4                // questions on one connection: a gateway has one, and another when it leaves
	greetingTimeout = 2 * time.Second  // a slowed caller needs longer than a healthy one, not this long
	foreignLogEvery = time.Minute      // lines about callers that don't speak the protocol
	acceptPause     = time.Second / 10 // after a failure to accept, such as for want of descriptors
)

// Handlers take what callers send. They are called from many goroutines.
type Handlers struct {
	// Message takes a controller's message. It must not block: the messages of that controller wait behind it.
	Message func(replication.Message)
	// Watch answers a gateway's question. The context ends when the connection does. False: there is no answer, and the
	// connection is closed, so that the gateway asks elsewhere at once.
	Watch func(ctx context.Context, request feed.WatchRequest) (feed.WatchAnswer, bool)
	// Log gets a line about callers that don't speak the protocol, once a minute at most. Nil: no lines.
	Log logrus.FieldLogger
}

// ServerCounts counts what happened on a server's connections.
type ServerCounts struct {
	Open    int    // connections
	Refused uint64 // connections closed at once because there were too many
	Foreign uint64 // connections closed because of a greeting that isn't ours, or none in time
	Broken  uint64 // connections closed because of bytes that make no frame, or of too many questions
}

// Server takes connections of other controllers and of gateways.
type Server struct {
	listener net.Listener
	handlers Handlers
	packing  packing
	ctx      context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup

	mutex       sync.Mutex
	connections map[net.Conn]struct{}
	counts      ServerCounts
	logged      time.Time // when a line about foreign callers was written last
}

// Serve takes connections from the listener until Close.
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
		s.take(connection)
	}
}

func (s *Server) pauseAccepting() {
	select {
	case <-s.ctx.Done():
	case <-time.After(acceptPause):
	}
}

func (s *Server) take(connection net.Conn) {
	if !s.add(connection) {
		_ = connection.Close()
		return
	}
	bound(connection)
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		defer s.remove(connection)
		s.serve(connection)
	}()
}

func (s *Server) add(connection net.Conn) bool {
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

func (s *Server) remove(connection net.Conn) {
	_ = connection.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, connection)
}

func (s *Server) serve(connection net.Conn) {
	source := newDecoder(connection)
	_ = connection.SetReadDeadline(time.Now().Add(greetingTimeout))
	kind, err := source.greeting()
	if err != nil {
		s.noteForeign(connection, err)
		return
	}
	if kind == kindPeer {
		s.serveMessages(connection, source)
		return
	}
	serveQuestions(s, connection, source)
}

func (s *Server) serveMessages(connection net.Conn, source *decoder) {
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
	_ = connection.SetReadDeadline(time.Now().Add(serverIdle))
	err := source.value(target)
	if isBroken(err) {
		s.noteBroken()
	}
	return err == nil
}

func (s *Server) noteBroken() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Broken++
}

// noteForeign counts a caller that doesn't speak the protocol, and tells of it now and then.
func (s *Server) noteForeign(connection net.Conn, cause error) {
	if s.ctx.Err() != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Foreign++
	if s.handlers.Log == nil || (!s.logged.IsZero() && time.Since(s.logged) < foreignLogEvery) {
		return
	}
	s.logged = time.Now()
	s.handlers.Log.Warnf("%d callers did not speak our protocol; the last from %s: %v", s.counts.Foreign, connection.RemoteAddr(), cause)
}
