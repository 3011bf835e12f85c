package proxy

import (
	"crypto/ed25519"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"eiderway/gossip/transport"
	"eiderway/testing/loopback"
	"eiderway/testserver"
)

var (
	fleetSize = flag.Int("fleet", 5, "routers of the fleet that gossips")
	fleetFor  = flag.Duration("fleetfor", 3*time.Second, "how long a fault lasts")
	fleetAll  = flag.Bool("fleetall", false, "all faults, with and without gossip")
)

// fleetRun is what a fleet did while one replica had a fault.
type fleetRun struct {
	sent, lost atomic.Int64  // txns; those that were declined or rolled back
	at         int64         // statements that went to the node at fault
	until      time.Duration // from the fault to the last of them
	doubts     int64
}

// playFleet runs routers with little traffic each before a primary and five replicas, one of which gets a fault.
func playFleet(t *testing.T, gossips bool, fault testserver.Fault) *fleetRun {
	n := *fleetSize
	g, err := testserver.NewGroup(0, 5)
	require.NoError(t, err)
	defer g.Close()
	g.Run = func(string) []byte { return testserver.Row("ok") }
	d, err := testserver.NewDiscovery(g)
	require.NoError(t, err)
	defer d.Close()
	dir := t.TempDir()
	members := ""
	addrs := make([]string, n)
	for i := range n {
		public, err := transport.NewKey(filepath.Join(dir, fmt.Sprint(i)))
		require.NoError(t, err)
		members += fmt.Sprintf("    - {name: r%d, keys: [%q]}\n", i, transport.FormatKey(ed25519.PublicKey(public)))
		addrs[i] = loopback.ReserveForTest(t).Address()
	}
	routers := make([]*router, n)
	for i := range n {
		cfg := configure(t, d.Addr(), 1024)
		require.NoError(t, json.Unmarshal(d.List(), &cfg.Known))
		cfg.terms.Splitter.NodesCheckFreshness = true // else a hung replica is never proven fresh, and gets nothing anyway
		if gossips {
			own := fmt.Sprintf("gossip:\n  name: r%d\n  listen: %s\n  key: %s\n  seeds: [%s]\n  members:\n%s", i, addrs[i], filepath.Join(dir, fmt.Sprint(i)), addrs[0], members)
			path := filepath.Join(dir, fmt.Sprintf("%d.yaml", i))
			require.NoError(t, os.WriteFile(path, []byte(own), 0o600))
			require.NoError(t, cfg.ReadOwn(path))
		}
		routers[i] = startRouter(t, cfg)
	}
	run := &fleetRun{}
	var all sync.WaitGroup
	stop := make(chan struct{})
	for i, r := range routers {
		all.Go(func() {
			c, err := testserver.Dial(r.addr, patience)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			every := 300 * time.Millisecond // most routers carry little traffic, some far more
			if i%5 < 2 || !*fleetAll {
				every = 20 * time.Millisecond
			}
			tick := time.NewTicker(every)
			defer tick.Stop()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				run.sent.Add(1)
				kind := "look"
				if k%10 == 9 {
					kind = "claim"
				}
				a, err := c.Ask(statement(fmt.Sprintf("r%d-%d", i, k), kind, 1000), patience)
				if err != nil {
					t.Error(err)
					return
				}
				if a.Code != "" {
					run.lost.Add(1)
				}
			}
		})
	}
	if *fleetAll {
		time.Sleep(7 * time.Second) // voices of peers heard of for under 5 s count nothing
	}
	ill := g.Nodes()[3]
	before, from := ill.Asked(), time.Now()
	ill.SetFault(fault)
	if *fleetAll {
		time.Sleep(*fleetFor)
	} else {
		require.Eventually(t, func() bool {
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGUSR1))
			return slices.ContainsFunc(routers, func(r *router) bool {
				return slices.ContainsFunc(r.log.AllEntries(), func(e *logrus.Entry) bool {
					return e.Message == "gossip" && e.Data["doubts"].(int64) > 0
				})
			})
		}, 2*patience, 50*time.Millisecond, "doubts reach the module")
	}
	run.at, run.until = ill.Asked()-before, max(0, ill.LastAsked().Sub(from))
	close(stop)
	all.Wait()
	for _, r := range routers {
		r.stop()
		require.NoError(t, <-r.done)
		for _, e := range r.log.AllEntries() {
			if e.Message == "gossip" {
				run.doubts += e.Data["doubts"].(int64)
			}
		}
	}
	require.Empty(t, testserver.Misplaced(g.History(), func(text string) bool { return strings.Contains(text, "c=claim") }))
	ran := map[string]int{}
	for _, r := range g.History() {
		if strings.Contains(r.Text, "c=claim") {
			id, _, _ := strings.Cut(r.Text, ",")
			ran[id]++
			require.Equal(t, 1, ran[id], "a claim ran twice: %s", r.Text)
		}
	}
	return run
}

// TestGossipFleet has a replica hang before routers that gossip: doubts come up, and no rule suffers. With -fleetall it
// compares all faults with and without gossip.
func TestGossipFleet(t *testing.T) {
	if !*fleetAll {
		run := playFleet(t, true, testserver.Hangs)
		require.Greater(t, run.doubts, int64(0), "doubts reach the module")
		t.Logf("%d txns, %d lost; %d statements to the hung node, the last after %v; %d words of doubt", run.sent.Load(), run.lost.Load(), run.at, run.until, run.doubts)
		return
	}
	for name, fault := range map[string]testserver.Fault{"hangs": testserver.Hangs, "fails": testserver.Fails, "loses": testserver.Loses} {
		for _, on := range []bool{false, true} {
			run := playFleet(t, on, fault)
			t.Logf("%s, gossip %v: %d txns, %d lost; %d statements to the node, the last after %.1f s; %d words of doubt", name, on, run.sent.Load(),
				run.lost.Load(), run.at, run.until.Seconds(), run.doubts)
		}
	}
}

// TestGossipOff: without the section there is no gossip at all; with one that can't begin the router does not start.
func TestGossipOff(t *testing.T) {
	cfg := configure(t, "127.0.0.1:1", 1024)
	c := newCore(cfg, nil, t.Context(), nil, 1)
	require.Nil(t, c.gossip)
	require.NoError(t, c.noGossip)
	path := filepath.Join(t.TempDir(), "own.yaml")
	require.NoError(t, os.WriteFile(path, []byte("gossip:\n  name: r1\n  listen: 127.0.0.1:1\n  key: /nowhere\n  members: [{name: r1, keys: ["+
		"11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=]}]\n"), 0o600))
	require.NoError(t, cfg.ReadOwn(path))
	require.ErrorContains(t, Run(t.Context(), cfg, nil), "gossip: stat /nowhere")
}
