package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"eiderway/system"
	"eiderway/systemtest/workload"
)

const (
	demoClients           = 6
	configurationInterval = 400 * time.Millisecond // between an operator's changes of the configuration
	instanceCrashPart     = 4                      // the primary instance crashes after this fraction (1/n) of the duration
	controllerStopPart    = 2                      // the leading controller is stopped after this fraction (1/n)
)

// progressLog writes one line for each event, with the time since the start.
type progressLog struct {
	mutex   sync.Mutex
	output  io.Writer
	started time.Time
}

func (p *progressLog) printf(format string, arguments ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fmt.Fprintf(p.output, "%5.1f s  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// demo is one run: a deployment, its clients and an operator.
type demo struct {
	*demoDeployment
	progress *progressLog
	history  *workload.History
	orders   *workload.Orders
	operator *workload.Operator
}

// runDemo runs the demo, and fails if a rule was broken, for instance if an acknowledged write is missing.
func runDemo(ctx context.Context, duration time.Duration, log logrus.FieldLogger, output io.Writer) error {
	progress := &progressLog{output: output, started: time.Now()}
	deployment, err := newDemoDeployment(log, func(message string) { progress.printf("%s", message) })
	if err != nil {
		return err
	}
	defer deployment.stop()
	d := &demo{demoDeployment: deployment, progress: progress, history: &workload.History{}, orders: &workload.Orders{}}
	d.operator = &workload.Operator{
		Controllers: deployment.controllerAddresses,
		Orders:      d.orders,
		Service:     demoService,
		Database:    demoDatabase,
		Tenants:     demoTenants,
	}
	progress.printf("started 3 controllers, 2 gateways and the service %s with 3 instances", demoService)
	return d.run(ctx, duration)
}

func (d *demo) run(ctx context.Context, duration time.Duration) error {
	if err := d.prepare(ctx); err != nil {
		return err
	}
	stopChanges := d.startConfigurationChanges(ctx)
	clients := workload.StartClients(1, demoClients, d.clientSettings(demoKey))
	err := d.injectFailures(ctx, duration)
	clients.Stop()
	stopChanges()
	if err != nil {
		return err
	}
	return d.verify(ctx)
}

// prepare places the first configuration, waits until the gateways are ready, and demonstrates the tenants.
func (d *demo) prepare(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	order := d.operator.Place(limited, 1, workload.Content(1, 1))
	d.progress.printf("the operator's configuration 1 is answered with %d", order.Status)
	if err := d.await(ctx, "the gateways", d.gatewaysAreReady); err != nil {
		return err
	}
	leader, _ := d.leader(ctx)
	d.progress.printf("controller %d leads, %s leads %s, the gateways are ready", leader, d.service.Leader().ID(), demoService)
	return d.demonstrateTenants(ctx)
}

// startConfigurationChanges has an operator change the configuration at an interval until the returned function is called.
func (d *demo) startConfigurationChanges(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for number := int64(2); sleep(ctx, configurationInterval); number++ {
			d.operator.Place(ctx, number, workload.Content(1, number))
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// injectFailures crashes the primary instance and then stops the leading controller while clients work.
func (d *demo) injectFailures(ctx context.Context, duration time.Duration) error {
	started := time.Now()
	waitUntil := func(moment time.Duration) error {
		if !sleep(ctx, moment-time.Since(started)) {
			return ctx.Err()
		}
		return d.failure()
	}
	if err := waitUntil(duration / instanceCrashPart); err != nil {
		return err
	}
	crashed := d.service.Leader()
	crashed.Crash()
	if err := d.awaitWrites(ctx, "after the crash of the primary"); err != nil {
		return err
	}
	if err := waitUntil(duration / controllerStopPart); err != nil {
		return err
	}
	leader, found := d.leader(ctx)
	if !found {
		return errors.New("demo: no controller leads")
	}
	d.controllers[leader].end()
	d.progress.printf("controller %d, which led, is gone", leader)
	if err := d.awaitNewController(ctx, leader); err != nil {
		return err
	}
	if err := crashed.Restart(); err != nil {
		return err
	}
	if err := d.startController(leader, false); err != nil {
		return err
	}
	d.progress.printf("controller %d is started again with its disk", leader)
	return waitUntil(duration)
}

// awaitWrites waits for a new primary and then for another acknowledged write.
func (d *demo) awaitWrites(ctx context.Context, when string) error {
	leader := d.service.Leader()
	if err := d.await(ctx, "another primary", func() bool { return d.service.Leader() != leader }); err != nil {
		return err
	}
	before := d.history.Acknowledged()
	if err := d.await(ctx, "writes "+when, func() bool { return d.history.Acknowledged() > before }); err != nil {
		return err
	}
	d.progress.printf("writes are acknowledged again %s", when)
	return nil
}

// awaitNewController waits until a controller other than the old one leads.
func (d *demo) awaitNewController(ctx context.Context, old int) error {
	return d.await(ctx, "another controller to lead", func() bool {
		leader, found := d.leader(ctx)
		if found && leader != old {
			d.progress.printf("controller %d leads", leader)
		}
		return found && leader != old
	})
}

// verify compares what was acknowledged with the final state, and fails if a rule was broken.
func (d *demo) verify(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	read, err := d.operator.Fetch(limited)
	if err != nil {
		return err
	}
	broken := d.orders.Judge(read)
	broken = append(broken, workload.Judge(workload.Evidence{
		Statements: d.history.Statements(),
		Journal:    d.service.Journal(),
		Final:      d.service.Leader().Log(),
		DrainTime:  system.DefaultBounds().Drain(),
	})...)
	rules := system.DefaultBounds().QuotaRules()
	broken = append(broken, workload.JudgeTenants(workload.TenantEvidence{
		Statements: d.history.Statements(),
		Orders:     d.orders.Sent(),
		Journal:    d.service.Journal(),
		Rules: workload.TenantRules{
			Revoke: system.DefaultBounds().Revoke(), Window: rules.Window, Overrun: rules.Overrun, Slack: rules.Slack,
		},
	})...)
	d.printSummary(read)
	for _, rule := range broken {
		d.progress.printf("NOT KEPT %s", rule)
	}
	if len(broken) > 0 {
		return errDemoFailed
	}
	d.progress.printf("nothing that was acknowledged is missing, nothing is there twice, no read was out of date; statements ran as their tenants")
	return nil
}

func (d *demo) printSummary(read workload.Fetched) {
	waits := d.history.Waits()
	slices.Sort(waits)
	if len(waits) > 0 {
		d.progress.printf("%d writes were acknowledged; waits: half within %v, longest %v", len(waits),
			waits[len(waits)/2].Round(time.Millisecond), waits[len(waits)-1].Round(time.Millisecond))
	}
	d.progress.printf("configuration %d is in force, %d was the newest acknowledged of %d", read.Number,
		d.orders.NewestAcknowledged(), len(d.orders.Completed()))
	d.progress.printf("%s leads %s; the platform took %d calls", d.service.Leader().ID(), demoService, len(d.platform.Calls()))
}
