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
	demoClients   = 6
	demoOrderWait = 400 * time.Millisecond // between an operator's changes
	firstKill     = 4                      // of the demo's time: the primary instance crashes after one part in so many
	secondKill    = 2                      // and the leading controller ends after one part in so many
)

// storyteller writes an account of what happens, one line each with the time since the start.
type storyteller struct {
	mutex   sync.Mutex
	output  io.Writer
	started time.Time
}

func (s *storyteller) tell(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fmt.Fprintf(s.output, "%5.1f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// demo is one run.
type demo struct {
	*demoWorld
	story    *storyteller
	history  *workload.History
	orders   *workload.Orders
	operator *workload.Operator
}

// runDemo plays the demo, and fails if anything acknowledged is missing.
func runDemo(ctx context.Context, duration time.Duration, log logrus.FieldLogger, output io.Writer) error {
	story := &storyteller{output: output, started: time.Now()}
	world, err := newDemoWorld(log, func(message string) { story.tell("%s", message) })
	if err != nil {
		return err
	}
	defer world.stop()
	d := &demo{demoWorld: world, story: story, history: &workload.History{}, orders: &workload.Orders{}}
	d.operator = &workload.Operator{
		Controllers: world.controls,
		Orders:      d.orders,
		Service:     demoService,
		Database:    demoDatabase,
		Tenants:     demoTenants,
	}
	story.tell("started 3 controllers, 2 gateways and the service %s with 3 instances", demoService)
	return d.play(ctx, duration)
}

func (d *demo) play(ctx context.Context, duration time.Duration) error {
	if err := d.found(ctx); err != nil {
		return err
	}
	stopOrders := d.keepOrdering(ctx)
	clients := workload.StartClients(1, demoClients, d.clientSettings(demoKey))
	err := d.trouble(ctx, duration)
	clients.Stop()
	stopOrders()
	if err != nil {
		return err
	}
	return d.conclude(ctx)
}

// found waits until the system works.
func (d *demo) found(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, demoPatience)
	defer cancel()
	order := d.operator.Place(limited, 1, workload.Content(1, 1))
	d.story.tell("the operator's configuration 1 is answered with %d", order.Status)
	if err := d.await(ctx, "the gateways", d.gatewaysAreReady); err != nil {
		return err
	}
	leader, _ := d.leader(ctx)
	d.story.tell("controller %d leads, %s leads %s, the gateways are ready", leader, d.service.Leader().ID(), demoService)
	return d.showTenants(ctx)
}

// keepOrdering has an operator change the configuration from time to time. The function returned ends it.
func (d *demo) keepOrdering(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for number := int64(2); demoRest(ctx, demoOrderWait); number++ {
			d.operator.Place(ctx, number, workload.Content(1, number))
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// trouble takes the primary instance and then the leading controller away while clients work.
func (d *demo) trouble(ctx context.Context, duration time.Duration) error {
	started := time.Now()
	until := func(moment time.Duration) error {
		if !demoRest(ctx, moment-time.Since(started)) {
			return ctx.Err()
		}
		return d.failure()
	}
	if err := until(duration / firstKill); err != nil {
		return err
	}
	crashed := d.service.Leader()
	crashed.Crash()
	if err := d.awaitWrites(ctx, "after the crash of the primary"); err != nil {
		return err
	}
	if err := until(duration / secondKill); err != nil {
		return err
	}
	leader, found := d.leader(ctx)
	if !found {
		return errors.New("demo: no controller leads")
	}
	d.controllers[leader].end()
	d.story.tell("controller %d, which led, is gone", leader)
	if err := d.awaitTakeover(ctx, leader); err != nil {
		return err
	}
	if err := crashed.Restart(); err != nil {
		return err
	}
	if err := d.startController(leader, false); err != nil {
		return err
	}
	d.story.tell("controller %d is started again with its disk", leader)
	return until(duration)
}

// awaitWrites waits for writes that are acknowledged from now on.
func (d *demo) awaitWrites(ctx context.Context, when string) error {
	leader := d.service.Leader()
	if err := d.await(ctx, "another primary", func() bool { return d.service.Leader() != leader }); err != nil {
		return err
	}
	before := d.history.Acknowledged()
	if err := d.await(ctx, "writes "+when, func() bool { return d.history.Acknowledged() > before }); err != nil {
		return err
	}
	d.story.tell("writes are acknowledged again %s", when)
	return nil
}

func (d *demo) awaitTakeover(ctx context.Context, old int) error {
	return d.await(ctx, "another controller to lead", func() bool {
		leader, found := d.leader(ctx)
		if found && leader != old {
			d.story.tell("controller %d leads", leader)
		}
		return found && leader != old
	})
}

// conclude compares what was acknowledged with what is there.
func (d *demo) conclude(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, demoPatience)
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
	d.tellSums(read)
	for _, rule := range broken {
		d.story.tell("NOT KEPT %s", rule)
	}
	if len(broken) > 0 {
		return errDemoFailed
	}
	d.story.tell("nothing that was acknowledged is missing, nothing is there twice, no read was out of date; statements ran as their tenants")
	return nil
}

func (d *demo) tellSums(read workload.Fetched) {
	waits := d.history.Waits()
	slices.Sort(waits)
	if len(waits) > 0 {
		d.story.tell("%d writes were acknowledged; waits: half within %v, longest %v", len(waits),
			waits[len(waits)/2].Round(time.Millisecond), waits[len(waits)-1].Round(time.Millisecond))
	}
	d.story.tell("configuration %d is in force, %d was the newest acknowledged of %d", read.Number,
		d.orders.NewestAcknowledged(), len(d.orders.Placed()))
	d.story.tell("%s leads %s; the platform took %d calls", d.service.Leader().ID(), demoService, len(d.platform.Calls()))
}
