package testinstance

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"eiderway/wire"
)

// connection is a caller's connection to an instance. Only the goroutine that serves it uses the session's state.
type connection struct {
	instance    *Instance
	user        string // from CONNECT
	caller      string // the calling process: the user, until a statement's ID names the process
	network     net.Conn
	ctx         context.Context
	stop        context.CancelFunc
	instanceCtx context.Context // ends when the instance stops

	state           wire.State
	prepared        map[string]wire.Statement
	values          map[string]string
	readOnly        bool    // whether the open transaction is
	pending         []Write // writes of the open transaction
	hasOperation    bool    // whether the open transaction has run a read or a write
	transactionTerm uint64  // in which the open transaction began
}

func (i *Instance) accept(ctx context.Context, listener net.Listener) {
	for {
		network, err := listener.Accept()
		if err != nil {
			return
		}
		served := &connection{instance: i, network: network, state: wire.Idle, instanceCtx: ctx}
		served.ctx, served.stop = context.WithCancel(ctx)
		served.reset()
		if !i.admit(served) {
			_ = network.Close()
			return
		}
		i.service.running.Go(served.serve)
	}
}

// admit registers a connection, unless the instance has stopped meanwhile.
func (i *Instance) admit(served *connection) bool {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	if !i.isRunning || served.ctx.Err() != nil {
		return false
	}
	i.connections[served] = struct{}{}
	return true
}

// cut closes the connection, even while a goroutine uses it.
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
	c.user, c.caller = connect.User, connect.User
	if !c.awaitUncut() || !c.open(connect) {
		return
	}
	for {
		line, err := reader.ReadLine()
		if err != nil {
			return
		}
		request, err := wire.ParseRequest(line)
		c.identifyCaller(request.ID)
		if err != nil || request.Quit || !c.instance.awaitThaw(c.ctx) || !c.awaitUncut() {
			return
		}
		answer, err := c.execute(request)
		if err != nil || !c.instance.awaitThaw(c.ctx) || !c.awaitUncut() {
			return
		}
		if request.ID != wire.InternalID && occurs(c.instance.service.currentFaults().LoseAnswers) {
			return
		}
		if _, err := c.network.Write(wire.AppendAnswer(nil, answer)); err != nil {
			return
		}
	}
}

// identifyCaller finds out from a statement's ID which process the caller is.
func (c *connection) identifyCaller(statementID string) {
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

// open answers CONNECT, and reports whether the connection stays open.
func (c *connection) open(connect wire.Connect) bool {
	if !c.instance.awaitThaw(c.ctx) {
		return false
	}
	settings := c.instance.service.settings
	refusal := c.connectRefusal(connect)
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
	service.journal.Connected = append(service.journal.Connected, Connected{User: c.user, Instance: c.instance.id, At: time.Now()})
}

func (c *connection) connectRefusal(connect wire.Connect) wire.Code {
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

// errConnectionLost closes a connection without an answer.
var errConnectionLost = eris.New("the connection was lost")

// execute executes a statement. An error closes the connection.
func (c *connection) execute(request wire.Request) (wire.Answer, error) {
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
		return c.executeWithoutSlot(statement), nil
	}
	if !c.takeSlot() {
		return c.fail(wire.Busy, ""), nil
	}
	c.work(c.instance.service.settings.workOn(statement.Key))
	c.freeSlot() // a commit that waits for a replica holds no slot
	return c.run(request, statement)
}

func needsSlot(verb wire.Verb) bool {
	switch verb {
	case wire.Fetch, wire.Put, wire.Commit, wire.Status, wire.Pause, wire.Continue, wire.StepDown:
		return true
	}
	return false
}

// fail returns an ERROR answer, and marks an open transaction as failed.
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

// executeControl executes a control statement of the system, and answers with the status row. The lock is held.
func (c *connection) executeControl(statement wire.Statement) wire.Answer {
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
