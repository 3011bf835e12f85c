package workload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"eiderway/testinstance"
	"eiderway/wire"
)

const (
	tryWait       = 3 * time.Second       // for the answer to a statement
	connectWait   = 2 * time.Second       // for the READY of a new session
	operationWait = 10 * time.Second      // for an operation with all its tries
	restLeast     = 4 * time.Millisecond  // between operations
	restMost      = 12 * time.Millisecond // between operations
	retryRest     = 20 * time.Millisecond // after a try that failed
	things        = 8                     // that clients read and write
	preparedWrite = "w"
	preparedRead  = "r"
	executeFetch  = string(wire.Execute) + " " + preparedRead + " "
	executePut    = string(wire.Execute) + " " + preparedWrite + " "
	sessionLength = 60 // operations, after which a client leaves and comes again
	sharePrepared = 4  // one statement in so many is prepared
	shareRollback = 8  // one transaction in so many is rolled back
)

// operationKind is what a client does next. Half of the operations are single writes.
type operationKind int

const (
	aRead operationKind = iota
	aTransaction
	aWrite
	anotherWrite
	operationKinds
)

// ClientSettings are those of a number of clients.
type ClientSettings struct {
	Database string
	Gateways func() []string // front addresses, of which each session takes one
	History  *History
	Key      func(client int) string // nil: they have names of their own, which are nobody's keys
	Eager    bool                    // they don't rest between operations
}

// keyOf is what a client names itself.
func (s ClientSettings) keyOf(client int) string {
	if s.Key == nil {
		return fmt.Sprintf("client-%d", client)
	}
	return s.Key(client)
}

// Clients are sessions that come, work, go and come again.
type Clients struct {
	stop    context.CancelFunc
	running sync.WaitGroup
}

// StartClients starts so many clients. Their numbers, which name their statements, begin at first.
func StartClients(first, count int, settings ClientSettings) *Clients {
	ctx, stop := context.WithCancel(context.Background())
	started := &Clients{stop: stop}
	for number := first; number < first+count; number++ {
		one := newClient(number, settings)
		started.running.Go(func() { one.work(ctx) })
	}
	return started
}

// Stop lets each client finish its operation, and waits for them.
func (c *Clients) Stop() {
	c.stop()
	c.running.Wait()
}

func newClient(number int, settings ClientSettings) *client {
	return &client{
		ClientSettings: settings, number: number, key: settings.keyOf(number), random: rand.New(rand.NewPCG(uint64(number), 1)),
	}
}

// client is one of them.
type client struct {
	ClientSettings
	number     int
	key        string
	random     *rand.Rand
	asked      int
	tries      int
	written    int
	conn       *wire.Conn // nil: no session is open
	gateway    string     // of the session
	operations int        // of this session
}

func (c *client) work(ctx context.Context) {
	defer c.leave()
	for ctx.Err() == nil {
		c.operate(ctx)
		if !c.Eager {
			rest(ctx, restLeast+time.Duration(c.random.Int64N(int64(restMost-restLeast))))
		}
	}
}

func (c *client) leave() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// operate does one operation, with as many tries as are allowed.
func (c *client) operate(ctx context.Context) {
	c.operations++
	if c.operations > sessionLength {
		c.leave()
	}
	kind := operationKind(c.random.IntN(int(operationKinds)))
	writes := c.newWrites(kind)
	began := time.Now()
	for time.Since(began) < operationWait {
		outcome := c.try(kind, writes)
		if outcome == Done && len(writes) > 0 {
			c.History.addWait(time.Since(began))
		}
		if outcome != NoEffect || ctx.Err() != nil {
			return
		}
		rest(ctx, retryRest)
	}
}

// newWrites are those of an operation: no two operations write the same data.
func (c *client) newWrites(kind operationKind) []testinstance.Write {
	count := 1
	switch kind {
	case aRead:
		return nil
	case aTransaction:
		count = 2
	}
	var writes []testinstance.Write
	for range count {
		c.written++
		writes = append(writes, testinstance.Write{Key: c.thing(), Data: fmt.Sprintf("d%d.%d", c.number, c.written)})
	}
	return writes
}

func (c *client) thing() string { return fmt.Sprintf("t%d", c.random.IntN(things)) }

