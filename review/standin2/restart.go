package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"eiderway/systemtest/workload"
	"eiderway/wire"
)

const (
	calmTime     = 8 * time.Second
	primaryDown  = 150 * time.Millisecond
	beforeEnd    = 4 * time.Second // from the crash of the primary to the closing fault
	machinesDown = time.Second
	recoveryTime = 12 * time.Second // recoveryS
	measuredTime = 8 * time.Second  // after that
	askEvery     = 50 * time.Millisecond
	askers       = 4
)

// quickRestart crashes the primary, which is back at once at its address. Later all processes of the project are killed and started again, as
// some days end; the rule counts the requests from recoveryS after that.
func quickRestart(r *record, trouble bool) (bool, error) {
	layout, err := workload.NewLayout()
	if err != nil {
		return false, err
	}
	databases := newGroup(r, service, layout.Controls(workload.ControllerCount))
	defer databases.stop()
	for number := range instances {
		if err := databases.add(layout.Instance(number), workload.Zone(number)); err != nil {
			return false, err
		}
	}
	if err := databases.servePlatform(layout.Platform()); err != nil {
		return false, err
	}
	routes := []route{{host: "shop", class: "primary", timeoutMs: 1000, latencyMs: 200}}
	w, err := startProcesses(r, layout, 2, routes)
	if err != nil {
		return false, err
	}
	defer w.stop()
	time.Sleep(2 * time.Second)

	before := w.ask(calmTime)
	if trouble {
		if err := databases.servers[0].crash(primaryDown); err != nil {
			return false, err
		}
	}
	between := w.ask(beforeEnd)
	r.add("closing fault: all processes are killed")
	if err := w.killAndStartAll(machinesDown); err != nil {
		return false, err
	}
	r.add("all processes are started again")
	w.ask(recoveryTime)
	after := w.ask(measuredTime)
	r.add("before the trouble %v; from then to the closing fault %v; later than recoveryS after it %v", before, between, after)
	before.asked, before.served = before.asked+between.asked, before.served+between.served
	if before.served*4 < before.asked {
		return false, fmt.Errorf("less than a quarter was served before the closing fault: %v", before)
	}
	if after.served*4 < after.asked {
		r.add("RECOVER: %v, though before the closing fault %v", after, before)
		return true, nil
	}
	return false, nil
}

// share is how many requests were asked and served.
type share struct{ asked, served int64 }

func (s share) String() string {
	return fmt.Sprintf("%d of %d requests were served", s.served, s.asked)
}

// ask sends reads and writes for a while, through both gateways, and returns how many were served.
func (w *world) ask(lasting time.Duration) share {
	var asked, served atomic.Int64
	until := time.Now().Add(lasting)
	var asking sync.WaitGroup
	for number := range askers {
		asking.Go(func() {
			var conn *wire.Conn
			last := ""
			for count := 0; time.Now().Before(until); count++ {
				time.Sleep(askEvery)
				asked.Add(1)
				if conn == nil {
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					conn, _ = wire.Dial(ctx, w.layout.Front(number%2), "shop", fmt.Sprintf("client-%d", number), "")
					cancel()
					if conn == nil {
						continue
					}
				}
				text := "FETCH k1"
				if count%2 == 1 {
					text = fmt.Sprintf("PUT k%d d%d", number, count)
				}
				answer, err := conn.QueryUntil(time.Now().Add(2*time.Second), w.nextID(), text)
				if err == nil && answer.Code == "" {
					served.Add(1)
				}
				if seen := describe(answer, err); err != nil || answer.Code != "" || last == "" {
					if seen != last {
						w.record.add("client %d: %s -> %s", number, text, seen)
					}
					last = seen
				} else if last[0] != 'C' {
					w.record.add("client %d: %s -> %s", number, text, seen)
					last = seen
				}
				if err != nil {
					conn.Close()
					conn = nil
				}
			}
			if conn != nil {
				conn.Close()
			}
		})
	}
	asking.Wait()
	return share{asked: asked.Load(), served: served.Load()}
}
