package host

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/feed"
	"eiderway/control/rpc"
	"eiderway/system"
)

var (
	measureAll = flag.Bool("measure", false, "run the whole of the measurements; they take a minute or two")
	profilesIn = flag.String("profiles", "", "folder for processor profiles of the measured controllers")
)

// measuredSettings is the environment variable that names the settings file of a controller that is measured in a separate process.
const measuredSettings = "EIDERWAY_MEASURED"

// Parameters of the measurements.
const (
	measuredBeat       = 1200 * time.Millisecond
	measuredSettleTime = 7 * time.Second // wait before the first reading: changes make probes frequent for some seconds
	measuredFor        = 6 * time.Second
	ordersEvery        = 100 * time.Millisecond
	replicasEach       = 3        // instances of a service, including the primary
	memoryBound        = 64 << 20 // bytes, with 90 idle gateways
	// Settings of the Go runtime, as the program sets them on the smallest machines.
	measuredGarbage = 200
	measuredMemory  = 184e6 * 6 / 10
)

// reading is a snapshot of the resource use and the counters of a controller's process.
type reading struct {
	Processor  time.Duration // user and system time
	Resident   int64         // bytes
	Peak       int64         // bytes
	Read       int64         // bytes, by all read calls
	Written    int64         // bytes, by all write calls: sockets and disk
	DiskWrites uint64        // transactions of the store
	Steps      uint64
	Watches    uint64
	Heartbeats uint64
	Probes     uint64
}

// TestMeasuredController runs a controller in the child process of a measurement. It does nothing if measuredSettings is not set.
func TestMeasuredController(t *testing.T) {
	path := os.Getenv(measuredSettings)
	if path == "" {
		return
	}
	text, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	var settings system.Settings
	is.New(t).NoErr(json.Unmarshal(text, &settings))
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(measuredGarbage)
	debug.SetMemoryLimit(measuredMemory)

	options := Options{Settings: settings, Log: controllerLog(settings.Name)}
	opened, durable, err := openStore(t.Context(), options)
	is.New(t).NoErr(err)
	listeners, err := openListeners(t.Context(), settings)
	is.New(t).NoErr(err)
	measured := newProcess(t.Context(), options, opened, durable)
	measured.start(listeners)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		measured.loop.run(measured.ctx)
	}()
	measured.answerReadings(t, os.Stdin)
	measured.cancel(nil)
	<-ended
	measured.shutdown()
}

// answerReadings answers each line of the parent test with a reading. A line that names a file starts a CPU profile, and the next line ends
// it and writes a memory profile. It returns at the end of the input.
func (p *process) answerReadings(t *testing.T, lines io.Reader) {
	scanner := bufio.NewScanner(lines)
	profile := ""
	for scanner.Scan() {
		text, err := json.Marshal(p.reading(t))
		is.New(t).NoErr(err)
		pprof.StopCPUProfile()
		if profile != "" {
			is.New(t).NoErr(pprof.Lookup("allocs").WriteTo(createFile(t, profile+".memory"), 0))
		}
		if profile = scanner.Text(); profile != "" {
			is.New(t).NoErr(pprof.StartCPUProfile(createFile(t, profile)))
		}
		fmt.Println(string(text))
	}
}

func createFile(t *testing.T, path string) *os.File {
	file, err := os.Create(path)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = file.Close() })
	return file
}

func (p *process) reading(t *testing.T) reading {
	var usage syscall.Rusage
	is.New(t).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return reading{
		Processor:  time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		Resident:   1024 * procValue(t, "status", "VmRSS:"),
		Peak:       1024 * procValue(t, "status", "VmHWM:"),
		Read:       procValue(t, "io", "rchar:"),
		Written:    procValue(t, "io", "wchar:"),
		DiskWrites: p.counters.diskWrites.Load(),
		Steps:      p.counters.steps.Load(),
		Watches:    p.counters.watches.Load(),
		Heartbeats: p.counters.heartbeats.Load(),
		Probes:     p.counters.probes.Load(),
	}
}

