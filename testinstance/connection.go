package testinstance

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"eiderway/wire"
)

// connection is one caller of an instance. Its session belongs to the goroutine that serves it.
type connection struct {
	instance *Instance
	who      string // as the caller names itself
	caller   string // the process that it is: its name, until a client's statement tells better
	network  net.Conn
	ctx      context.Context
	stop     context.CancelFunc
	life     context.Context // of the instance's process

	state     wire.State
	prepared  map[string]wire.Statement
	values    map[string]string
	readOnly  bool    // of the open transaction
	pending   []Write // of the open transaction
	opened    bool    // the open transaction has run a read or a write
	beganTerm uint64  // of the open transaction
}

func (i *Instance) accept(ctx context.Context, listener net.Listener) {
	for {
		network, err := listener.Accept()
		if err != nil {
			return
		}
		served := &connection{instance: i, network: network, state: wire.Idle, life: ctx}
		served.ctx, served.stop = context.WithCancel(ctx)
		served.reset()
		if !i.admit(served) {
			_ = network.Close()
			return
		}
		i.service.running.Go(served.serve)
	}
}

// admit takes a connection in, unless the instance has ended meanwhile.
func (i *Instance) admit(served *connection) bool {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	if !i.isRunning || served.ctx.Err() != nil {
		return false
	}
	i.connections[served] = struct{}{}
	return true
}

// cut closes the connection under whoever uses it.
func (c *connection) cut() {
	c.stop()
	_ = c.network.Close()
}

func (c *connection) serve() {
	defer c.leave()
	reader := wire.NewReader(c.network)
	line, err := reader.ReadLine()
	if err != nil {
		return
	}
	connect, err := wire.ParseConnect(line)
	if err != nil {
		return
	}
	c.who, c.caller = connect.User, connect.User
	if !c.awaitJoin() || !c.open(connect) {
		return
	}
	for {
		line, err := reader.ReadLine()
		if err != nil {
			return
		}
		request, err := wire.ParseRequest(line)
		c.recognise(request.ID)
		if err != nil || request.Quit || !c.instance.awaitThaw(c.ctx) || !c.awaitJoin() {
			return
		}
		answer, err := c.take(request)
		if err != nil || !c.instance.awaitThaw(c.ctx) || !c.awaitJoin() {
			return
		}
		if request.ID != wire.InternalID && happens(c.instance.service.currentFaults().LoseAnswers) {
			return
		}
		if _, err := c.network.Write(wire.AppendAnswer(nil, answer)); err != nil {
			return
		}
	}
}

// recognise learns which process the caller is.
func (c *connection) recognise(statementID string) {
	callerOf := c.instance.service.settings.CallerOf
	if callerOf == nil || statementID == "" || statementID == wire.InternalID {
		return
	}
	if process, known := callerOf(statementID); known {
		c.caller = process
	}
}

func (c *connection) leave() {
	c.cut()
	c.instance.service.mutex.Lock()
	defer c.instance.service.mutex.Unlock()
	delete(c.instance.connections, c)
}

// open answers CONNECT, and tells whether the connection goes on.
func (c *connection) open(connect wire.Connect) bool {
	if !c.instance.awaitThaw(c.ctx) {
		return false
	}
	settings := c.instance.service.settings
	refusal := c.refusalOf(connect)
	if refusal != "" {
		_, _ = c.network.Write(wire.AppendError(nil, refusal, c.instance.id))
		return false
	}
	if !c.takeSlot() {
		_, _ = c.network.Write(wire.AppendError(nil, wire.Busy, ""))
		return false
	}
	c.work(settings.ConnectTime)
	c.freeSlot()
	c.noteConnected()
	_, err := c.network.Write(wire.AppendReady(nil, wire.Idle, c.position()))
	return err == nil
}

func (c *connection) noteConnected() {
	service := c.instance.service
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.journal.Connected = append(service.journal.Connected, Connected{User: c.who, Instance: c.instance.id, At: time.Now()})
}

func (c *connection) refusalOf(connect wire.Connect) wire.Code {
	service := c.instance.service
	service.mutex.Lock()
	defer service.mutex.Unlock()
	switch {
	case connect.Database != service.settings.Name:
		return wire.WrongNode
	case connect.InstanceID != "" && connect.InstanceID != c.instance.id:
		return wire.WrongNode
	case len(c.instance.connections) > service.settings.MaxConnections:
		return wire.ConnLimit
	}
	return ""
}

func (c *connection) position() string {
	c.instance.service.mutex.Lock()
	defer c.instance.service.mutex.Unlock()
	return positionOf(c.instance.log)
}

func positionOf(log Log) string {
	if len(log) == 0 {
		return wire.NoPosition
	}
	return wire.FormatPosition(log.End())
}

func (c *connection) reset() {
	c.prepared, c.values = map[string]wire.Statement{}, map[string]string{}
}

// errBroken ends a connection without an answer.
var errBroken = eris.New("the connection breaks off")

// take runs a statement. The error ends the connection.
func (c *connection) take(request wire.Request) (wire.Answer, error) {
	statement, err := wire.ParseInstanceStatement(request.Text)
	if err != nil {
		return c.fail(wire.Malformed, ""), nil
	}
	if c.state == wire.Failed && statement.Verb != wire.Commit && statement.Verb != wire.Abort {
		return c.fail(wire.Malformed, "the transaction has failed"), nil
	}
	if statement.Verb == wire.Execute {
		prepared, known := c.prepared[statement.Name]
		if !known {
			return c.fail(wire.NoStmt, statement.Name), nil
		}
		statement.Verb = prepared.Kind
	}
	if !needsSlot(statement.Verb) {
		return c.takeQuick(statement), nil
	}
	if !c.takeSlot() {
		return c.fail(wire.Busy, ""), nil
	}
	c.work(c.instance.service.settings.Work)
	c.freeSlot() // a commit that waits for a replica holds none
	return c.run(request, statement)
}

func needsSlot(verb wire.Verb) bool {
	switch verb {
	case wire.Fetch, wire.Put, wire.Commit, wire.Status, wire.Pause, wire.Continue, wire.StepDown:
		return true
	}
	return false
}

// fail answers with an ERROR; an open transaction has then failed.
func (c *connection) fail(code wire.Code, text string) wire.Answer {
	if c.state == wire.InTransaction {
		c.state = wire.Failed
	}
	answer := wire.Refusal(code, text, c.state)
	answer.Position = c.position()
	return answer
}

func (c *connection) completed() wire.Answer {
	answer := wire.Completed(c.state)
	answer.Position = c.position()
	return answer
}

// controlled answers one of the system's own statements with the status row. The lock is held.
func (c *connection) controlled(statement wire.Statement) wire.Answer {
	instance := c.instance
	switch statement.Verb {
	case wire.Pause:
		instance.pause(statement.Term)
	case wire.Continue:
		instance.resume()
	case wire.StepDown:
		if instance.primary && instance.term < statement.Term {
			instance.stepDown(statement.Term)
		}
	}
	answer := wire.Completed(c.state)
	answer.Rows = []string{wire.FormatStatus(instance.status())}
	answer.Position = positionOf(instance.log)
	return answer
}
