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

// measuredSettings names, in the environment, the settings file of a controller that is measured in a process of its own.
const measuredSettings = "EIDERWAY_MEASURED"

// Figures of the measurements.
const (
	measuredBeat    = 1200 * time.Millisecond
	measuredSettles = 7 * time.Second // waited before the first reading: news make probes frequent for some seconds
	measuredFor     = 6 * time.Second
	ordersEvery     = 100 * time.Millisecond
	replicasEach    = 3        // instances of a service, the primary counted
	memoryBound     = 64 << 20 // bytes, with 90 gateways at rest
	// The runtime is set as the program sets it, for a machine of the smallest kind.
	measuredGarbage = 200
	measuredMemory  = 184e6 * 6 / 10
)

// reading is what a controller's process says of itself.
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

// TestMeasuredController is the process of a measured controller. Without its settings there is nothing to do.
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

	options := Options{Settings: settings, Log: coreLog(settings.Name)}
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
	measured.followOperator(t, os.Stdin)
	measured.cancel(nil)
	<-ended
	measured.end()
}

// followOperator answers each line of the measuring test with a reading. A line that names a file begins a profile of
// the processor, and the next line ends it and adds one of the memory. It returns when the lines are over.
func (p *process) followOperator(t *testing.T, lines io.Reader) {
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
		Resident:   1024 * kernelFigure(t, "status", "VmRSS:"),
		Peak:       1024 * kernelFigure(t, "status", "VmHWM:"),
		Read:       kernelFigure(t, "io", "rchar:"),
		Written:    kernelFigure(t, "io", "wchar:"),
		DiskWrites: p.counters.diskWrites.Load(),
		Steps:      p.counters.steps.Load(),
		Watches:    p.counters.watches.Load(),
		Heartbeats: p.counters.heartbeats.Load(),
		Probes:     p.counters.probes.Load(),
	}
}

// kernelFigure reads one line of what the kernel says of this process.
func kernelFigure(t *testing.T, file, name string) int64 {
	text, err := os.ReadFile("/proc/self/" + file)
	is.New(t).NoErr(err)
	_, rest, found := strings.Cut(string(text), name)
	is.New(t).True(found)
	var value int64
	_, err = fmt.Sscan(rest, &value)
	is.New(t).NoErr(err)
	return value
}

// measuredProcess is a controller in a process of its own.
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

// read asks for a reading, and begins a profile if a file is named.
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

// measuredCase is a load on a core of three controllers.
type measuredCase struct {
	name     string
	gateways int
	services int // of three instances each
	routes   int
	storm    bool // a new configuration ten times a second
}

// measuredCore is a core under load.
type measuredCore struct {
	*core
	measuredCase
	processes []*measuredProcess
	instances []*instanceStandIn
	running   sync.WaitGroup
	stop      context.CancelFunc
	ctx       context.Context

	mutex  sync.Mutex
	tables map[string]feed.Table // of the gateways
}

func newMeasuredCore(t *testing.T, load measuredCase) *measuredCore {
	t.Helper()
	m := &measuredCore{core: newCore(t), measuredCase: load, tables: map[string]feed.Table{}}
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
	is.New(t).Equal(m.settle(0, "POST", "/config/replace", m.configuration(1)).status, 200)
	for index := range m.instances {
		m.running.Go(func() { m.beat(index) })
	}
	for index := range load.gateways {
		m.running.Go(func() { m.follow(fmt.Sprintf("g-%d", index)) })
	}
	m.waitForTables(t)
	return m
}

func (m *measuredCore) configuration(number int) string {
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

// beat sends heartbeats of one instance, on one connection.
func (m *measuredCore) beat(index int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 2 * time.Second}
	role := "replica"
	if index%replicasEach == 0 {
		role = "primary"
	}
	address := m.instances[index].listener.Addr().String()
	control := m.settings[index%coreSize].Listen.Control
	for sequence := 1; m.ctx.Err() == nil; sequence++ {
		body := strings.Replace(beatText(address, role, sequence), `"targetService":"s"`, fmt.Sprintf(`"targetService":"s%d"`, index/replicasEach), 1)
		response, err := client.Post(fmt.Sprintf("http://%s/instances/i-%d/heartbeat", control, index), "application/json", strings.NewReader(body))
		if err == nil {
			control = response.Request.URL.Host // where the redirect led
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		} else {
			control = m.settings[sequence%coreSize].Listen.Control
		}
		sleep(m.ctx, measuredBeat)
	}
}

