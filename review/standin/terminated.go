package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"eiderway/systemtest/workload"
	"eiderway/wire"
)

const (
	openSessions = 5
	// firstStatementAt is when the sessions send their first statement, counted from the SIGTERM. It is later than 3 s after it.
	firstStatementAt = 4250 * time.Millisecond
	// slowWork is how long the router works on it: less than the route's timeout, and over before graceS is.
	slowWork  = 1350 * time.Millisecond
	graceTime = 6 * time.Second
	// sigtermStretch is how long after a SIGTERM a request that ends without an answer counts: 1 s after graceS.
	sigtermStretch = graceTime + time.Second
)

// sessionResult is what a client saw of its statement.
type sessionResult struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	answer  wire.Answer
	err     error
}

// terminatedGateway sends SIGTERM to a gateway. Sessions that were open before send their first statement afterwards.
func terminatedGateway(d *deployment) ([]string, error) {
	var servers []*readServer
	for number := range 3 {
		server, err := startReadServer(d, "db-"+workload.Zone(number), d.layout.Instance(number), workload.Zone(number), number == 0, slowWork, (*readServer).beat)
		if err != nil {
			return nil, err
		}
		defer server.stop()
		servers = append(servers, server)
	}
	if err := d.startPrograms(false); err != nil {
		return nil, err
	}
	if err := d.placeConfiguration(); err != nil {
		return nil, err
	}
	if !await(patience, func() bool { return d.canRead() }) {
		return nil, fmt.Errorf("%w: no read is served", errSetup)
	}
	d.record.note("the system serves")
	var sessions []*wire.Conn
	for number := range openSessions {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		session, err := wire.Dial(ctx, d.layout.Front(0), databaseName, fmt.Sprintf("client-%d", number), "")
		cancel()
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errSetup, err)
		}
		sessions = append(sessions, session)
		d.record.note("client %d: CONNECT, READY", number)
	}
	time.Sleep(300 * time.Millisecond)
	terminatedAt := time.Now()
	if d.trouble {
		d.record.note("planned: SIGTERM to gateway-0")
		if err := d.processNamed("gateway-0").command.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(terminatedAt.Add(firstStatementAt)))
	results := make([]sessionResult, openSessions)
	var asking sync.WaitGroup
	for number, session := range sessions {
		asking.Go(func() {
			id := fmt.Sprintf("a%d", number)
			results[number] = sessionResult{id: id, sentAt: time.Now()}
			answer, err := session.QueryUntil(time.Now().Add(10*time.Second), id, string(wire.Fetch)+" "+slowThing)
			results[number].answer, results[number].err, results[number].endedAt = answer, err, time.Now()
		})
	}
	asking.Wait()
	time.Sleep(slowWork) // a router may still be at work
	return judgeCuts(d, servers[0], terminatedAt, results), nil
}

// judgeCuts returns the statements that a router ran and whose sessions ended without an answer. It leaves out what the rule leaves out:
// statements that their router broke off or whose timeout was reached, and those sent within 3 s of the SIGTERM.
func judgeCuts(d *deployment, primary *readServer, terminatedAt time.Time, results []sessionResult) []string {
	var broken []string
	for _, result := range results {
		run, ran := primary.runOf(result.id)
		d.record.note("%s sent %.3f s after the SIGTERM, ended %.3f s after it: stamp %q code %q error %v", result.id,
			result.sentAt.Sub(terminatedAt).Seconds(), result.endedAt.Sub(terminatedAt).Seconds(), result.answer.Stamp, result.answer.Code, result.err)
		if ran {
			d.record.note("%s ran at the router from %.3f to %.3f s after the SIGTERM", result.id,
				run.began.Sub(terminatedAt).Seconds(), run.ended.Sub(terminatedAt).Seconds())
		}
		timeoutReached := result.endedAt.Sub(result.sentAt) >= routeTimeout
		excused := timeoutReached || result.sentAt.Sub(terminatedAt) <= 3*time.Second || result.endedAt.Sub(terminatedAt) > sigtermStretch
		if result.err != nil && ran && !excused {
			broken = append(broken, fmt.Sprintf("LOST: %s was passed on to a router, and its connection ended without an answer %.3f s after the SIGTERM, %.3f s after it was sent",
				result.id, result.endedAt.Sub(terminatedAt).Seconds(), result.endedAt.Sub(result.sentAt).Seconds()))
		}
	}
	return broken
}