// try does the operation once.
func (c *client) try(kind operationKind, writes []testinstance.Write) Outcome {
	if c.conn == nil && !c.connect() {
		return NoEffect
	}
	c.tries++
	switch kind {
	case aRead:
		return c.ask(time.Now(), c.fetchText(c.thing()), nil)
	case aTransaction:
		return c.transact(writes)
	}
	return c.ask(time.Now(), c.putText(writes[0]), writes)
}

func (c *client) fetchText(thing string) string {
	if c.random.IntN(sharePrepared) == 0 {
		return executeFetch + thing
	}
	return string(wire.Fetch) + " " + thing
}

func (c *client) putText(write testinstance.Write) string {
	if c.random.IntN(sharePrepared) == 0 {
		return executePut + write.Key + " " + write.Data
	}
	return string(wire.Put) + " " + write.Key + " " + write.Data
}

// connect opens a session at one of the gateways.
func (c *client) connect() bool {
	ctx, cancel := context.WithTimeout(context.Background(), connectWait)
	defer cancel()
	gateways := c.Gateways()
	address := gateways[c.random.IntN(len(gateways))]
	if !c.open(ctx, address) {
		return false
	}
	return c.own(wire.PrepareText(preparedWrite, wire.Put, "shape-w")) &&
		c.own(wire.PrepareText(preparedRead, wire.Fetch, "shape-r"))
}

// open opens a session at a gateway.
func (c *client) open(ctx context.Context, gateway string) bool {
	conn, err := wire.Dial(ctx, gateway, c.Database, c.key, "")
	var refused *wire.RefusedError
	if errors.As(err, &refused) && refused.Code == wire.AuthFail {
		c.History.addRefused(c.key)
	}
	if err != nil {
		return false
	}
	c.conn, c.gateway, c.operations = conn, gateway, 0
	return true
}

// own asks what has no part in the history, and tells whether it succeeded.
func (c *client) own(text string) bool {
	answer, err := c.conn.QueryUntil(time.Now().Add(tryWait), c.nextID(), text)
	if err != nil || answer.Code != "" {
		c.leave()
		return false
	}
	return true
}

func (c *client) nextID() string {
	c.asked++
	id := fmt.Sprintf("s%d.%d", c.number, c.asked)
	c.History.sends(id, c.gateway)
	return id
}

// ask sends a read, a write or a commit and writes down what came of it.
func (c *client) ask(began time.Time, text string, writes []testinstance.Write) Outcome {
	statement := Statement{
		Client: c.number, Key: c.key, Gateway: c.gateway, Try: fmt.Sprintf("%d.%d", c.number, c.tries),
		ID: c.nextID(), Text: text, Began: began, Sent: time.Now(), Writes: writes,
	}
	answer, err := c.conn.QueryUntil(time.Now().Add(tryWait), statement.ID, text)
	statement.Answered = time.Now()
	statement.Code, statement.Stamp, statement.Rows = answer.Code, answer.Stamp, answer.Rows
	switch {
	case wire.DeliveryOf(err) == wire.NotSent && err != nil:
		statement.Outcome = NoEffect
	case err != nil:
		statement.Outcome = Unknown
	case answer.Code == "":
		statement.Outcome = Done
	case answer.Code.PromisesNoEffect():
		statement.Outcome = NoEffect
	}
	if err != nil || answer.State == wire.Failed {
		c.leave()
	}
	c.History.add(statement)
	return statement.Outcome
}

// transact writes within a transaction, after a read; some are rolled back.
func (c *client) transact(writes []testinstance.Write) Outcome {
	began := time.Now()
	if !c.own(string(wire.Begin)) {
		return NoEffect
	}
	if c.ask(began, c.fetchText(c.thing()), nil) != Done {
		return c.giveUp()
	}
	for _, write := range writes {
		if c.ask(began, c.putText(write), nil) != Done {
			return c.giveUp()
		}
	}
	if c.random.IntN(shareRollback) == 0 {
		c.own(string(wire.Abort))
		return Unknown // the operation is over
	}
	return c.ask(began, string(wire.Commit), writes)
}

// giveUp ends a transaction whose commit was not sent.
func (c *client) giveUp() Outcome {
	c.leave()
	return NoEffect
}

// rest waits, unless the context ends.
func rest(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
