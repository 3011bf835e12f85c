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

const awaitTimeout = 20 * time.Second // only a failing test takes as long

// recordingOwner records the calls that it receives.
type recordingOwner struct {
	mu             sync.Mutex
	suspectedUntil map[string]float64 // by server
	listOutdated   int                // calls of ListOutdated
	logs           []string
}

func (o *recordingOwner) Suspect(server string, until float64, _ bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspectedUntil[server] = until
}
func (o *recordingOwner) ListOutdated() { o.mu.Lock(); o.listOutdated++; o.mu.Unlock() }
func (o *recordingOwner) Log(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.logs = append(o.logs, text)
}
func (o *recordingOwner) suspects(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.suspectedUntil[server] > float64(time.Now().UnixMicro())/1e6
}

// instance is a running Transport.
type instance struct {
	*Transport
	owner *recordingOwner
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

// launch runs a Transport on a free port until the test ends.
func launch(t *testing.T, config Config) *instance {
	config.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	o := &recordingOwner{suspectedUntil: map[string]float64{}}
	transport, err := New(config, o)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- transport.Run(ctx) }()
	i := &instance{transport, o, sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-done)
	})}
	t.Cleanup(i.stop)
	return i
}

// launchAll launches n instances that trust each other, with the first as the seed of the others.
func launchAll(t *testing.T, n int, bytesPerSecond float64) (all []*instance) {
	for i := range n {
		config := Config{Name: fmt.Sprintf("r%d", i), Zone: fmt.Sprintf("z%d", i%2), Key: keyOf(int64(i)), Trust: trustOf(n), BytesPerSecond: bytesPerSecond, Accuse: true, Seed: int64(i)}
		if i > 0 {
			config.Seeds = []netip.AddrPort{all[0].Addr()}
		}
		all = append(all, launch(t, config))
		all[i].AddServer("a", 0)
		all[i].AddServer("b", 0)
		all[i].AddServer("c", 0)
		all[i].AddServer("d", 0)
	}
	return all
}

func (i *instance) status() Status {
	result := make(chan Status, 1)
	i.AskStatus(func(s Status) { result <- s })
	return <-result
}

// alivePeers counts the peers that the instance takes for alive.
func (i *instance) alivePeers() (n int) {
	for _, p := range i.status().Peers {
		if !p.Gone {
			n++
		}
	}
	return n
}

func await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, awaitTimeout, 20*time.Millisecond, description)
}

// TestTwentyInstances checks that 20 instances find each other from one seed, that a quorum makes all of them suspect a server and a
// single accusation none, that many accusations at once stay within the limit of bytes, and that peers notice when one leaves.
func TestTwentyInstances(t *testing.T) {
	const n, bytesPerSecond = 20, 8 << 10
	all := launchAll(t, n, bytesPerSecond)
	for _, i := range all {
		await(t, "every instance finds all others", func() bool { return i.alivePeers() == n-1 })
	}
	accusationsCount := time.Now().Add(6 * time.Second) // accusations of peers first heard from less than 5 s ago have no weight
	worst := int64(0)                                   // bytes per second of the instance that sends most
	measureSecond := func() {
		before := make([]int64, n)
		for k, i := range all {
			before[k] = i.Counts().BytesOut.Load()
		}
		start := time.Now()
		time.Sleep(time.Second)
		for k, i := range all {
			worst = max(worst, int64(float64(i.Counts().BytesOut.Load()-before[k])/time.Since(start).Seconds()))
		}
	}
	for time.Now().Before(accusationsCount) {
		measureSecond()
	}
	worstAtStart := worst
	worst = 0
	measureSecond()
	measureSecond()
	t.Logf("an instance sent at most %d bytes/s while they found each other, %d at rest", worstAtStart, worst)
	worst = max(worst, worstAtStart)
	require.Less(t, worst, int64(2*bytesPerSecond), "one second's worth may go at once")
	fail := func(i *instance, server string) {
		for range 3 {
			i.Observe(server, false, true, i.now())
		}
	}
	fail(all[3], "a")
	await(t, "the accusation arrives", func() bool { s := all[0].status(); return len(s.Nodes) > 0 && len(s.Nodes[0].Accusers) > 0 })
	require.False(t, all[0].owner.suspects("a"), "a single accusation makes nothing suspected")
	for k := range 8 {
		fail(all[k+4], "b")
	}
	for _, i := range all {
		await(t, "every instance suspects a server that a quorum accuses", func() bool { return i.owner.suspects("b") })
	}
	all[0].Observe("b", true, true, all[0].now())
	await(t, "own success ends the suspicion", func() bool { return !all[0].owner.suspects("b") })
	worst = 0
	for range 3 {
		for _, i := range all { // every instance accuses every server
			for _, server := range []string{"a", "b", "c", "d"} {
				fail(i, server)
			}
		}
		measureSecond()
	}
	t.Logf("an instance sent at most %d bytes/s while all accused all servers", worst)
	require.Less(t, worst, int64(2*bytesPerSecond))
	all[n-1].stop()
	await(t, "peers notice that the instance left", func() bool { return all[1].alivePeers() == n-2 })
}

