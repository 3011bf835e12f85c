package proxy

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"eiderway/testing/loopback"
	"eiderway/testserver"
)

const tierSize = 12

// playTier runs quiet routers before a primary and five replicas for as many reads each, and tells what they sent and
// asked.
func playTier(t *testing.T, talks bool, reads int) (sum map[string]int64) {
	g, err := testserver.NewGroup(0, 5)
	require.NoError(t, err)
	defer g.Close()
	g.Lag = 10 * time.Millisecond
	g.Run = func(string) []byte { return testserver.Row("ok") }
	d, err := testserver.NewDiscovery(g)
	require.NoError(t, err)
	defer d.Close()
	peers := make([]string, tierSize)
	for i := range peers {
		peers[i] = loopback.ReserveForTest(t).Address()
	}
	var routers []*router
	for i := range peers {
		cfg := configure(t, d.Addr(), 1024)
		require.NoError(t, json.Unmarshal(d.List(), &cfg.Known))
		cfg.terms.Peers = talks
		cfg.terms.Splitter.Self, cfg.terms.Splitter.Routers, cfg.seed = i, tierSize, uint64(i+1)
		cfg.PeerListen, cfg.Peers = peers[i], peers
		routers = append(routers, startRouter(t, cfg))
	}
	if talks { // what a stranger sends is none of ours
		stranger, err := net.Dial("udp", peers[0])
		require.NoError(t, err)
		defer stranger.Close()
		for _, b := range [][]byte{[]byte("?"), make([]byte, 400)} {
			_, err := stranger.Write(b)
			require.NoError(t, err)
		}
	}
	var all sync.WaitGroup
	for i, r := range routers {
		c := r.call(t)
		all.Go(func() {
			for k := range reads {
				kind := "look"
				if k%8 == 7 {
					kind = "claim"
				}
				c.ask(statement(fmt.Sprintf("r%d-%d", i, k), kind, 1000))
				if _, value, code, _ := c.answer(); value != "ok" {
					t.Errorf("router %d, txn %d: %q", i, k, code)
				}
				time.Sleep(250 * time.Millisecond) // longer than the bound: what one has seen is old by its next read
			}
		})
	}
	all.Wait()
	sum = map[string]int64{}
	for _, r := range routers {
		r.stop()
	}
	for _, r := range routers {
		require.NoError(t, <-r.done)
		for _, e := range r.log.AllEntries() {
			for _, field := range []string{"probes", "sent", "committed", "tells", "news", "taken", "dropped", "spoilt"} {
				if n, ok := e.Data[field].(int64); ok && (e.Message == "submissions" || e.Message == "knowing") {
					sum[field] += n
				}
			}
		}
	}
	require.Empty(t, testserver.Misplaced(g.History(), func(text string) bool { return strings.Contains(text, "c=claim") }))
	return sum
}

// TestTier: routers that tell each other ask nodes far less for the same txns, none of which is lost or misplaced.
func TestTier(t *testing.T) {
	const reads = 8
	alone, together := playTier(t, false, reads), playTier(t, true, reads)
	t.Logf("%d routers, %d txns each: alone %v, together %v", tierSize, reads, alone, together)
	require.Zero(t, alone["tells"])
	require.Equal(t, alone["committed"], together["committed"])
	require.Less(t, 2*together["probes"], alone["probes"])
	require.Greater(t, together["tells"], int64(10))
	require.GreaterOrEqual(t, together["dropped"], int64(2), "datagrams of a stranger")
}

// TestNoTier: there is no talk where the configuration, the settings or our own settings do not have it, and a router does
// not start with peers that are none.
func TestNoTier(t *testing.T) {
	addr := loopback.ReserveForTest(t).Address()
	fresh := func() *Config {
		cfg := configure(t, "127.0.0.1:1", 1024)
		cfg.terms.Peers, cfg.PeerListen, cfg.Peers = true, addr, []string{addr, "127.0.0.1:1"}
		return cfg
	}
	none := func(cfg *Config) *core {
		c := newCore(cfg, logrus.New(), t.Context(), nil, 1)
		require.NoError(t, c.noTier)
		return c
	}
	c := none(fresh())
	require.NotNil(t, c.peerState)
	c.tier.conn.Close()
	for _, change := range []func(*Config){
		func(c *Config) { c.terms.Peers = false },
		func(c *Config) { c.PeerListen = "" },
		func(c *Config) { c.Peers = c.Peers[:1] },
		func(c *Config) { c.terms.Splitter.ProbeRoles = false },
		func(c *Config) {
			path := filepath.Join(t.TempDir(), "own.yaml")
			require.NoError(t, os.WriteFile(path, []byte("knowing:\n  tell: false\n"), 0o600))
			require.NoError(t, c.ReadOwn(path))
		},
	} {
		cfg := fresh()
		change(cfg)
		require.Nil(t, none(cfg).peerState)
	}
	for _, change := range []func(*Config){
		func(c *Config) { c.Peers = []string{addr, "peer"} },
		func(c *Config) { c.PeersAll = "all" },
		func(c *Config) { c.PeerListen = "here" },
		func(c *Config) { c.terms.Splitter.Self = 2 },
	} {
		cfg := fresh()
		change(cfg)
		require.Error(t, Run(t.Context(), cfg, logrus.New()))
	}
}
