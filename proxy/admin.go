package proxy

// This file owns the Unix socket that operators ask on: one question a connection, in a line, and its answer in JSON.
// What changes something goes through
// the book of leases or the clients' drain.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	askedIn    = 2 * time.Second // a question is there by then, its answer taken
	mostAsking = 4 + mostHolds   // connections at a time
	mostLines  = 10_000          // shapes that are told
)

// listenAdmin serves the socket until life ends. A socket that an earlier process left is removed, one in use is not.
func listenAdmin(life context.Context, g *errgroup.Group, c *core, path string) error {
	if info, err := os.Lstat(path); err == nil && info.Mode()&fs.ModeSocket != 0 {
		if nc, err := net.DialTimeout("unix", path, askedIn); err == nil {
			nc.Close()
			return fmt.Errorf("admin socket %s is in use", path)
		}
		os.Remove(path)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return err
	}
	context.AfterFunc(life, func() { l.Close() })
	places := make(chan struct{}, mostAsking)
	g.Go(func() error {
		for {
			nc, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				continue
			}
			select {
			case places <- struct{}{}:
				g.Go(func() error {
					c.asked(life, nc)
					<-places
					return nil
				})
			default:
				nc.Close()
			}
		}
	})
	return nil
}

func (c *core) asked(life context.Context, nc net.Conn) {
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(askedIn))
	line, err := bufio.NewReaderSize(nc, 256).ReadString('\n')
	if err != nil {
		return
	}
	if c.askedLease(nc, strings.TrimSpace(line)) {
		return
	}
	if strings.TrimSpace(line) == "peers" && c.gossip != nil {
		if s, ok := c.gossip.status(); ok {
			json.NewEncoder(nc).Encode(s)
		} else {
			json.NewEncoder(nc).Encode(map[string]string{"error": "the gossip is busy, ask again"})
		}
		return
	}
	if strings.TrimSpace(line) == "counters" {
		json.NewEncoder(nc).Encode(c.metrics())
		return
	}
	most := 0
	if _, err := fmt.Sscanf(strings.TrimSpace(line), "shapes %d", &most); err != nil || most < 1 || most > mostLines || c.classes == nil {
		json.NewEncoder(nc).Encode(map[string]string{"error": "ask `counters`, `drain`, `shapes N` (section classing), `peers` (section gossip) `lease status` (section lease) or `zone status` (section zones); the section must be on"})
		return
	}
	got := make(chan Shapes, 1)
	c.classes.tellAll(most, func(t Shapes) { got <- t })
	select {
	case t := <-got:
		json.NewEncoder(nc).Encode(t)
	case <-life.Done():
	}
}