// TestInvalidDatagramsAreRejected checks that datagrams with an untrusted key, a forged signature, a replayed counter, another
// version, another network or random bytes are counted and have no effect.
func TestInvalidDatagramsAreRejected(t *testing.T) {
	all := launchAll(t, 3, 8<<10)
	await(t, "all three find each other", func() bool { return all[0].alivePeers() == 2 })
	a := all[0]
	conn, err := net.Dial("udp", a.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	counts := a.Counts()
	record := func(key ed25519.PrivateKey, seq int64) gossip.Record {
		w := wireRecord{record: gossip.Record{Kind: gossip.Accuse, Incarnation: a.config.Incarnation + 1e9, Seq: seq, At: a.now()}, server: "a"}
		return gossip.Record{Encoded: encodeRecord(key, &w)}
	}
	untrusted, trusted := keyOf(99), keyOf(1)
	send := func(b []byte) { _, err := conn.Write(b); require.NoError(t, err) }
	send(encodeDatagram(untrusted, envelope{incarnation: 1, counter: 1}, []gossip.Record{record(untrusted, 1)}))
	await(t, "an untrusted key is rejected", func() bool { return counts.Untrusted.Load() == 1 })
	// The key id of r1 with the signature of another key.
	impersonated := encodeDatagram(untrusted, envelope{incarnation: 1, counter: 1}, []gossip.Record{record(untrusted, 1)})
	id := idOf(public(trusted))
	copy(impersonated[3:], id[:])
	send(impersonated)
	await(t, "the key id of another instance is rejected", func() bool { return counts.Forged.Load() == 1 })
	corrupted := encodeDatagram(trusted, envelope{incarnation: 1 << 62, counter: 1}, []gossip.Record{record(trusted, 1)})
	corrupted[40] ^= 1
	send(corrupted)
	await(t, "a changed byte is rejected", func() bool { return counts.Forged.Load() == 2 })
	otherVersion := encodeDatagram(trusted, envelope{incarnation: 1 << 62, counter: 1}, nil)
	otherVersion[2] = 9
	send(otherVersion)
	await(t, "another version is rejected", func() bool { return counts.Versions.Load() == 1 })
	old := encodeDatagram(trusted, envelope{incarnation: 5, counter: 1}, []gossip.Record{record(trusted, 1)})
	send(old)
	await(t, "an earlier incarnation is rejected", func() bool { return counts.Replayed.Load() >= 1 })
	before := counts.Malformed.Load() + counts.Versions.Load() + counts.Untrusted.Load() + counts.Forged.Load() + counts.Flood.Load()
	rng := rand.New(rand.NewSource(1))
	for range 200 {
		b := bytes.Clone(corrupted)
		rng.Read(b[3+rng.Intn(len(b)-3):])
		send(b[:1+rng.Intn(len(b))])
	}
	await(t, "random bytes are rejected", func() bool {
		return counts.Malformed.Load()+counts.Versions.Load()+counts.Untrusted.Load()+counts.Forged.Load()+counts.Flood.Load() > before+100
	})
	a.Trust(trustOf(3), []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")})
	send(otherVersion)
	await(t, "another network is rejected", func() bool { return counts.Network.Load() >= 1 })
	require.False(t, a.owner.suspects("a"))
	require.Equal(t, int64(0), a.status().Counts.Suspicions)
}

// TestKeyRotation changes the key of an instance while all trust both keys, then has them trust only the new one. The instance
// must stay alive for the others throughout.
func TestKeyRotation(t *testing.T) {
	const n = 4
	all := launchAll(t, n, 8<<10)
	for _, i := range all {
		await(t, "all find each other", func() bool { return i.alivePeers() == n-1 })
	}
	newKey := keyOf(77)
	bothKeys := trustOf(n)
	bothKeys["r3"] = append(bothKeys["r3"], public(newKey))
	for _, i := range all {
		i.Trust(bothKeys, nil)
	}
	all[3].SetKey(newKey)
	lastHeard := func(i *instance) (heard float64) {
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
		await(t, "heartbeats under the new key arrive", func() bool { return lastHeard(i) > now+1 })
	}
	newKeyOnly := trustOf(n)
	newKeyOnly["r3"] = []ed25519.PublicKey{public(newKey)}
	for _, i := range all {
		i.Trust(newKeyOnly, nil)
	}
	now = all[0].now()
	await(t, "heartbeats arrive when only the new key is trusted", func() bool { return lastHeard(all[0]) > now+1 })
}

// TestLaterIncarnationWins checks that peers believe the later of two processes with one name, and that the earlier one logs the
// conflict.
func TestLaterIncarnationWins(t *testing.T) {
	all := launchAll(t, 3, 8<<10)
	await(t, "all three find each other", func() bool { return all[1].alivePeers() == 2 && all[2].alivePeers() == 2 })
	duplicate := launch(t, Config{Name: "r2", Zone: "z0", Key: keyOf(2), Trust: trustOf(3), BytesPerSecond: 8 << 10, Seeds: []netip.AddrPort{all[0].Addr()}})
	await(t, "the earlier process logs the conflict", func() bool {
		all[2].owner.mu.Lock()
		defer all[2].owner.mu.Unlock()
		return len(all[2].owner.logs) > 0
	})
	await(t, "peers believe the later process", func() bool {
		for _, p := range all[1].status().Peers {
			if p.Name == "r2" {
				return p.Incarnation == duplicate.config.Incarnation && p.Addr == duplicate.Addr().String()
			}
		}
		return false
	})
}

// TestNewerListIsReported checks that an instance reports that a peer has a newer member list.
func TestNewerListIsReported(t *testing.T) {
	all := launchAll(t, 2, 8<<10)
	all[0].SetListVersion(7)
	await(t, "the newer list is reported", func() bool {
		all[1].owner.mu.Lock()
		defer all[1].owner.mu.Unlock()
		return all[1].owner.listOutdated > 0
	})
	require.Zero(t, all[0].owner.listOutdated)
}

// TestKeyFiles checks that keys survive a write and a read, that an existing file is not overwritten, and that files with wrong
// permissions or contents are rejected.
func TestKeyFiles(t *testing.T) {
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

// FuzzDecodeDatagram checks that no datagram makes the decoder panic, and that every decoded record keeps its encoding.
func FuzzDecodeDatagram(f *testing.F) {
	key := keyOf(1)
	w := wireRecord{record: gossip.Record{Kind: gossip.Alive, Seq: 1}, zone: "z", addr: "127.0.0.1:1"}
	f.Add(encodeDatagram(key, envelope{counter: 3}, []gossip.Record{{Encoded: encodeRecord(key, &w)}}))
	f.Add([]byte("EW\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, records, err := decodeDatagram(b, func(keyID) ed25519.PublicKey { return public(key) })
		if err == nil {
			for _, w := range records {
				require.NotEmpty(t, w.record.Encoded)
			}
		}
	})
}
