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
	answerTimeout    = 3 * time.Second       // for the answer to a statement
	connectTimeout   = 2 * time.Second       // for the READY of a new session
	operationTimeout = 10 * time.Second      // for an operation with all its tries
	minPause         = 4 * time.Millisecond  // between operations
	maxPause         = 12 * time.Millisecond // between operations
	retryPause       = 20 * time.Millisecond // after a try that failed
	keyCount         = 8                     // that clients read and write
	preparedWrite    = "w"
	preparedRead     = "r"
	executeFetch     = string(wire.Execute) + " " + preparedRead + " "
	executePut       = string(wire.Execute) + " " + preparedWrite + " "
	sessionLength    = 60 // operations, after which a client closes its session and opens another
	sharePrepared    = 4  // one statement in so many is prepared
	shareRollback    = 8  // one transaction in so many is rolled back
)

// operationKind is the kind of an operation. Half of the operations are single writes.
type operationKind int

const (
	aRead operationKind = iota
	aTransaction
	aWrite
	anotherWrite
	operationKinds
)

// ClientSettings are the settings that a group of clients shares.
type ClientSettings struct {
	Database string
	Gateways func() []string // front addresses, of which each session takes one
	History  *History
	Key      func(client int) string // nil: clients give names of their own, which are no tenant's keys
	Eager    bool                    // clients don't pause between operations
}

// keyOf returns the key that a client gives at CONNECT, or its name if clients have no keys.
func (s ClientSettings) keyOf(client int) string {
	if s.Key == nil {
		return fmt.Sprintf("client-%d", client)
	}
	return s.Key(client)
}

// Clients is a running group of clients, each of which opens a session, works, closes it and opens another.
type Clients struct {
	stop    context.CancelFunc
	running sync.WaitGroup
}

// StartClients starts the given count of clients. They are numbered from first on; IDs of statements contain the number.
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

// client runs operations one after the other and records them in the history.
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
	defer c.disconnect()
	for ctx.Err() == nil {
		c.runOperation(ctx)
		if !c.Eager {
			pause(ctx, minPause+time.Duration(c.random.Int64N(int64(maxPause-minPause))))
		}
	}
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// runOperation does one operation, and retries it until it ends, may have had an effect or times out.
func (c *client) runOperation(ctx context.Context) {
	c.operations++
	if c.operations > sessionLength {
		c.disconnect()
	}
	kind := operationKind(c.random.IntN(int(operationKinds)))
	writes := c.newWrites(kind)
	began := time.Now()
	for time.Since(began) < operationTimeout {
		outcome := c.try(kind, writes)
		if outcome == Done && len(writes) > 0 {
			c.History.addWait(time.Since(began))
		}
		if outcome != NoEffect || ctx.Err() != nil {
			return
		}
		pause(ctx, retryPause)
	}
}

// newWrites returns the writes of a new operation. No two operations write the same data.
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
		writes = append(writes, testinstance.Write{Key: c.randomKey(), Data: fmt.Sprintf("d%d.%d", c.number, c.written)})
	}
	return writes
}

func (c *client) randomKey() string { return fmt.Sprintf("t%d", c.random.IntN(keyCount)) }

// try does the operation once.
func (c *client) try(kind operationKind, writes []testinstance.Write) Outcome {
	if c.conn == nil && !c.connect() {
		return NoEffect
	}
	c.tries++
	switch kind {
	case aRead:
		return c.ask(time.Now(), c.fetchText(c.randomKey()), nil)
	case aTransaction:
		return c.runTransaction(writes)
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
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	gateways := c.Gateways()
	address := gateways[c.random.IntN(len(gateways))]
	if !c.open(ctx, address) {
		return false
	}
	return c.askUnrecorded(wire.PrepareText(preparedWrite, wire.Put, "shape-w")) &&
		c.askUnrecorded(wire.PrepareText(preparedRead, wire.Fetch, "shape-r"))
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

// askUnrecorded sends a statement that is not recorded in the history, and reports whether it succeeded.
func (c *client) askUnrecorded(text string) bool {
	answer, err := c.conn.QueryUntil(time.Now().Add(answerTimeout), c.nextID(), text)
	if err != nil || answer.Code != "" {
		c.disconnect()
		return false
	}
	return true
}

func (c *client) nextID() string {
	c.asked++
	id := fmt.Sprintf("s%d.%d", c.number, c.asked)
	c.History.recordGateway(id, c.gateway)
	return id
}

// ask sends a read, a write or a commit and records its result.
func (c *client) ask(began time.Time, text string, writes []testinstance.Write) Outcome {
	statement := Statement{
		Client: c.number, Key: c.key, Gateway: c.gateway, Try: fmt.Sprintf("%d.%d", c.number, c.tries),
		ID: c.nextID(), Text: text, Began: began, Sent: time.Now(), Writes: writes,
	}
	answer, err := c.conn.QueryUntil(time.Now().Add(answerTimeout), statement.ID, text)
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
		c.disconnect()
	}
	c.History.add(statement)
	return statement.Outcome
}

// runTransaction does a read and the writes in a transaction. Some transactions are rolled back.
func (c *client) runTransaction(writes []testinstance.Write) Outcome {
	began := time.Now()
	if !c.askUnrecorded(string(wire.Begin)) {
		return NoEffect
	}
	if c.ask(began, c.fetchText(c.randomKey()), nil) != Done {
		return c.abandon()
	}
	for _, write := range writes {
		if c.ask(began, c.putText(write), nil) != Done {
			return c.abandon()
		}
	}
	if c.random.IntN(shareRollback) == 0 {
		c.askUnrecorded(string(wire.Abort))
		return Unknown // the operation is over
	}
	return c.ask(began, string(wire.Commit), writes)
}

// abandon closes the session of a transaction whose commit was not sent, which therefore has no effect.
func (c *client) abandon() Outcome {
	c.disconnect()
	return NoEffect
}

// pause waits until the duration has passed or the context ends.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
