package transport

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"eiderway/gossip"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 20 * time.Second // for what is awaited; only a failing test takes as long

// owner writes down what it was asked for.
type owner struct {
	mu        sync.Mutex
	suspected map[string]float64
	behind    int
	logs      []string
}

func (o *owner) Suspect(server string, until float64, _ bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspected[server] = until
}
func (o *owner) ListOutdated() { o.mu.Lock(); o.behind++; o.mu.Unlock() }
func (o *owner) Log(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.logs = append(o.logs, text)
}
func (o *owner) suspects(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.suspected[server] > float64(time.Now().UnixMicro())/1e6
}

type instance struct {
	*Transport
	owner *owner
	stop  func()
}

func keyOf(n int64) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	rand.New(rand.NewSource(n)).Read(seed)
	return ed25519.NewKeyFromSeed(seed)
}

func public(k ed25519.PrivateKey) ed25519.PublicKey { return k.Public().(ed25519.PublicKey) }

func trustOf(n int) map[string][]ed25519.PublicKey {
	all := map[string][]ed25519.PublicKey{}
	for i := range n {
		all[fmt.Sprintf("r%d", i)] = []ed25519.PublicKey{public(keyOf(int64(i)))}
	}
	return all
}

func launch(t *testing.T, terms Config) *instance {
	terms.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	o := &owner{suspected: map[string]float64{}}
	m, err := New(terms, o)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	i := &instance{m, o, sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-done)
	})}
	t.Cleanup(i.stop)
	return i
}

// tier launches instances that know the first of them.
func tier(t *testing.T, n int, bytes float64) (all []*instance) {
	for i := range n {
		terms := Config{Name: fmt.Sprintf("r%d", i), Zone: fmt.Sprintf("z%d", i%2), Key: keyOf(int64(i)), Trust: trustOf(n), BytesPerSecond: bytes, Accuse: true, Seed: int64(i)}
		if i > 0 {
			terms.Seeds = []netip.AddrPort{all[0].Addr()}
		}
		all = append(all, launch(t, terms))
		all[i].AddServer("a", 0)
		all[i].AddServer("b", 0)
		all[i].AddServer("c", 0)
		all[i].AddServer("d", 0)
	}
	return all
}

func (i *instance) status() Status {
	got := make(chan Status, 1)
	i.AskStatus(func(s Status) { got <- s })
	return <-got
}

func (i *instance) live() (n int) {
	for _, p := range i.status().Peers {
		if !p.Gone {
			n++
		}
	}
	return n
}

func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	require.Eventually(t, is, patience, 20*time.Millisecond, what)
}

// TestTwenty: 20 instances find each other from one seed; a storm of accusations stays under the bound of bytes; what a
// quorum observed is suspected by all; what one peer accuses is not; one that leaves is known to have left.
func TestTwenty(t *testing.T) {
	const n, bound = 20, 8 << 10
	all := tier(t, n, bound)
	for _, i := range all {
		await(t, "each finds all others", func() bool { return i.live() == n-1 })
	}
	seasoned := time.Now().Add(6 * time.Second) // accusations of peers heard of for under 5 s count nothing
	worst := int64(0)
	second := func() {
		before := make([]int64, n)
		for k, i := range all {
			before[k] = i.Counts().BytesOut.Load()
		}
		from := time.Now()
		time.Sleep(time.Second)
		for k, i := range all {
			worst = max(worst, int64(float64(i.Counts().BytesOut.Load()-before[k])/time.Since(from).Seconds()))
		}
	}
	for time.Now().Before(seasoned) {
		second()
	}
	start := worst
	worst = 0
	second()
	second()
	t.Logf("%d bytes out in the worst second of an instance while they find each other, %d at rest", start, worst)
	worst = max(worst, start)
	require.Less(t, worst, int64(2*bound), "a second's worth may go at once")
	fail := func(i *instance, server string) {
		for range 3 {
			i.Observe(server, false, true, i.now())
		}
	}
	fail(all[3], "a")
	await(t, "the accusation is heard", func() bool { s := all[0].status(); return len(s.Nodes) > 0 && len(s.Nodes[0].Accusers) > 0 })
	require.False(t, all[0].owner.suspects("a"), "one accusation is none")
	for k := range 8 {
		fail(all[k+4], "b")
	}
	for _, i := range all {
		await(t, "a quorum is believed", func() bool { return i.owner.suspects("b") })
	}
	all[0].Observe("b", true, true, all[0].now())
	await(t, "own evidence wins", func() bool { return !all[0].owner.suspects("b") })
	worst = 0
	for range 3 {
		for _, i := range all { // a storm: everyone accuses everything
			for _, server := range []string{"a", "b", "c", "d"} {
				fail(i, server)
			}
		}
		second()
	}
	t.Logf("in a storm: %d bytes out in the worst second of an instance", worst)
	require.Less(t, worst, int64(2*bound))
	all[n-1].stop()
	await(t, "it has left", func() bool { return all[1].live() == n-2 })
}

