package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"eiderway/testinstance"
	"eiderway/wire"
)

const (
	openTransactions = 12
	firstCommit      = 2550 * time.Millisecond // after the SIGTERM
	lastCommit       = 2850 * time.Millisecond // well inside the first half of graceS, which is 3 s
)

// sigtermOpenTransaction opens transactions at a gateway, each with one write, terminates the gateway, and commits each transaction inside
// the first half of the grace time. The statements rest for less than txnIdleMs, the instances are idle, and nothing else goes wrong.
func sigtermOpenTransaction(r *record, trouble bool) (bool, error) {
	routes := []route{
		{host: "short", class: "primary", timeoutMs: 1000, latencyMs: 200},
		{host: "long", class: "primary", timeoutMs: 3000, latencyMs: 800},
	}
	w, err := startWorld(r, 1, func(*testinstance.Settings) {}, routes)
	if err != nil {
		return false, err
	}
	defer w.stop()
	time.Sleep(2 * time.Second)
	var sessions []*wire.Conn
	for number := range openTransactions {
		conn, err := openWithWrite(r, w.layout.Front(0), databaseOf(number), number)
		if err != nil {
			return false, err
		}
		defer conn.Close()
		sessions = append(sessions, conn)
	}
	terminatedAt := time.Now()
	if trouble {
		w.signal("gateway-0", syscall.SIGTERM)
	}
	outcomes := make([]string, openTransactions)
	var committing sync.WaitGroup
	for number, conn := range sessions {
		at := terminatedAt.Add(firstCommit + time.Duration(number)*(lastCommit-firstCommit)/openTransactions)
		committing.Go(func() {
			time.Sleep(time.Until(at))
			outcomes[number] = commit(r, conn, number, terminatedAt)
		})
	}
	committing.Wait()
	broken := false
	for number, outcome := range outcomes {
		if outcome != "" {
			broken = true
			r.add("DRAIN: transaction %d on %s was open at the SIGTERM and was not let end in the first half of graceS: %s", number, databaseOf(number), outcome)
		}
	}
	return broken, nil
}

// databaseOf alternates between the routes.
func databaseOf(number int) string {
	if number%2 == 0 {
		return "short"
	}
	return "long"
}

func openWithWrite(r *record, front, database string, number int) (*wire.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := wire.Dial(ctx, front, database, fmt.Sprintf("client-%d", number), "")
	if err != nil {
		return nil, err
	}
	for step, text := range []string{"BEGIN", fmt.Sprintf("PUT k%d d%d", number, number)} {
		answer, err := conn.QueryUntil(time.Now().Add(2*time.Second), fmt.Sprintf("s%d.%d", number, step), text)
		r.add("client %d on %s: %s -> %v", number, database, text, describe(answer, err))
		if err != nil || answer.Code != "" {
			conn.Close()
			return nil, fmt.Errorf("client %d could not begin", number)
		}
	}
	return conn, nil
}

// commit sends COMMIT and returns what went wrong, or "".
func commit(r *record, conn *wire.Conn, number int, terminatedAt time.Time) string {
	sent := time.Since(terminatedAt)
	answer, err := conn.QueryUntil(time.Now().Add(4*time.Second), fmt.Sprintf("s%d.c", number), "COMMIT")
	r.add("client %d on %s: COMMIT, sent %d ms after the SIGTERM -> %s", number, databaseOf(number), sent.Milliseconds(), describe(answer, err))
	if err != nil || answer.Code != "" {
		return describe(answer, err)
	}
	return ""
}

func describe(answer wire.Answer, err error) string {
	switch {
	case err != nil:
		return "no answer: " + err.Error()
	case answer.Code != "":
		return fmt.Sprintf("ERROR %s %s, READY %c", answer.Code, answer.Text, answer.State)
	}
	return fmt.Sprintf("COMPLETE %s, READY %c %s", answer.Stamp, answer.State, answer.Position)
}
