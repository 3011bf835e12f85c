package workload

import (
	"context"
	"time"

	"eiderway/testinstance"
	"eiderway/wire"
)

// Session is a client's session that a test drives by hand. It is for one caller at a time.
type Session struct {
	client  *client
	inside  bool // a transaction is open
	pending []testinstance.Write
}

// statementsOfSession is more than a session that a test drives has. Sessions of one client may follow each other, and no two statements have
// one id.
const statementsOfSession = 1 << 20

// OpenSession opens a session of a client at a gateway; nil: it was refused, or the gateway didn't answer.
func OpenSession(number int, gateway string, settings ClientSettings) *Session {
	ctx, cancel := context.WithTimeout(context.Background(), connectWait)
	defer cancel()
	opened := newClient(number, settings)
	first := settings.History.nextSession() * statementsOfSession
	opened.asked, opened.tries = first, first
	if !opened.open(ctx, gateway) {
		return nil
	}
	return &Session{client: opened}
}

// Begin begins a transaction, and tells whether that succeeded.
func (s *Session) Begin() bool {
	s.client.tries++
	s.inside, s.pending = true, nil
	return s.client.own(string(wire.Begin))
}

// Put writes, within the open transaction if there is one.
func (s *Session) Put(thing, data string) Statement {
	write := testinstance.Write{Key: thing, Data: data}
	text := string(wire.Put) + " " + thing + " " + data
	if s.inside {
		s.pending = append(s.pending, write)
		return s.ask(text, nil)
	}
	s.client.tries++
	return s.ask(text, []testinstance.Write{write})
}

// Commit ends the open transaction.
func (s *Session) Commit() Statement {
	s.inside = false
	return s.ask(string(wire.Commit), s.pending)
}

func (s *Session) ask(text string, writes []testinstance.Write) Statement {
	if s.client.conn == nil {
		return Statement{}
	}
	s.client.ask(time.Now(), text, writes)
	return s.client.History.last(s.client.number)
}

// Close ends the session.
func (s *Session) Close() { s.client.leave() }
