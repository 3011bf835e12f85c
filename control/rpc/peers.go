package rpc

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"eiderway/control/replication"
)

// PeersCounts counts the messages to other controllers by what happened to them.
type PeersCounts struct {
	Sent        uint64 // written to a connection; whether they arrived is not known
	Overflowed  uint64 // dropped because the queue of their address was full
	Expired     uint64 // dropped because no connection could be made in time
	TooLong     uint64 // dropped because they don't fit into a frame or can't be encoded
	Lost        uint64 // not sent, or possibly not sent, because a connection broke
	Connections uint64 // made
	Failures    uint64 // attempts to connect that failed
}

// Peers sends one-way messages to other controllers, over one connection for each address.
type Peers struct {
	self   string
	routes Routes
	log    logrus.FieldLogger
	ctx    context.Context
	stop   context.CancelFunc
	wait   sync.WaitGroup

	mutex   sync.Mutex
	senders map[string]*sender
	counts  PeersCounts
}

// NewPeers returns a sender of messages to other controllers. Self is the address of this process, to which nothing is sent.
func NewPeers(self string, routes Routes, log logrus.FieldLogger) *Peers {
	ctx, stop := context.WithCancel(context.Background())
	return &Peers{self: self, routes: routes, log: log, ctx: ctx, stop: stop, senders: map[string]*sender{}}
}

// Send queues the message for the controller at the address. It never blocks; the message may be lost.
func (p *Peers) Send(address string, message replication.Message) {
	if address == "" || address == p.self {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	p.senderLocked(address).queueLocked(queuedMessage{message: message, since: time.Now()})
}

// Counts returns the counts up to now.
func (p *Peers) Counts() PeersCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

// Close drops all queued messages and closes all connections.
func (p *Peers) Close() {
	p.mutex.Lock()
	p.stop()
	p.mutex.Unlock()
	p.wait.Wait()
}

func (p *Peers) senderLocked(address string) *sender {
	existing, found := p.senders[address]
	if found {
		return existing
	}
	created := newSender(p, address)
	p.senders[address] = created
	p.wait.Add(1)
	go created.run()
	return created
}

func (p *Peers) count(change func(*PeersCounts)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(&p.counts)
}

// dropExpired drops messages that have waited too long and reports whether any are left.
func (p *Peers) dropExpired(from *sender) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	fresh := slices.IndexFunc(from.queue, func(waiting queuedMessage) bool { return now.Sub(waiting.since) <= maxQueueTime })
	if fresh < 0 {
		fresh = len(from.queue)
	}
	p.counts.Expired += uint64(fresh)
	from.queue = slices.Delete(from.queue, 0, fresh) // also clears the dropped elements, so that they can be collected
	return len(from.queue) > 0
}

// takeAll empties the queue of the sender and returns what was in it.
func (p *Peers) takeAll(from *sender) []queuedMessage {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	taken := from.queue
	from.queue = nil
	return taken
}

// retire removes an idle sender; false if a message was queued meanwhile.
func (p *Peers) retire(idle *sender) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(idle.queue) > 0 {
		return false
	}
	delete(p.senders, idle.address)
	return true
}
