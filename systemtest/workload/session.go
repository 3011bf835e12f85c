package workload

import (
	"context"
	"time"

	"eiderway/testinstance"
	"eiderway/wire"
)

// Session is a client's session that a test drives statement by statement. It is not safe for concurrent use.
type Session struct {
	client        *client
	inTransaction bool // a transaction is open
	pending       []testinstance.Write
}

// statementsPerSession is more than the statements of any session that a test drives. It separates the IDs of successive
// sessions of one client, as no two statements may share an ID.
const statementsPerSession = 1 << 20

// OpenSession opens a session of a client at a gateway. It returns nil if the gateway refused it or didn't answer.
func OpenSession(number int, gateway string, settings ClientSettings) *Session {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	opened := newClient(number, settings)
	first := settings.History.nextSession() * statementsPerSession
	opened.asked, opened.tries = first, first
	if !opened.open(ctx, gateway) {
		return nil
	}
	return &Session{client: opened}
}

// Begin begins a transaction, and reports whether that succeeded.
func (s *Session) Begin() bool {
	s.client.tries++
	s.inTransaction, s.pending = true, nil
	return s.client.askUnrecorded(string(wire.Begin))
}

// Put sends a write, within the open transaction if there is one.
func (s *Session) Put(thing, data string) Statement {
	write := testinstance.Write{Key: thing, Data: data}
	text := string(wire.Put) + " " + thing + " " + data
	if s.inTransaction {
		s.pending = append(s.pending, write)
		return s.ask(text, nil)
	}
	s.client.tries++
	return s.ask(text, []testinstance.Write{write})
}

// Fetch sends a read.
func (s *Session) Fetch(thing string) Statement {
	s.client.tries++
	return s.ask(string(wire.Fetch)+" "+thing, nil)
}

// Commit commits the open transaction.
func (s *Session) Commit() Statement {
	s.inTransaction = false
	return s.ask(string(wire.Commit), s.pending)
}

func (s *Session) ask(text string, writes []testinstance.Write) Statement {
	if s.client.conn == nil {
		return Statement{}
	}
	s.client.ask(time.Now(), text, writes)
	return s.client.History.lastOf(s.client.number)
}

// Close ends the session.
func (s *Session) Close() { s.client.disconnect() }
