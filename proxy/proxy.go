// Package proxy is the real host of the splitter: it carries txns between sockets as the module decides, and
// tells the module exactly what became of them. It decides nothing and resends nothing.
//
// This file owns the lifetimes: it starts the actors, and ends them in order. It must never touch a txn.
package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"eiderway/terms"
)

const (
	ownDescriptors = 64  // kept for the listener, discovery, logs, the runtime and clients turned away
	memoryShare    = 0.7 // share of the memory limit from which the collector works harder
)

// Config is what a router is told at start.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`

	PeerListen string   `json:"peer_listen"` // datagrams of the routers of this tier come here
	Peers      []string `json:"peers"`       // where they come from and go to, by their numbers
	PeersAll   string   `json:"peers_all"`   // for all at once

	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    listing         `json:"known"`
	Settings json.RawMessage `json:"settings"`

	Own     *terms.Own `json:"-"` // our own settings; nil: none
	ownPath string
	seed    uint64
	terms   *terms.Terms
	path    string
}

// ReadOwn reads our own settings beside the configuration; a path of "" is none.
func (c *Config) ReadOwn(path string) (err error) {
	if path != "" {
		c.ownPath = path
		c.Own, err = terms.ReadOwn(path, c.seed)
	}
	return err
}

// ReadConfig reads and checks a configuration file.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{path: path}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", path, a.name, err)
		}
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: seed: %w", path, err)
	}
	c.seed = seed
	if c.terms, err = terms.Decode(c.Settings, int64(seed)); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = 1024
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = 192
	}
	if c.Limits.Sockets < 2*ownDescriptors {
		return nil, fmt.Errorf("%s: %d sockets are too few, %d are needed", path, c.Limits.Sockets,
			2*ownDescriptors)
	}
	return c, nil
}

// zone tells this router's zone by name.
func (c *Config) zone() string {
	for name, i := range c.terms.Zones {
		if i == c.terms.Splitter.Zone {
			return name
		}
	}
	return ""
}

// reread reads the configuration again and takes over what may change while serving: where discovery is. One that
// fails its checks is left aside, and what only a new start can change is told.
func (c *Config) reread(l *list, classes *classes, gossip *gossip, leases *leases, log *logrus.Logger) {
	if gossip != nil {
		gossip.reread(c.ownPath, c.seed)
	}
	if classes != nil {
		classes.reread(c.ownPath, c.seed)
	}
	if leases != nil {
		own, err := terms.ReadOwn(c.ownPath, c.seed)
		if err == nil {
			err = leases.reread(own)
		}
		if err != nil {
			log.WithError(err).Warn("the new set of routers for leases is left aside")
		}
	}
	next, err := ReadConfig(c.path)
	if err != nil {
		log.WithError(err).Warn("the new configuration is left aside")
		return
	}
	if next.Name != c.Name || next.Listen != c.Listen || next.Limits != c.Limits ||
		!bytes.Equal(next.Settings, c.Settings) {
		log.Warn("name, listen, limits and settings change with the next start only")
	}
	log.WithField("discovery", next.Discovery).Info("configuration read again")
	l.move(next.Discovery)
}

// clock tells the module's time: seconds of Unix time, which no step of the wall clock moves.
type clock struct {
	start time.Time
	zero  float64
}

func newClock() clock {
	now := time.Now()
	return clock{now, float64(now.UnixMicro()) / 1e6}
}

func (c clock) now() float64 { return c.zero + time.Since(c.start).Seconds() }

// at turns the module's time into one that deadlines understand.
func (c clock) at(t float64) time.Time {
	return c.start.Add(time.Duration((t - c.zero) * float64(time.Second)))
}

// stirred tells whether something came on a connection that nobody is reading: bytes, its end or an error.
func stirred(nc net.Conn) bool {
	conn, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		_, _, peeked = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || peeked != syscall.EAGAIN
}

// actor runs what it is told, one thing after the other. Telling never blocks.
type actor struct {
	mu      sync.Mutex
	mail    []func()
	handled []func() // what was taken from the mailbox; the actor's goroutine alone uses this
	wake    chan struct{}
}

func newActor() actor { return actor{wake: make(chan struct{}, 1)} }

func (a *actor) tell(f func()) {
	a.mu.Lock()
	a.mail = append(a.mail, f)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// turn waits until the actor is told something, and runs it. ok: the context has not ended.
func (a *actor) turn(ctx context.Context) (ok bool) {
	select {
	case <-ctx.Done():
		return false
	case <-a.wake:
	}
	a.handle(func() {})
	return true
}

// handle runs what the actor has been told, and before each of it what is given here.
func (a *actor) handle(before func()) {
	for i, f := range a.take() {
		before()
		f()
		a.handled[i] = nil
	}
}

// take empties the mailbox into what was handled before.
func (a *actor) take() []func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mail, a.handled = a.handled[:0], a.mail
	return a.handled
}

func (a *actor) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.mail)
}

// Run serves until ctx ends, then answers what it has taken.
func Run(ctx context.Context, cfg *Config, log *logrus.Logger) error {
	if cfg.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	}
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	defer signal.Stop(again)
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB<<20)))
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, life := errgroup.WithContext(life)
	each := (cfg.Limits.Sockets - ownDescriptors) / 2 // a txn out takes one of each kind
	c := newCore(cfg, log, life, g, each)
	// leave ends what was begun, where the router can't start.
	leave := func(err error) error {
		listener.Close()
		if c.tier != nil {
			c.tier.conn.Close()
		}
		end()
		g.Wait()
		return err
	}
	if c.noGossip != nil {
		return leave(fmt.Errorf("gossip: %w", c.noGossip))
	}
	if c.noTier != nil {
		return leave(c.noTier)
	}
	hub := newClients(c, listener, cfg.Limits.Sockets, each, cfg.Limits.MemoryMB)
	c.counters.watch(life, g, c, hub)
	g.Go(func() error { return c.run(life) })
	g.Go(func() error { return c.list.run(life) })
	if c.gossip != nil {
		g.Go(func() error { return c.gossip.transport.Run(life) })
	}
	if c.tier != nil {
		c.tier.run(life, g)
	}
	if c.leases != nil {
		c.tell(c.leases.act)
	}
	if c.classes != nil {
		g.Go(func() error { return c.classes.run(life) })
	}
	if cfg.Own != nil && cfg.Own.Admin != nil {
		if err := listenAdmin(life, g, c, cfg.Own.Admin.Socket); err != nil {
			return leave(err)
		}
	}
	g.Go(func() error {
		for {
			select {
			case <-life.Done():
				return nil
			case <-again:
				cfg.reread(c.list, c.classes, c.gossip, c.leases, log)
			}
		}
	})
	g.Go(func() error {
		defer end() // the last client has its answer
		return hub.run(ctx, life)
	})
	log.WithFields(logrus.Fields{"name": cfg.Name, "listen": cfg.Listen}).Info("serving")
	err = g.Wait()
	c.counters.print(c, hub)
	return err
}
