// Command standin runs the cases of the review: it starts controllers and gateways as processes of their own, with stand-ins for clients,
// servers and the platform on loopback addresses, brings about a disruption and judges what clients and servers have seen.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"eiderway/system"
	"eiderway/systemtest/workload"
	"eiderway/testinstance"
	"eiderway/wire"
)

const (
	serviceName  = "orders"
	databaseName = "shop"
	gatewayCount = 2
	clientCount  = 8
	patience     = 25 * time.Second
	poll         = 20 * time.Millisecond
)

// The figures of the site viajero-eiderway-control, and the doses of its troubles.
const (
	beatIntervalMs = 1200
	replicaDelay   = 20 * time.Millisecond
	promoteTime    = time.Second
	drainTime      = 7 * time.Second
	addressReuse   = 2 * time.Second
	crashTime      = 4 * time.Second         // of the primary; srv_crash lasts 7 s there
	routeTimeout   = 2 * time.Second         // of the routes in workload.Operator
	deafTime       = 6500 * time.Millisecond // replica_lag with deaf
)

// errSetup marks failures that make a case impossible to run.
var errSetup = errors.New("the case could not run")

// deployment is a small system with its surroundings.
type deployment struct {
	trouble   bool
	directory string
	layout    workload.Layout
	program   string
	record    *record
	service   *testinstance.Service
	instances []*testinstance.Instance
	platform  *testinstance.Platform
	processes []*process
	history   *workload.History
	orders    *workload.Orders
	clients   *workload.Clients
}

// process is one of the project's programs.
type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) at(moment time.Time) float64 { return moment.Sub(r.began).Seconds() }

func newDeployment(recordPath string, trouble bool) (*deployment, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	layout, err := workload.NewLayout()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/eidersystem")
	if err != nil {
		return nil, err
	}
	return &deployment{
		trouble: trouble, directory: directory, layout: layout, program: program,
		record:  &record{file: file, began: time.Now()},
		history: &workload.History{}, orders: &workload.Orders{},
	}, nil
}

func (d *deployment) controls() []string { return d.layout.Controls(workload.ControllerCount) }

func (d *deployment) fronts() []string {
	var fronts []string
	for number := range gatewayCount {
		fronts = append(fronts, d.layout.Front(number))
	}
	return fronts
}

// start starts instances, platform, processes, a first configuration and the clients.
func (d *deployment) start(set func(*testinstance.Settings), platform testinstance.PlatformSettings) error {
	if err := d.startWithoutLoad(set, platform); err != nil {
		return err
	}
	return d.startLoad()
}

// startWithoutLoad starts all but the clients.
func (d *deployment) startWithoutLoad(set func(*testinstance.Settings), platform testinstance.PlatformSettings) error {
	settings := testinstance.DefaultSettings(serviceName, d.controls)
	settings.Delay = replicaDelay
	settings.BeatInterval = beatIntervalMs * time.Millisecond
	settings.DrainTime = drainTime
	settings.Linger = time.Second
	settings.Note = func(message string) { d.record.note("server: %s", message) }
	if set != nil {
		set(&settings)
	}
	d.service = testinstance.NewService(settings)
	for number := range 3 {
		if _, err := d.startInstance("db-"+workload.Zone(number), number); err != nil {
			return err
		}
	}
	started, err := testinstance.StartPlatform(d.layout.Platform(), platform, d.service)
	if err != nil {
		return err
	}
	d.platform = started
	if err := d.startPrograms(platform.FenceChecked); err != nil {
		return err
	}
	return d.placeConfiguration()
}

