package gateway

import (
	"flag"
	"net"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/wire"
)

var fullMeasurement = flag.Bool("measure", false, "measure at full length; otherwise each measurement runs with a few samples")

// sampleCount returns the full count with -measure, else the tiny one.
func sampleCount(tiny, full int) int {
	if *fullMeasurement {
		return full
	}
	return tiny
}

// statementCost holds what statements sent one at a time cost.
type statementCost struct {
	latencies []time.Duration // ascending
	cpu       time.Duration   // of the whole test process, per statement
}

// percentile returns the latency that the given share of the statements didn't exceed.
func (c statementCost) percentile(share float64) time.Duration {
	return c.latencies[int(share*float64(len(c.latencies)-1))]
}

func measureStatements(t *testing.T, client *testClient, text, want string, count int) statementCost {
	t.Helper()
	_ = client.conn.SetDeadline(time.Now().Add(2 * time.Minute))
	client.expect(text, want) // opens the gateway's connection to the instance beforehand
	cost := statementCost{latencies: make([]time.Duration, 0, count)}
	before := cpuTime(t)
	for range count {
		start := time.Now()
		client.expect(text, want)
		cost.latencies = append(cost.latencies, time.Since(start))
	}
	cost.cpu = (cpuTime(t) - before) / time.Duration(count)
	slices.Sort(cost.latencies)
	return cost
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// connectDirectly opens a session at an instance without the gateway.
func (e *testEnv) connectDirectly(to *fakeInstance, name string) *testClient {
	e.Helper()
	conn, err := net.Dial("tcp4", to.address())
	if err != nil {
		e.Fatal(err)
	}
	e.Cleanup(func() { conn.Close() })
	client := &testClient{T: e.T, conn: conn, reader: wire.NewReader(conn), name: name}
	client.send("CONNECT orders " + name + " " + to.id)
	if _, err := client.reader.ReadLine(); err != nil {
		e.Fatal(err)
	}
	return client
}

// TestMeasureStatements measures what a gateway adds to a statement by sending the same statements directly to an
// instance and through the gateway.
func TestMeasureStatements(t *testing.T) {
	is := is.New(t)
	env := startEnvWithReadRoutes(t)
	count := sampleCount(100, 20_000)
	for _, measured := range []struct{ name, database, text, want string }{
		{"write", "shop", "PUT a x", "COMPLETE stamp / I"},
		{"read that must see all", "shop", "FETCH a", `COMPLETE stamp ["x"] / I`},
		{"read that may be old, at a replica", "browse", "FETCH b", `COMPLETE stamp [""] / I`},
	} {
		direct := measureStatements(t, env.connectDirectly(env.first, "d"), measured.text, measured.want, count)
		through := measureStatements(t, env.connectTo(measured.database, "g"), measured.text, measured.want, count)
		t.Logf("%s: direct p50 %v p99 %v, CPU %v; through the gateway p50 %v p99 %v, CPU %v; added p50 %v p99 %v, CPU %v",
			measured.name, direct.percentile(0.5), direct.percentile(0.99), direct.cpu,
			through.percentile(0.5), through.percentile(0.99), through.cpu,
			through.percentile(0.5)-direct.percentile(0.5), through.percentile(0.99)-direct.percentile(0.99), through.cpu-direct.cpu)
	}
	is.Equal(len(env.second.clientStatements()), count+1) // stale reads went to the replica
}

// TestMeasureIdleSessions measures the memory of idle sessions, including their clients' ends of the connections.
func TestMeasureIdleSessions(t *testing.T) {
	is := is.New(t)
	env := startEnv(t)
	count := sampleCount(50, 4_000)
	before := memoryInUse()
	sessions := make([]*testClient, 0, count)
	for range count {
		sessions = append(sessions, env.connect("s"))
	}
	after := memoryInUse()
	t.Logf("%d sessions: %d bytes each, %d MB in all", count, (after-before)/int64(count), after>>20)
	sessions[count-1].expect("PUT a x", "COMPLETE stamp / I")
	is.Equal(len(env.first.clientStatements()), 1)
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var held runtime.MemStats
	runtime.ReadMemStats(&held)
	return int64(held.HeapInuse + held.StackInuse)
}
