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

var fullMeasurement = flag.Bool("measure", false, "measure at full length; otherwise a tiny form of each measurement is run")

// lengthOf is the length of a measurement: the full one with -measure.
func sampleCount(tiny, full int) int {
	if *fullMeasurement {
		return full
	}
	return tiny
}

// statementCost is what statements that were sent one at a time took.
type statementCost struct {
	latencies []time.Duration // in rising order
	cpu       time.Duration   // of the whole test process, for each statement
}

// share is the latency that the given share of the statements stayed within.
func (c statementCost) percentile(share float64) time.Duration {
	return c.latencies[int(share*float64(len(c.latencies)-1))]
}

func measureStatements(t *testing.T, client *testClient, text, want string, count int) statementCost {
	t.Helper()
	_ = client.conn.SetDeadline(time.Now().Add(2 * time.Minute))
	client.expect(text, want) // its connection to the instance is made before
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

// processorTime is what this process has used so far.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// connectStraight opens a session at an instance, with no gateway between.
func (env *testEnv) connectDirectly(to *fakeInstance, name string) *testClient {
	env.Helper()
	conn, err := net.Dial("tcp4", to.address())
	if err != nil {
		env.Fatal(err)
	}
	env.Cleanup(func() { conn.Close() })
	client := &testClient{T: env.T, conn: conn, reader: wire.NewReader(conn), name: name}
	client.send("CONNECT orders " + name + " " + to.id)
	if _, err := client.reader.ReadLine(); err != nil {
		env.Fatal(err)
	}
	return client
}

// TestMeasureStatements measures what a gateway adds to a statement: the same ones go straight to an instance, and through the gateway.
func TestMeasureStatements(t *testing.T) {
	is := is.New(t)
	env := startEnvWithReadRoutes(t)
	count := sampleCount(100, 20_000)
	for _, measured := range []struct{ name, database, text, want string }{
		{"write", "shop", "PUT a x", "COMPLETE stamp / I"},
		{"read that must see all", "shop", "FETCH a", `COMPLETE stamp ["x"] / I`},
		{"read that may be old, at a replica", "browse", "FETCH b", `COMPLETE stamp [""] / I`},
	} {
		straight := measureStatements(t, env.connectDirectly(env.first, "d"), measured.text, measured.want, count)
		through := measureStatements(t, env.connectTo(measured.database, "g"), measured.text, measured.want, count)
		t.Logf("%s: straight p50 %v p99 %v, processor %v; through p50 %v p99 %v, processor %v; added p50 %v p99 %v, processor %v",
			measured.name, straight.percentile(0.5), straight.percentile(0.99), straight.cpu,
			through.percentile(0.5), through.percentile(0.99), through.cpu,
			through.percentile(0.5)-straight.percentile(0.5), through.percentile(0.99)-straight.percentile(0.99), through.cpu-straight.cpu)
	}
	is.Equal(len(env.second.clientStatements()), count+1) // what may be old was read at the replica
}

// TestMeasureSleepingSessions measures the memory of sessions that ask nothing, with their clients' ends.
func TestMeasureSleepingSessions(t *testing.T) {
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

// memoryInUse is what is held after a collection: the heap and the stacks.
func memoryInUse() int64 {
	runtime.GC()
	var held runtime.MemStats
	runtime.ReadMemStats(&held)
	return int64(held.HeapInuse + held.StackInuse)
}