// startPrograms starts the controllers and the gateways.
func (d *deployment) startPrograms(fenceChecked bool) error {
	for number := range workload.ControllerCount {
		data := filepath.Join(d.directory, fmt.Sprintf("data-%d", number))
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		if err := d.run(d.layout.Controller(number, true, data), fenceChecked); err != nil {
			return err
		}
	}
	for number := range gatewayCount {
		if err := d.run(d.layout.Gateway(number), fenceChecked); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startInstance(id string, number int) (*testinstance.Instance, error) {
	started, err := d.service.Start(id, d.layout.Instance(number), workload.Zone(number))
	if err == nil {
		d.instances = append(d.instances, started)
	}
	return started, err
}

// run starts a process by the command of the deploy file, with the settings of the site.
func (d *deployment) run(settings system.Settings, fenceChecked bool) error {
	settings.BeatIntervalMs = beatIntervalMs
	settings.Bounds.GraceS = 6
	settings.Bounds.FenceChecked = fenceChecked
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(d.directory, settings.Name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.directory, settings.Name+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(d.program, "run", "--metrics", "9464/metrics")
	command.Env = append(os.Environ(), system.PathVariable+"="+path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	one := &process{name: settings.Name, command: command, log: log, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(one.ended)
	}()
	d.processes = append(d.processes, one)
	d.record.note("started %s", settings.Name)
	return nil
}

// processNamed returns the process of that name.
func (d *deployment) processNamed(name string) *process {
	for _, one := range d.processes {
		if one.name == name {
			return one
		}
	}
	return nil
}

// canRead reports whether a read succeeds at each gateway.
func (d *deployment) canRead() bool {
	for number := range gatewayCount {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		session, err := wire.Dial(ctx, d.layout.Front(number), databaseName, "probe", "")
		if err != nil {
			cancel()
			return false
		}
		answer, err := session.Query(ctx, "probe", string(wire.Fetch)+" first")
		session.Close()
		cancel()
		if err != nil || answer.Code != "" {
			return false
		}
	}
	return true
}

// placeConfiguration places a first configuration and waits until the gateways are ready.
func (d *deployment) placeConfiguration() error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	operator := &workload.Operator{Controllers: d.controls, Orders: d.orders, Service: serviceName, Database: databaseName}
	order := operator.Place(ctx, 1, "first")
	if order.Status != http.StatusOK {
		return fmt.Errorf("%w: the configuration was answered with %d", errSetup, order.Status)
	}
	for number := range gatewayCount {
		if !await(patience, func() bool { return d.isReady(number) }) {
			return fmt.Errorf("%w: a gateway is not ready", errSetup)
		}
	}
	return nil
}

// startLoad starts the clients.
func (d *deployment) startLoad() error {
	d.clients = workload.StartClients(1, clientCount, workload.ClientSettings{
		Database: databaseName, Gateways: d.fronts, History: d.history,
	})
	if !await(patience, func() bool { return d.history.Acknowledged() > 10*clientCount }) {
		return fmt.Errorf("%w: no writes are acknowledged", errSetup)
	}
	d.record.note("the system serves")
	return nil
}

func (d *deployment) isReady(gateway int) bool {
	answer, err := workload.NewHTTPClient(0).Get("http://" + d.layout.Readiness(gateway) + "/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// await waits until the condition holds, and reports whether it did in time.
func await(limit time.Duration, holds func() bool) bool {
	for began := time.Now(); !holds(); time.Sleep(poll) {
		if time.Since(began) > limit {
			return false
		}
	}
	return true
}

// stop ends the load, all processes and all stand-ins, and copies the lines of the controllers' logs about the service into the record.
func (d *deployment) stop() {
	if d.clients != nil {
		d.clients.Stop()
	}
	for _, one := range d.processes {
		_ = one.command.Process.Signal(syscall.SIGCONT)
		_ = one.command.Process.Kill()
		<-one.ended
		_ = one.log.Close()
	}
	if d.platform != nil {
		d.platform.Stop()
	}
	if d.service != nil {
		d.service.Stop()
	}
	for _, one := range d.processes {
		contents, _ := os.ReadFile(one.log.Name())
		for _, line := range strings.Split(string(contents), "\n") {
			if strings.Contains(line, "db-") || strings.Contains(line, serviceName) || strings.Contains(line, "lease lost") {
				fmt.Fprintf(d.record.file, "log of %s: %s\n", one.name, line)
			}
		}
	}
	_ = os.RemoveAll(d.directory)
}
