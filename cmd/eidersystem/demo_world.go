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
	demoService   = "orders"
	demoDatabase  = "shop"
	demoInstances = 3
	demoGateways  = 2
	demoPatience  = 20 * time.Second // for what must come about
	demoPoll      = 20 * time.Millisecond
	demoPromote   = 400 * time.Millisecond
)

// demoWorld is a whole system in one process, with the instances and the platform around it.
type demoWorld struct {
	layout      workload.Layout
	log         logrus.FieldLogger
	directory   string // of the controllers' states
	service     *testinstance.Service
	platform    *testinstance.Platform
	controllers [workload.Controllers]*demoProcess
	gateways    []*demoProcess
}

// demoProcess is a controller or a gateway, which would be a process of its own elsewhere.
type demoProcess struct {
	stop  context.CancelFunc
	ended chan struct{}
	err   error // after ended
}

// startProcess runs a part of the system until it is ended.
func startProcess(run func(context.Context) error) *demoProcess {
	ctx, stop := context.WithCancel(context.Background())
	started := &demoProcess{stop: stop, ended: make(chan struct{})}
	go func() {
		defer close(started.ended)
		started.err = run(ctx)
	}()
	return started
}

// end ends the part at once, without a hand-over.
func (p *demoProcess) end() {
	if p == nil {
		return
	}
	p.stop()
	<-p.ended
}

func newDemoWorld(log logrus.FieldLogger, note func(string)) (*demoWorld, error) {
	layout, err := workload.NewLayout()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "eidersystem-demo-")
	if err != nil {
		return nil, eris.Wrap(err, "demo")
	}
	w := &demoWorld{layout: layout, log: log, directory: directory}
	settings := testinstance.DefaultSettings(demoService, w.controls)
	settings.Note = note
	w.service = testinstance.NewService(settings)
	if err := w.start(); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

func (w *demoWorld) start() error {
	for number := range demoInstances {
		_, err := w.service.Start("db-"+workload.Zone(number), w.layout.Instance(number), workload.Zone(number))
		if err != nil {
			return err
		}
	}
	platform, err := testinstance.StartPlatform(w.layout.Platform(),
		testinstance.PlatformSettings{FenceChecked: true, PromoteTime: demoPromote}, w.service)
	if err != nil {
		return err
	}
	w.platform = platform
	for number := range workload.Controllers {
		if err := w.startController(number, true); err != nil {
			return err
		}
	}
	for number := range demoGateways {
		settings := w.layout.Gateway(number)
		w.gateways = append(w.gateways, startProcess(func(ctx context.Context) error {
			return gateway.Run(ctx, gateway.Options{Settings: settings, Log: w.log})
		}))
	}
	return nil
}

// startController starts a controller with the disk that it had, or with an empty one.
func (w *demoWorld) startController(number int, firstStart bool) error {
	data := filepath.Join(w.directory, workload.Zone(number))
	if err := os.MkdirAll(data, 0o700); err != nil {
		return eris.Wrap(err, "demo")
	}
	settings := w.layout.Controller(number, firstStart, data)
	w.controllers[number] = startProcess(func(ctx context.Context) error {
		return host.Run(ctx, host.Options{Settings: settings, Log: w.log})
	})
	return nil
}

// stop ends everything and removes the controllers' states.
func (w *demoWorld) stop() {
	for _, process := range w.gateways {
		process.end()
	}
	var ending sync.WaitGroup
	for _, process := range w.controllers {
		ending.Go(process.end)
	}
	ending.Wait()
	if w.platform != nil {
		w.platform.Stop()
	}
	w.service.Stop()
	_ = os.RemoveAll(w.directory)
}

// failure is the error with which a part has ended by itself, if one has.
func (w *demoWorld) failure() error {
	var failures []error
	for _, process := range append(w.controllers[:], w.gateways...) {
		select {
		case <-process.ended:
			failures = append(failures, process.err)
		default:
		}
	}
	return errors.Join(failures...)
}

func (w *demoWorld) controls() []string { return w.layout.Controls(workload.Controllers) }

func (w *demoWorld) fronts() []string {
	var fronts []string
	for number := range demoGateways {
		fronts = append(fronts, w.layout.Front(number))
	}
	return fronts
}

// leader is the number of the controller that leads.
func (w *demoWorld) leader(ctx context.Context) (number int, found bool) {
	for number := range workload.Controllers {
		if workload.Leads(ctx, w.layout.Control(number)) {
			return number, true
		}
	}
	return 0, false
}

func (w *demoWorld) gatewaysAreReady() bool {
	for number := range demoGateways {
		answer, err := workload.NewCaller(0).Get("http://" + w.layout.Readiness(number) + "/readiness")
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

// await waits until something has come about.
func (w *demoWorld) await(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, demoPatience)
	defer cancel()
	for !holds() {
		if err := w.failure(); err != nil {
			return err
		}
		if !demoRest(ctx, demoPoll) {
			return eris.Errorf("demo: waited in vain for %s", what)
		}
	}
	return nil
}

// demoRest waits, and tells whether the context has not ended meanwhile.
func demoRest(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