// procValue returns a value from a file in /proc/self.
func procValue(t *testing.T, file, name string) int64 {
	text, err := os.ReadFile("/proc/self/" + file)
	is.New(t).NoErr(err)
	_, rest, found := strings.Cut(string(text), name)
	is.New(t).True(found)
	var value int64
	_, err = fmt.Sscan(rest, &value)
	is.New(t).NoErr(err)
	return value
}

// measuredProcess is a controller in a child process.
type measuredProcess struct {
	name   string
	input  io.WriteCloser
	output *bufio.Scanner
}

func startMeasured(t *testing.T, settings system.Settings) *measuredProcess {
	t.Helper()
	is := is.New(t)
	text, err := json.Marshal(settings)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, text, 0o600))
	command := exec.Command(os.Args[0], "-test.run=^TestMeasuredController$")
	command.Env = append(os.Environ(), measuredSettings+"="+path)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	is.NoErr(err)
	output, err := command.StdoutPipe()
	is.NoErr(err)
	is.NoErr(command.Start())
	t.Cleanup(func() {
		_ = input.Close()
		said, _ := io.ReadAll(output)
		if err := command.Wait(); err != nil {
			t.Errorf("%s: %v\n%s", settings.Name, err, said)
		}
	})
	return &measuredProcess{name: settings.Name, input: input, output: bufio.NewScanner(output)}
}

// read requests a reading, and starts a profile if a file is named.
func (m *measuredProcess) read(t *testing.T, profile string) reading {
	t.Helper()
	_, err := fmt.Fprintln(m.input, profile)
	is.New(t).NoErr(err)
	for m.output.Scan() {
		var read reading
		if strings.HasPrefix(m.output.Text(), "{") {
			is.New(t).NoErr(json.Unmarshal(m.output.Bytes(), &read))
			return read
		}
	}
	t.Fatalf("%s has ended", m.name)
	panic("not reached")
}

// measuredCase is a load on a cluster of three controllers.
type measuredCase struct {
	name     string
	gateways int
	services int // of three instances each
	routes   int
	isStorm  bool // a new configuration ten times a second
}

// measuredCluster is a cluster under load.
type measuredCluster struct {
	*cluster
	measuredCase
	processes []*measuredProcess
	instances []*fakeInstance
	running   sync.WaitGroup
	stop      context.CancelFunc
	ctx       context.Context

	mutex  sync.Mutex
	tables map[string]feed.Table // latest table of each gateway, by its name
}

func newMeasuredCluster(t *testing.T, load measuredCase) *measuredCluster {
	t.Helper()
	m := &measuredCluster{cluster: newCluster(t), measuredCase: load, tables: map[string]feed.Table{}}
	for index := range load.services * replicasEach {
		m.instances = append(m.instances, newAnsweringInstance(t, index%replicasEach == 0))
	}
	for index := range m.settings {
		m.settings[index].BeatIntervalMs = float64(measuredBeat.Milliseconds())
		m.processes = append(m.processes, startMeasured(t, m.settings[index]))
	}
	m.ctx, m.stop = context.WithCancel(context.Background())
	t.Cleanup(func() {
		m.stop()
		m.running.Wait()
	})
	is.New(t).Equal(m.askUntilAnswered(0, "POST", "/config/replace", m.configuration(1)).status, 200)
	for index := range m.instances {
		m.running.Go(func() { m.beat(index) })
	}
	for index := range load.gateways {
		m.running.Go(func() { m.follow(fmt.Sprintf("g-%d", index)) })
	}
	m.waitForTables(t)
	return m
}