// TestForged: a bad key, a stolen name, replays, another version, another network and garbage get nowhere.
func TestForged(t *testing.T) {
	all := tier(t, 3, 8<<10)
	await(t, "three", func() bool { return all[0].live() == 2 })
	a := all[0]
	nc, err := net.Dial("udp", a.Addr().String())
	require.NoError(t, err)
	defer nc.Close()
	count := a.Counts()
	record := func(key ed25519.PrivateKey, seq int64) gossip.Record {
		w := wireRecord{record: gossip.Record{Kind: gossip.Accuse, Incarnation: a.config.Incarnation + 1e9, Seq: seq, At: a.now()}, server: "a"}
		return gossip.Record{Encoded: encodeRecord(key, &w)}
	}
	bad, real := keyOf(99), keyOf(1)
	send := func(b []byte) { _, err := nc.Write(b); require.NoError(t, err) }
	send(encodeDatagram(bad, envelope{incarnation: 1, counter: 1}, []gossip.Record{record(bad, 1)}))
	await(t, "a bad key", func() bool { return count.Untrusted.Load() == 1 })
	// A stolen name: r1's key id with another's signature.
	stolen := encodeDatagram(bad, envelope{incarnation: 1, counter: 1}, []gossip.Record{record(bad, 1)})
	id := idOf(public(real))
	copy(stolen[3:], id[:])
	send(stolen)
	await(t, "a stolen name", func() bool { return count.Forged.Load() == 1 })
	flipped := encodeDatagram(real, envelope{incarnation: 1 << 62, counter: 1}, []gossip.Record{record(real, 1)})
	flipped[40] ^= 1
	send(flipped)
	await(t, "a changed byte", func() bool { return count.Forged.Load() == 2 })
	other := encodeDatagram(real, envelope{incarnation: 1 << 62, counter: 1}, nil)
	other[2] = 9
	send(other)
	await(t, "another version", func() bool { return count.Versions.Load() == 1 })
	old := encodeDatagram(real, envelope{incarnation: 5, counter: 1}, []gossip.Record{record(real, 1)})
	send(old)
	await(t, "from an earlier life", func() bool { return count.Replayed.Load() >= 1 })
	before := count.Malformed.Load() + count.Versions.Load() + count.Untrusted.Load() + count.Forged.Load() + count.Flood.Load()
	rng := rand.New(rand.NewSource(1))
	for range 200 {
		b := bytes.Clone(flipped)
		rng.Read(b[3+rng.Intn(len(b)-3):])
		send(b[:1+rng.Intn(len(b))])
	}
	await(t, "garbage", func() bool {
		return count.Malformed.Load()+count.Versions.Load()+count.Untrusted.Load()+count.Forged.Load()+count.Flood.Load() > before+100
	})
	a.Trust(trustOf(3), []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")})
	send(other)
	await(t, "another network", func() bool { return count.Network.Load() >= 1 })
	require.False(t, a.owner.suspects("a"))
	require.Equal(t, int64(0), a.status().Counts.Suspicions)
}

// TestRotation changes an instance's key while half of the others trust only the old one yet, then only the new one.
func TestRotation(t *testing.T) {
	const n = 4
	all := tier(t, n, 8<<10)
	for _, i := range all {
		await(t, "all", func() bool { return i.live() == n-1 })
	}
	fresh := keyOf(77)
	both := trustOf(n)
	both["r3"] = append(both["r3"], public(fresh))
	for _, i := range all {
		i.Trust(both, nil)
	}
	all[3].SetKey(fresh)
	seen := func(i *instance) (heard float64) {
		for _, p := range i.status().Peers {
			if p.Name == "r3" {
				require.False(t, p.Gone)
				heard = p.Heard
			}
		}
		return heard
	}
	now := all[0].now()
	for _, i := range all[:3] {
		await(t, "heard under the new key", func() bool { return seen(i) > now+1 })
	}
	only := trustOf(n)
	only["r3"] = []ed25519.PublicKey{public(fresh)}
	for _, i := range all {
		i.Trust(only, nil)
	}
	now = all[0].now()
	await(t, "the old key is gone", func() bool { return seen(all[0]) > now+1 })
}

// TestStartsAnew: an instance that starts again under its name is believed from its new epoch on, and two at once are told.
func TestStartsAnew(t *testing.T) {
	all := tier(t, 3, 8<<10)
	await(t, "three", func() bool { return all[1].live() == 2 && all[2].live() == 2 })
	twin := launch(t, Config{Name: "r2", Zone: "z0", Key: keyOf(2), Trust: trustOf(3), BytesPerSecond: 8 << 10, Seeds: []netip.AddrPort{all[0].Addr()}})
	await(t, "both say so", func() bool {
		all[2].owner.mu.Lock()
		defer all[2].owner.mu.Unlock()
		return len(all[2].owner.logs) > 0
	})
	await(t, "the later one counts", func() bool {
		for _, p := range all[1].status().Peers {
			if p.Name == "r2" {
				return p.Incarnation == twin.config.Incarnation && p.Addr == twin.Addr().String()
			}
		}
		return false
	})
}

// TestList: a peer with a newer member list is noticed.
func TestList(t *testing.T) {
	all := tier(t, 2, 8<<10)
	all[0].SetListVersion(7)
	await(t, "behind", func() bool { all[1].owner.mu.Lock(); defer all[1].owner.mu.Unlock(); return all[1].owner.behind > 0 })
	require.Zero(t, all[0].owner.behind)
}

func TestKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	public, err := NewKey(path)
	require.NoError(t, err)
	_, err = NewKey(path)
	require.ErrorIs(t, err, os.ErrExist)
	key, err := ReadKey(path)
	require.NoError(t, err)
	parsed, err := ParseKey(FormatKey(public))
	require.NoError(t, err)
	require.True(t, parsed.Equal(key.Public()))
	require.NoError(t, os.Chmod(path, 0o644))
	_, err = ReadKey(path)
	require.ErrorContains(t, err, "chmod 600")
	require.NoError(t, os.WriteFile(path, []byte("x"), 0o600))
	require.NoError(t, os.Chmod(path, 0o600))
	_, err = ReadKey(path)
	require.ErrorContains(t, err, "no key")
	_, err = ParseKey("AAAA")
	require.Error(t, err)
}

func FuzzUnpack(f *testing.F) {
	key := keyOf(1)
	w := wireRecord{record: gossip.Record{Kind: gossip.Alive, Seq: 1}, zone: "z", addr: "127.0.0.1:1"}
	f.Add(encodeDatagram(key, envelope{counter: 3}, []gossip.Record{{Encoded: encodeRecord(key, &w)}}))
	f.Add([]byte("EW\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, words, err := decodeDatagram(b, func(keyID) ed25519.PublicKey { return public(key) })
		if err == nil {
			for _, w := range words {
				require.NotEmpty(t, w.record.Encoded)
			}
		}
	})
}
