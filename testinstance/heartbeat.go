package testinstance

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

const (
	beatWait         = time.Second           // for an acknowledgement
	beatRetry        = 50 * time.Millisecond // before another controller is called
	mostAnswer       = 4 << 10               // bytes of an acknowledgement
	mostRedirect     = 2                     // that a caller follows
	leaveTries       = 20                    // after which an instance ends without an acknowledgement
	softwareRevision = "v1"                  // configRevision
)

// heartbeat is the body of POST /instances/ID/heartbeat.
type heartbeat struct {
	TargetService  string `json:"targetService"`
	Address        string `json:"address"`
	Zone           string `json:"zone"`
	ConfigRevision string `json:"configRevision"`
	SlotCount      int    `json:"slotCount"`
	OperState      string `json:"operState"`
	WarmupLeftMs   int64  `json:"warmupLeftMs"`
	DBRole         string `json:"dbRole"`
	CallSeq        uint64 `json:"callSeq"`
}

// acknowledgement is what an instance reads of the answer.
type acknowledgement struct {
	BeatTarget string `json:"beatTarget"`
}

// errLostAck says that an acknowledgement was lost on its way.
var errLostAck = eris.New("the acknowledgement is lost")

// errNoController says that no controller has acknowledged a call.
var errNoController = eris.New("no controller has acknowledged")

// caller makes an instance's calls to the controllers.
type caller struct {
	instance *Instance
	client   *http.Client
	target   string // of the next beat; "": any controller
}

func newCaller(instance *Instance) *caller {
	return &caller{instance: instance, client: &http.Client{
		Timeout:   beatWait,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: beatWait},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > mostRedirect {
				return eris.New("too many redirects")
			}
			return nil
		},
	}}
}

// beat sends heartbeats until the instance ends.
func (i *Instance) beat(ctx context.Context) {
	caller := newCaller(i)
	defer caller.client.CloseIdleConnections()
	for i.awaitThaw(ctx) {
		if i.isLeavingFirst() {
			i.leave(ctx, caller)
			i.serveOn(ctx, caller, i.service.settings.BeatsAfterLeave)
			i.finish()
			return
		}
		beat := i.heartbeat()
		acknowledged := caller.call(ctx, "heartbeat", func() any { return i.heartbeat() }) == nil
		if acknowledged && beat.OperState == "draining" {
			i.departs()
			i.serveOn(ctx, caller, true)
			i.leave(ctx, caller)
			i.finish()
			return
		}
		i.rest(ctx)
	}
}

// rest waits for the next beat.
func (i *Instance) rest(ctx context.Context) {
	interval := i.service.settings.BeatInterval
	timer := time.NewTimer(interval*9/10 + rand.N(interval/5))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-i.beatNow:
	case <-timer.C:
	}
}

// heartbeat is the instance's next call.
func (i *Instance) heartbeat() heartbeat {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	i.callSeq++
	beat := heartbeat{
		TargetService:  i.service.settings.Name,
		Address:        i.address,
		Zone:           i.zone,
		ConfigRevision: softwareRevision,
		SlotCount:      i.service.settings.Slots,
		OperState:      "ready",
		DBRole:         "replica",
		CallSeq:        i.callSeq,
	}
	if i.draining {
		beat.OperState = "draining"
	}
	if i.primary {
		beat.DBRole = "primary"
	}
	return beat
}

// call makes a call at the target or, after a failure, at each of the controllers once.
func (c *caller) call(ctx context.Context, action string, body func() any) error {
	targets := c.instance.service.settings.Controllers()
	rand.Shuffle(len(targets), func(one, other int) { targets[one], targets[other] = targets[other], targets[one] })
	if c.target != "" {
		targets = append([]string{c.target}, targets...)
	}
	for _, target := range targets {
		call := body()
		c.sendLate(ctx, target, action, call)
		answer, err := c.post(ctx, target, action, call)
		if err == nil && happens(c.instance.service.currentFaults().LoseAcks) {
			err = errLostAck
		}
		if err == nil {
			c.target = answer.BeatTarget
			return nil
		}
		c.target = ""
		if !pause(ctx, beatRetry) {
			return ctx.Err()
		}
	}
	return errNoController
}

func (c *caller) post(ctx context.Context, target, action string, body any) (acknowledgement, error) {
	if err := c.reachControl(ctx, target); err != nil {
		return acknowledgement{}, err
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return acknowledgement{}, err
	}
	path := "http://" + target + "/instances/" + url.PathEscape(c.instance.id) + "/" + action
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(encoded))
	if err != nil {
		return acknowledgement{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return acknowledgement{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, mostAnswer+1))
	switch {
	case err != nil:
		return acknowledgement{}, err
	case response.StatusCode/100 != 2:
		return acknowledgement{}, eris.Errorf("status %d", response.StatusCode)
	case len(content) > mostAnswer:
		return acknowledgement{}, errors.New("the acknowledgement is too large")
	}
	var answer acknowledgement
	_ = json.Unmarshal(content, &answer) // the body is optional
	return answer, nil
}

// Drain begins a planned end: the instance says so, serves on for a while, says that it leaves, and ends.
func (i *Instance) Drain() {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	i.draining = true
	i.service.note("%s drains", i.id)
	i.beatSoon()
}

// Leave begins a planned end without a drain: the instance says that it leaves, serves on for a while, and ends.
func (i *Instance) Leave() {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	i.leavesFirst = true
	i.service.note("%s leaves without having drained", i.id)
	i.beatSoon()
}

func (i *Instance) isLeavingFirst() bool {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.leavesFirst
}

// serveOn goes on after the acknowledgement of the end, with beats or without.
func (i *Instance) serveOn(ctx context.Context, caller *caller, beats bool) {
	settings := i.service.settings
	for until := time.Now().Add(settings.DrainTime + settings.Linger); time.Now().Before(until) && ctx.Err() == nil; {
		i.rest(ctx)
		if beats {
			_ = caller.call(ctx, "heartbeat", func() any { return i.heartbeat() }) // the next one tells the same
		}
	}
}

// leave says that the instance leaves.
func (i *Instance) leave(ctx context.Context, caller *caller) {
	for range leaveTries {
		if caller.call(ctx, "leave", func() any { return struct{}{} }) == nil {
			i.departs()
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// finish ends the instance for good.
func (i *Instance) finish() {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	i.left = true
	i.service.note("%s leaves", i.id)
	i.end()
}

// pause waits, and tells whether the context has not ended meanwhile.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
