package testinstance

import (
	"fmt"
	"time"

	"eiderway/wire"
)

// executeWithoutSlot executes a statement that needs no slot.
func (c *connection) executeWithoutSlot(statement wire.Statement) wire.Answer {
	switch statement.Verb {
	case wire.Begin:
		return c.begin(statement)
	case wire.Abort:
		c.endTransaction()
	case wire.SetOpt:
		c.values[statement.Name] = statement.Value
	case wire.Prepare:
		c.prepared[statement.Name] = statement
	case wire.Release:
		delete(c.prepared, statement.Name)
	case wire.Reset:
		c.reset()
	}
	return c.completed()
}

func (c *connection) begin(statement wire.Statement) wire.Answer {
	if c.state != wire.Idle {
		return c.fail(wire.Malformed, "a transaction is open")
	}
	instance := c.instance
	instance.service.mutex.Lock()
	isPrimary, term, log := instance.primary, instance.term, instance.log
	instance.service.mutex.Unlock()
	if statement.HasAfter && !log.reaches(statement.After) {
		return c.fail(wire.Lagging, "")
	}
	if !statement.ReadOnly && !isPrimary {
		return c.fail(wire.ReadOnly, instance.id)
	}
	c.state = wire.InTransaction
	c.readOnly, c.transactionTerm, c.pending, c.hasOperation = statement.ReadOnly, term, nil, false
	return c.completed()
}

func (c *connection) endTransaction() {
	c.state = wire.Idle
	c.pending = nil
}

// run executes a statement that needed a slot.
func (c *connection) run(request wire.Request, statement wire.Statement) (wire.Answer, error) {
	if c.ctx.Err() != nil {
		return wire.Answer{}, errConnectionLost
	}
	switch statement.Verb {
	case wire.Fetch:
		return c.fetch(request, statement), nil
	case wire.Put:
		return c.put(request, statement)
	case wire.Commit:
		return c.commit(request)
	}
	c.instance.service.mutex.Lock()
	defer c.instance.service.mutex.Unlock()
	return c.executeControl(statement), nil
}

func (c *connection) fetch(request wire.Request, statement wire.Statement) wire.Answer {
	service := c.instance.service
	service.mutex.Lock()
	log, lost := c.instance.log, c.lostPrimaryRole()
	execution := Execution{ID: request.ID, Text: request.Text, Log: log, Rows: c.rowsOf(log, statement.Key)}
	var stamp string
	lags := statement.HasAfter && !log.reaches(statement.After)
	if !lags && !lost {
		stamp = c.record(execution, c.isFirstOperation())
	}
	service.mutex.Unlock()
	switch {
	case lags:
		return c.fail(wire.Lagging, "")
	case lost:
		return c.fail(wire.ReadOnly, c.instance.id)
	}
	return wire.Answer{Rows: execution.Rows, Stamp: stamp, State: c.state, Position: positionOf(log)}
}

// lostPrimaryRole reports whether a read-write transaction is open, but the instance isn't the primary of its term any more. The
// lock is held.
func (c *connection) lostPrimaryRole() bool {
	isPlain := c.state == wire.InTransaction && !c.readOnly
	return isPlain && (!c.instance.primary || c.instance.term != c.transactionTerm)
}

// rowsOf returns the rows of a read: the open transaction's own write to the key, or else what the log holds.
func (c *connection) rowsOf(log Log, key string) []string {
	for at := len(c.pending) - 1; at >= 0; at-- {
		if c.pending[at].Key == key {
			return []string{c.pending[at].Data}
		}
	}
	if data, found := log.read(key); found {
		return []string{data}
	}
	return nil
}

func (c *connection) put(request wire.Request, statement wire.Statement) (wire.Answer, error) {
	write := Write{Key: statement.Key, Data: statement.Data}
	if c.state == wire.Idle {
		return c.write(request, []Write{write}, true)
	}
	service := c.instance.service
	service.mutex.Lock()
	refused := c.readOnly || c.lostPrimaryRole()
	var stamp string
	if !refused {
		c.pending = append(c.pending, write)
		stamp = c.record(Execution{ID: request.ID, Text: request.Text, Log: c.instance.log}, c.isFirstOperation())
	}
	service.mutex.Unlock()
	if refused {
		return c.fail(wire.ReadOnly, c.instance.id), nil
	}
	return wire.Answer{Stamp: stamp, State: c.state, Position: c.position()}, nil
}

func (c *connection) commit(request wire.Request) (wire.Answer, error) {
	if c.state == wire.Idle {
		return c.fail(wire.Malformed, "no transaction is open"), nil
	}
	if c.state == wire.Failed {
		c.endTransaction()
		return c.fail(wire.RolledBack, ""), nil
	}
	writes := c.pending
	service := c.instance.service
	service.mutex.Lock()
	lost := c.lostPrimaryRole() && len(writes) > 0
	stamp := ""
	if len(writes) == 0 {
		stamp = c.record(Execution{ID: request.ID, Text: request.Text, Log: c.instance.log}, false)
	}
	service.mutex.Unlock()
	c.endTransaction()
	switch {
	case lost:
		return c.fail(wire.ReadOnly, c.instance.id), nil
	case len(writes) == 0:
		return wire.Answer{Stamp: stamp, State: c.state, Position: c.position()}, nil
	}
	return c.write(request, writes, false)
}

// write commits, and waits until a replica has received the commit. A commit that no replica has received when the instance
// stops being the primary gets no answer.
func (c *connection) write(request wire.Request, writes []Write, first bool) (wire.Answer, error) {
	instance := c.instance
	service := instance.service
	service.mutex.Lock()
	if !instance.primary || !instance.isRunning || c.ctx.Err() != nil {
		service.mutex.Unlock()
		return c.fail(wire.ReadOnly, instance.id), nil
	}
	entry := instance.appendEntry(request.ID, writes)
	stamp := c.record(Execution{ID: request.ID, Text: request.Text, Log: instance.log, Wrote: true}, first)
	service.mutex.Unlock()
	if !instance.awaitReplication(c.ctx, entry) {
		return wire.Answer{}, errConnectionLost
	}
	return wire.Answer{Stamp: stamp, State: c.state, Position: wire.FormatPosition(entry.Position)}, nil
}

// isFirstOperation reports whether a read or write is a single statement or the first of its transaction, and records that the
// transaction has one.
func (c *connection) isFirstOperation() bool {
	first := c.state == wire.Idle || !c.hasOperation
	c.hasOperation = c.state == wire.InTransaction
	return first
}

// record adds an execution to the journal, and returns its stamp. The lock is held.
func (c *connection) record(execution Execution, first bool) string {
	service := c.instance.service
	service.stampCount++
	execution.Instance = c.instance.id
	execution.Term = c.instance.term
	execution.Stamp = fmt.Sprintf("%d.%s.%x", execution.Term, execution.Instance, service.stampCount)
	execution.At = time.Now()
	execution.First = first
	execution.Caller, execution.User = c.caller, c.user
	service.journal.Executions = append(service.journal.Executions, execution)
	return execution.Stamp
}
