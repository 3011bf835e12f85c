package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"eiderway/gateway"
	"eiderway/host"
	"eiderway/systemtest/workload"
	"eiderway/testinstance"
)

const (
	demoService      = "orders"
	demoDatabase     = "shop"
	demoInstances    = 3
	demoGateways     = 2
	demoTimeout      = 20 * time.Second // bounds each wait for a condition
	demoPollInterval = 20 * time.Millisecond
	demoPromoteTime  = 400 * time.Millisecond
)

// demoDeployment is a whole system in one process, with stand-ins for the database instances and the platform.
type demoDeployment struct {
	layout      workload.Layout
	log         logrus.FieldLogger
	directory   string // where the controllers keep their state
	service     *testinstance.Service
	platform    *testinstance.Platform
	controllers [workload.ControllerCount]*component
	gateways    []*component
}

// component is a controller or a gateway. Outside of the demo each of them is a process of its own.
type component struct {
	stop  context.CancelFunc
	ended chan struct{}
	err   error // set before ended is closed
}

// startComponent runs a controller or a gateway in the background until it is ended.
func startComponent(run func(context.Context) error) *component {
	ctx, stop := context.WithCancel(context.Background())
	started := &component{stop: stop, ended: make(chan struct{})}
	go func() {
		defer close(started.ended)
		started.err = run(ctx)
	}()
	return started
}

// end stops the component at once, without a handover.
func (c *component) end() {
	if c == nil {
		return
	}
	c.stop()
	<-c.ended
}

func newDemoDeployment(log logrus.FieldLogger, note func(string)) (*demoDeployment, error) {
	layout, err := workload.NewLayout()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "eidersystem-demo-")
	if err != nil {
		return nil, eris.Wrap(err, "demo")
	}
	d := &demoDeployment{layout: layout, log: log, directory: directory}
	settings := testinstance.DefaultSettings(demoService, d.controllerAddresses)
	settings.Note = note
	d.service = testinstance.NewService(settings)
	if err := d.start(); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *demoDeployment) start() error {
	for number := range demoInstances {
		_, err := d.service.Start("db-"+workload.Zone(number), d.layout.Instance(number), workload.Zone(number))
		if err != nil {
			return err
		}
	}
	platform, err := testinstance.StartPlatform(d.layout.Platform(),
		testinstance.PlatformSettings{FenceChecked: true, PromoteTime: demoPromoteTime}, d.service)
	if err != nil {
		return err
	}
	d.platform = platform
	for number := range workload.ControllerCount {
		if err := d.startController(number, true); err != nil {
			return err
		}
	}
	for number := range demoGateways {
		settings := d.layout.Gateway(number)
		d.gateways = append(d.gateways, startComponent(func(ctx context.Context) error {
			return gateway.Run(ctx, gateway.Options{Settings: settings, Log: d.log})
		}))
	}
	return nil
}

// startController starts a controller on its data directory, which is empty at the first start.
func (d *demoDeployment) startController(number int, firstStart bool) error {
	data := filepath.Join(d.directory, workload.Zone(number))
	if err := os.MkdirAll(data, 0o700); err != nil {
		return eris.Wrap(err, "demo")
	}
	settings := d.layout.Controller(number, firstStart, data)
	d.controllers[number] = startComponent(func(ctx context.Context) error {
		return host.Run(ctx, host.Options{Settings: settings, Log: d.log})
	})
	return nil
}

// stop ends all components and stand-ins, and removes the controllers' state.
func (d *demoDeployment) stop() {
	for _, started := range d.gateways {
		started.end()
	}
	var ending sync.WaitGroup
	for _, started := range d.controllers {
		ending.Go(started.end)
	}
	ending.Wait()
	if d.platform != nil {
		d.platform.Stop()
	}
	d.service.Stop()
	_ = os.RemoveAll(d.directory)
}

// failure returns the errors of the components that have ended by themselves.
func (d *demoDeployment) failure() error {
	var failures []error
	for _, started := range append(d.controllers[:], d.gateways...) {
		select {
		case <-started.ended:
			failures = append(failures, started.err)
		default:
		}
	}
	return errors.Join(failures...)
}

func (d *demoDeployment) controllerAddresses() []string {
	return d.layout.Controls(workload.ControllerCount)
}

func (d *demoDeployment) gatewayAddresses() []string {
	var addresses []string
	for number := range demoGateways {
		addresses = append(addresses, d.layout.Front(number))
	}
	return addresses
}

// leader returns the number of the leading controller, if there is one.
func (d *demoDeployment) leader(ctx context.Context) (number int, found bool) {
	for number := range workload.ControllerCount {
		if workload.IsLeading(ctx, d.layout.Control(number)) {
			return number, true
		}
	}
	return 0, false
}

func (d *demoDeployment) gatewaysAreReady() bool {
	for number := range demoGateways {
		answer, err := workload.NewHTTPClient(0).Get("http://" + d.layout.Readiness(number) + "/readiness")
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// await waits until the condition holds. It fails if a component ends or the time runs out.
func (d *demoDeployment) await(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	for !holds() {
		if err := d.failure(); err != nil {
			return err
		}
		if !sleep(ctx, demoPollInterval) {
			return eris.Errorf("demo: waited in vain for %s", what)
		}
	}
	return nil
}

// sleep waits for the duration, and returns false if the context ended before.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
