package proxy

// This file owns the talk with discovery: one goroutine that watches the list once the module has asked for
// it, until a call fails; a watch whose discovery has moved goes on at the new address, and one that hangs is
// looked after once. It must never judge what a list means, nor ask again by itself after a failure.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"eiderway/lease"
	"eiderway/splitter"
)

const (
	holdFor       = 2 * time.Second        // a watch is asked to wait as long: one that hangs says nothing till then
	holdSlack     = 500 * time.Millisecond // it hangs when its answer is overdue by this; a call without a wait
	callSlack     = 2 * time.Second        // follows, which discovery must answer by this
	longestList   = 8 << 20                // bytes, or
	listShare     = 16                     // a sixteenth of the memory: decoded, a list takes several times its length
	longestHeader = 64 << 10               // bytes
)

// listing is a list, or news of one, in discovery's form.
type listing struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Group    *int    `json:"pod_group"`
	State    string  `json:"state"`
	Boot     float64 `json:"boot_ms"`
}

func (e *entry) check() error {
	if e.UID == "" {
		return fmt.Errorf("an entry without a uid")
	}
	if _, err := netip.ParseAddrPort(e.Endpoint); err != nil {
		return fmt.Errorf("node %.40q: %w", e.UID, err)
	}
	if e.Group != nil && *e.Group < 0 {
		return fmt.Errorf("node %.40q: group %d", e.UID, *e.Group)
	}
	return nil
}

// state takes a state that it does not know as gone.
func (e *entry) state() splitter.State {
	switch e.State {
	case "Ready":
		return splitter.On
	case "Terminating":
		return splitter.Draining
	}
	return splitter.Gone
}

type list struct {
	core  *core
	rev   int64
	shown atomic.Int64 // rev, for the counters
	asked chan struct{}
	most  int64 // bytes of a list
	http  *http.Client
	mu    sync.Mutex // over the address and the call that is out there
	addr  string
	leave context.CancelFunc
	soon  bool // the next call does not wait

	follow *lease.Follow // under mu; nil: this router watches for itself
	wake   chan struct{} // there is news for who waits by it
}

func newList(c *core, addr string, rev, memoryMB int64) *list {
	l := &list{core: c, addr: addr, leave: func() {}, rev: rev, most: min(longestList, memoryMB<<20/listShare),
		asked: make(chan struct{}, 1), wake: make(chan struct{}, 1)}
	l.http = &http.Client{
		Transport: &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: longestHeader,
			DialContext: (&net.Dialer{KeepAlive: -1}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	l.shown.Store(rev)
	return l
}

// ask begins a watch. It never blocks.
func (l *list) ask() {
	select {
	case l.asked <- struct{}{}:
	default:
	}
}

// move turns to another address: the call that is out is left, the next one goes there.
func (l *list) move(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr != addr {
		l.addr = addr
		l.leave()
		l.soon = l.soon || l.follow != nil // nobody's word counts for the new one
		l.stir()
		l.core.tell(func() { l.core.members(splitter.ListMoved, nil) })
	}
}

// look has a watch that stands ask at once, without a wait: there is news that it has not brought.
func (l *list) look() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.soon = true
	l.leave()
	l.stir()
}

// looks tells whether look was called since it was last asked.
func (l *list) looks() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	soon := l.soon
	l.soon = false
	return soon
}

func (l *list) at() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

func (l *list) run(ctx context.Context) error {
	defer l.http.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.asked:
		}
		err := l.watch(ctx)
		if ctx.Err() != nil {
			return nil
		}
		select {
		case <-l.asked: // while this watch stood
		default:
		}
		l.core.log.WithError(err).Warn("the watch of the list ended")
		l.core.counters.watchesEnded.Add(1)
		if l.follow != nil {
			l.core.leases.unlisted()
		}
		l.core.tell(func() { l.core.members(splitter.ListRefused, nil) })
	}
}

// holds says whether this router watches for its zone, heard brings the word of the one that does. Both are the core's.
func (l *list) holds(on bool) {
	l.mu.Lock()
	l.follow.Holds(on)
	l.mu.Unlock()
	l.stir()
}

func (l *list) heard(rev int64, now float64) {
	l.mu.Lock()
	l.follow.Heard(rev, now)
	l.mu.Unlock()
	l.stir()
}

func (l *list) stir() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// got tells who follows us, or whom we follow, what a call has brought.
func (l *list) got(rev int64) {
	if l.follow == nil {
		return
	}
	l.mu.Lock()
	l.follow.Got(rev)
	l.mu.Unlock()
	l.core.leases.listed(rev)
}

// waits returns when a call is due, and tells whether it is one that does not wait for news.
func (l *list) waits(ctx context.Context) (now bool) {
	for l.follow != nil {
		l.mu.Lock()
		do, until := l.follow.Next(l.core.clock.now())
		soon := l.soon
		l.mu.Unlock()
		if do != lease.Wait || soon {
			return do == lease.Fetch
		}
		due := time.NewTimer(time.Until(l.core.clock.at(until)))
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-due.C:
		}
		due.Stop()
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// watch tells the core all news until a call fails at the address that is in force. Of one that hangs, which is how
// a connection ends that was cut off, news is asked for at once on another: it must not wait for the module's pause.
func (l *list) watch(ctx context.Context) error {
	hold, slack := holdFor, holdSlack
	for {
		if l.waits(ctx) {
			hold, slack = 0, callSlack
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		addr := l.at()
		news, err := l.call(ctx, addr, hold, slack)
		switch {
		case err == nil:
			hold, slack = holdFor, holdSlack
		case ctx.Err() == nil && l.at() != addr:
			l.http.CloseIdleConnections()
			continue
		case ctx.Err() == nil && l.looks():
			hold, slack = 0, callSlack
			continue
		case errors.Is(err, context.DeadlineExceeded) && hold > 0:
			l.core.counters.watchesHung.Add(1)
			hold, slack = 0, callSlack
			continue
		default:
			return err
		}
		l.rev = news.Rev
		l.shown.Store(news.Rev)
		l.got(news.Rev)
		if g := l.core.gossip; g != nil {
			g.transport.SetListVersion(news.Rev)
		}
		kind := splitter.ListChanges
		if news.All {
			kind = splitter.ListAll
		}
		l.core.tell(func() { l.core.members(kind, news.Targets) })
	}
}

func (l *list) call(ctx context.Context, addr string, hold, slack time.Duration) (*listing, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+slack)
	defer cancel()
	l.mu.Lock()
	l.leave = cancel
	moved := l.addr != addr || l.soon && hold > 0
	l.mu.Unlock()
	if moved {
		cancel()
	}
	l.core.counters.listCalls.Add(1)
	url := "http://" + addr + "/v1/endpoints?from=" + strconv.FormatInt(l.rev, 10) + "&hold_ms=" +
		strconv.FormatInt(hold.Milliseconds(), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery said %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, l.most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > l.most {
		return nil, fmt.Errorf("a list of over %d bytes", l.most)
	}
	news := &listing{}
	return news, json.Unmarshal(body, news)
}