func (m *measuredCluster) configuration(number int) string {
	var routes, services []string
	for index := range m.routes {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"host%d","pathPrefix":"/","routeClass":"primary","timeoutMs":1000,`+
			`"targetLatencyMs":200,"priority":1,"targetService":"s%d","maxAttempts":2}`, index, index, index%m.services))
	}
	for index := range m.services {
		services = append(services, fmt.Sprintf(`{"name":"s%d","healthPath":"/health","maxConnections":84,"protocol":"h1","syncReplicas":1}`, index))
	}
	return fmt.Sprintf(`{"configRevision":%d,"routeTable":[%s],"serviceTable":[%s],"limits":{"maxHeaderBytes":16384,`+
		`"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txnIdleMs":3000}}`,
		number, strings.Join(routes, ","), strings.Join(services, ","))
}

// beat sends the heartbeats of one instance over one connection.
func (m *measuredCluster) beat(index int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 2 * time.Second}
	role := "replica"
	if index%replicasEach == 0 {
		role = "primary"
	}
	address := m.instances[index].listener.Addr().String()
	control := m.settings[index%clusterSize].Listen.Control
	for sequence := 1; m.ctx.Err() == nil; sequence++ {
		body := strings.Replace(beatText(address, role, sequence), `"targetService":"s"`, fmt.Sprintf(`"targetService":"s%d"`, index/replicasEach), 1)
		response, err := client.Post(fmt.Sprintf("http://%s/instances/i-%d/heartbeat", control, index), "application/json", strings.NewReader(body))
		if err == nil {
			control = response.Request.URL.Host // the target of a redirect
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		} else {
			control = m.settings[sequence%clusterSize].Listen.Control
		}
		sleep(m.ctx, measuredBeat)
	}
}

// follow requests tables as a gateway does.
func (m *measuredCluster) follow(name string) {
	client := &rpc.Client{}
	defer client.Close()
	request := feed.WatchRequest{Gateway: name + "/1", Name: name, Wait: maxWatchWait}
	target := m.settings[0].RPCAddress()
	for try := 0; m.ctx.Err() == nil; try++ {
		limited, cancel := context.WithTimeout(m.ctx, request.Wait+time.Second)
		answer, err := client.Watch(limited, target, request)
		cancel()
		switch {
		case err != nil:
			target = m.settings[try%clusterSize].RPCAddress()
			sleep(m.ctx, 100*time.Millisecond)
		case answer.NotPrimary:
			if answer.Primary.Address != "" {
				target = answer.Primary.Address
			}
			sleep(m.ctx, 50*time.Millisecond)
		case answer.Table != nil:
			request.Applied = answer.Table.Version
			request.Configuration = answer.Table.ConfigurationNumber
			m.recordTable(name, *answer.Table)
		}
	}
}

func (m *measuredCluster) recordTable(name string, table feed.Table) {
	table.Configuration = nil
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.tables[name] = table
}

// waitForTables waits until every gateway knows the leader of every service.
func (m *measuredCluster) waitForTables(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(clusterTimeout); !m.areTablesComplete(); time.Sleep(retryInterval) {
		if time.Now().After(deadline) {
			t.Fatal("the gateways don't know all leaders")
		}
	}
}

func (m *measuredCluster) areTablesComplete() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, table := range m.tables {
		if len(table.Services) != m.services {
			return false
		}
		for _, service := range table.Services {
			if service.Leader.InstanceID == "" || service.Frozen || len(service.Instances) != replicasEach {
				return false
			}
		}
	}
	return len(m.tables) == m.gateways
}

// read requests a reading of each controller.
func (m *measuredCluster) read(t *testing.T, profiled bool) []reading {
	t.Helper()
	var readings []reading
	for _, process := range m.processes {
		profile := ""
		if profiled && *profilesIn != "" {
			profile = filepath.Join(*profilesIn, strings.ReplaceAll(m.name, " ", "-")+"-"+process.name+".pprof")
		}
		readings = append(readings, process.read(t, profile))
	}
	return readings
}

// sendStorm sends a new configuration every 100 ms and returns how long each acknowledgement took.
func (m *measuredCluster) sendStorm(t *testing.T, lasting time.Duration) []time.Duration {
	t.Helper()
	var durations []time.Duration
	var mutex sync.Mutex
	var open sync.WaitGroup
	ticker := time.NewTicker(ordersEvery)
	defer ticker.Stop()
	for number := 2; number < 2+int(lasting/ordersEvery); number++ {
		<-ticker.C
		open.Go(func() {
			body := m.configuration(number)
			sent := time.Now()
			answer := m.askUntilAnswered(number, "POST", "/config/replace", body)
			mutex.Lock()
			defer mutex.Unlock()
			if answer.status == http.StatusOK {
				durations = append(durations, time.Since(sent))
			}
		})
	}
	open.Wait()
	return durations
}

// TestMeasureControllers measures controllers, each in its own process, while they are idle and under a storm of configurations.
func TestMeasureControllers(t *testing.T) {
	cases := []measuredCase{{name: "tiny", gateways: 2, services: 1, routes: 10, isStorm: true}}
	lasting, settleTime := 300*time.Millisecond, time.Duration(0)
	if *measureAll {
		lasting, settleTime = measuredFor, measuredSettleTime
		cases = []measuredCase{
			{name: "rest", gateways: 8, services: 3, routes: 10},
			{name: "rest", gateways: 8, services: 30, routes: 10},
			{name: "rest", gateways: 90, services: 3, routes: 10},
			{name: "rest", gateways: 90, services: 30, routes: 10},
			{name: "rest", gateways: 90, services: 30, routes: 1000},
			{name: "storm", gateways: 8, services: 3, routes: 10, isStorm: true},
			{name: "storm", gateways: 8, services: 3, routes: 1000, isStorm: true},
			{name: "storm", gateways: 90, services: 30, routes: 10, isStorm: true},
			{name: "storm", gateways: 90, services: 30, routes: 1000, isStorm: true},
		}
	}
	for _, one := range cases {
		one.name = fmt.Sprintf("%s, %d gateways, %d instances, %d routes", one.name, one.gateways, one.services*replicasEach, one.routes)
		t.Run(one.name, func(t *testing.T) { measureCase(t, one, settleTime, lasting) })
	}
}

func measureCase(t *testing.T, load measuredCase, settleTime, lasting time.Duration) {
	m := newMeasuredCluster(t, load)
	time.Sleep(settleTime)
	before := m.read(t, true)
	begin := time.Now()
	var acknowledged []time.Duration
	if load.isStorm {
		acknowledged = m.sendStorm(t, lasting)
	} else {
		time.Sleep(lasting)
	}
	took := time.Since(begin)
	after := m.read(t, false)
	for index, process := range m.processes {
		t.Logf("%s: %s", process.name, rateText(before[index], after[index], took))
		if !load.isStorm && *measureAll {
			is.New(t).True(after[index].DiskWrites == before[index].DiskWrites) // heartbeats and watches that change nothing stay in memory
			is.New(t).True(after[index].Resident < memoryBound)
		}
	}
	if load.isStorm {
		slices.Sort(acknowledged)
		is.New(t).Equal(len(acknowledged), int(lasting/ordersEvery))
		t.Logf("%d orders of %d bytes acknowledged: p50 %d ms, worst %d ms", len(acknowledged), len(m.configuration(1)),
			acknowledged[len(acknowledged)/2].Milliseconds(), acknowledged[len(acknowledged)-1].Milliseconds())
		is.New(t).True(acknowledged[len(acknowledged)-1] < system.DefaultBounds().Ack())
	}
}

func rateText(before, after reading, took time.Duration) string {
	per := func(count float64) float64 { return count / took.Seconds() }
	return fmt.Sprintf("processor %.1f ms/s, resident %.1f MB (peak %.1f), read %.1f kB/s, written %.1f kB/s, %.1f disk writes/s, "+
		"%.0f steps/s, %.1f watches/s, %.1f beats/s, %.1f probes/s",
		per(float64(after.Processor-before.Processor)/1e6), float64(after.Resident)/1e6, float64(after.Peak)/1e6,
		per(float64(after.Read-before.Read)/1e3), per(float64(after.Written-before.Written)/1e3),
		per(float64(after.DiskWrites-before.DiskWrites)), per(float64(after.Steps-before.Steps)),
		per(float64(after.Watches-before.Watches)), per(float64(after.Heartbeats-before.Heartbeats)), per(float64(after.Probes-before.Probes)))
}