// follow asks for tables as a gateway does.
func (m *measuredCore) follow(name string) {
	client := &rpc.Client{}
	defer client.Close()
	request := feed.WatchRequest{Gateway: name + "/1", Name: name, Wait: watchWait}
	target := m.settings[0].RPCAddress()
	for try := 0; m.ctx.Err() == nil; try++ {
		limited, cancel := context.WithTimeout(m.ctx, request.Wait+time.Second)
		answer, err := client.Watch(limited, target, request)
		cancel()
		switch {
		case err != nil:
			target = m.settings[try%coreSize].RPCAddress()
			sleep(m.ctx, 100*time.Millisecond)
		case answer.NotPrimary:
			if answer.Primary.Address != "" {
				target = answer.Primary.Address
			}
			sleep(m.ctx, 50*time.Millisecond)
		case answer.Table != nil:
			request.Applied = answer.Table.Version
			request.Configuration = answer.Table.ConfigurationNumber
			m.keep(name, *answer.Table)
		}
	}
}

func (m *measuredCore) keep(name string, table feed.Table) {
	table.Configuration = nil
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.tables[name] = table
}

// waitForTables waits until every gateway knows the leader of every service.
func (m *measuredCore) waitForTables(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(corePatience); !m.tablesWhole(); time.Sleep(askAgain) {
		if time.Now().After(deadline) {
			t.Fatal("the gateways don't know all leaders")
		}
	}
}

func (m *measuredCore) tablesWhole() bool {
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

// read takes a reading of each controller.
func (m *measuredCore) read(t *testing.T, profiled bool) []reading {
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

// storm sends a new configuration every 100 ms and returns how long the acknowledgements took.
func (m *measuredCore) sendStorm(t *testing.T, lasting time.Duration) []time.Duration {
	t.Helper()
	var taken []time.Duration
	var mutex sync.Mutex
	var open sync.WaitGroup
	ticker := time.NewTicker(ordersEvery)
	defer ticker.Stop()
	for number := 2; number < 2+int(lasting/ordersEvery); number++ {
		<-ticker.C
		open.Go(func() {
			body := m.configuration(number)
			sent := time.Now()
			answer := m.settle(number, "POST", "/config/replace", body)
			mutex.Lock()
			defer mutex.Unlock()
			if answer.status == http.StatusOK {
				taken = append(taken, time.Since(sent))
			}
		})
	}
	open.Wait()
	return taken
}

// TestMeasureControllers measures controllers at rest and under a storm of configurations, each in its own process.
func TestMeasureControllers(t *testing.T) {
	cases := []measuredCase{{name: "tiny", gateways: 2, services: 1, routes: 10, storm: true}}
	lasting, settles := 300*time.Millisecond, time.Duration(0)
	if *measureAll {
		lasting, settles = measuredFor, measuredSettles
		cases = []measuredCase{
			{name: "rest", gateways: 8, services: 3, routes: 10},
			{name: "rest", gateways: 8, services: 30, routes: 10},
			{name: "rest", gateways: 90, services: 3, routes: 10},
			{name: "rest", gateways: 90, services: 30, routes: 10},
			{name: "rest", gateways: 90, services: 30, routes: 1000},
			{name: "storm", gateways: 8, services: 3, routes: 10, storm: true},
			{name: "storm", gateways: 8, services: 3, routes: 1000, storm: true},
			{name: "storm", gateways: 90, services: 30, routes: 10, storm: true},
			{name: "storm", gateways: 90, services: 30, routes: 1000, storm: true},
		}
	}
	for _, one := range cases {
		one.name = fmt.Sprintf("%s, %d gateways, %d instances, %d routes", one.name, one.gateways, one.services*replicasEach, one.routes)
		t.Run(one.name, func(t *testing.T) { measureCase(t, one, settles, lasting) })
	}
}

func measureCase(t *testing.T, load measuredCase, settles, lasting time.Duration) {
	m := newMeasuredCore(t, load)
	time.Sleep(settles)
	before := m.read(t, true)
	begin := time.Now()
	var acknowledged []time.Duration
	if load.storm {
		acknowledged = m.sendStorm(t, lasting)
	} else {
		time.Sleep(lasting)
	}
	took := time.Since(begin)
	after := m.read(t, false)
	for index, process := range m.processes {
		t.Logf("%s: %s", process.name, rateText(before[index], after[index], took))
		if !load.storm && *measureAll {
			is.New(t).True(after[index].DiskWrites == before[index].DiskWrites) // plain beats and watches stay in memory
			is.New(t).True(after[index].Resident < memoryBound)
		}
	}
	if load.storm {
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
