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
	callTimeout      = time.Second           // for the answer to one call
	retryDelay       = 50 * time.Millisecond // before the next controller is called
	maxAnswerBytes   = 4 << 10               // of an acknowledgement
	maxRedirects     = 2                     // of one call
	maxLeaveAttempts = 20                    // then the instance ends without an acknowledgement
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

// acknowledgement holds the fields of the answer that an instance uses.
type acknowledgement struct {
	BeatTarget string `json:"beatTarget"`
}

// errLostAck reports an acknowledgement that was lost on purpose, see Faults.LoseAcks.
var errLostAck = eris.New("the acknowledgement was lost")

// errNoController reports that no controller has acknowledged a call.
var errNoController = eris.New("no controller has acknowledged")

// controllerClient sends an instance's calls to the controllers.
type controllerClient struct {
	instance *Instance
	client   *http.Client
	target   string // of the next call; "": any controller
}

func newControllerClient(instance *Instance) *controllerClient {
	return &controllerClient{instance: instance, client: &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: callTimeout},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > maxRedirects {
				return eris.New("too many redirects")
			}
			return nil
		},
	}}
}

// beat sends heartbeats until the instance stops, and carries out a planned end.
func (i *Instance) beat(ctx context.Context) {
	controllers := newControllerClient(i)
	defer controllers.client.CloseIdleConnections()
	for i.awaitThaw(ctx) {
		if i.isLeavingWithoutDrain() {
			i.leave(ctx, controllers)
			i.serveWhileDraining(ctx, controllers, i.service.settings.BeatsAfterLeave)
			i.finish()
			return
		}
		beat := i.heartbeat()
		acknowledged := controllers.call(ctx, "heartbeat", func() any { return i.heartbeat() }) == nil
		if acknowledged && beat.OperState == "draining" {
			i.recordDeparture()
			i.serveWhileDraining(ctx, controllers, true)
			i.leave(ctx, controllers)
			i.finish()
			return
		}
		i.awaitNextBeat(ctx)
	}
}

// awaitNextBeat waits until the next heartbeat is due or requested. The interval is jittered by a tenth.
func (i *Instance) awaitNextBeat(ctx context.Context) {
	interval := i.service.settings.BeatInterval
	timer := time.NewTimer(interval*9/10 + rand.N(interval/5))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-i.beatRequests:
	case <-timer.C:
	}
}

// heartbeat returns the body of the instance's next heartbeat.
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
		WarmupLeftMs:   max(0, i.service.settings.WarmupTime-time.Since(i.begunAt)).Milliseconds(),
	}
	if i.draining {
		beat.OperState = "draining"
	}
	if i.primary {
		beat.DBRole = "primary"
	}
	return beat
}

// call sends a call to the target, if there is one, and then to each controller once, until one acknowledges it.
func (c *controllerClient) call(ctx context.Context, action string, body func() any) error {
	targets := c.instance.service.settings.Controllers()
	rand.Shuffle(len(targets), func(one, other int) { targets[one], targets[other] = targets[other], targets[one] })
	if c.target != "" {
		targets = append([]string{c.target}, targets...)
	}
	for _, target := range targets {
		call := body()
		answer, err := c.postInTime(ctx, target, action, call)
		if err == nil && occurs(c.instance.service.currentFaults().LoseAcks) {
			err = errLostAck
		}
		if err == nil {
			c.target = answer.BeatTarget
			return nil
		}
		c.target = ""
		if !sleep(ctx, retryDelay) {
			return ctx.Err()
		}
	}
	return errNoController
}

// postInTime sends a call, unless it is delayed.
func (c *controllerClient) postInTime(ctx context.Context, target, action string, body any) (acknowledgement, error) {
	if err := c.delay(ctx, target, action, body); err != nil {
		return acknowledgement{}, err
	}
	return c.post(ctx, target, action, body)
}

func (c *controllerClient) post(ctx context.Context, target, action string, body any) (acknowledgement, error) {
	if err := c.checkReachable(ctx, target); err != nil {
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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return acknowledgement{}, err
	case response.StatusCode/100 != 2:
		return acknowledgement{}, eris.Errorf("status %d", response.StatusCode)
	case len(content) > maxAnswerBytes:
		return acknowledgement{}, errors.New("the acknowledgement is too large")
	}
	var answer acknowledgement
	_ = json.Unmarshal(content, &answer) // the body is optional
	return answer, nil
}

// Drain begins a planned end: the instance reports that it drains, serves for the drain time, reports that it leaves, and ends.
func (i *Instance) Drain() {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	i.draining = true
	i.service.note("%s drains", i.id)
	i.requestBeat()
}

// Leave begins a planned end without a drain: the instance reports that it leaves, serves for the drain time, and ends.
func (i *Instance) Leave() {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	i.leavesWithoutDrain = true
	i.service.note("%s leaves without having drained", i.id)
	i.requestBeat()
}

func (i *Instance) isLeavingWithoutDrain() bool {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.leavesWithoutDrain
}

// serveWhileDraining keeps serving for the drain time and the linger time, with heartbeats or without.
func (i *Instance) serveWhileDraining(ctx context.Context, controllers *controllerClient, beats bool) {
	settings := i.service.settings
	for until := time.Now().Add(settings.DrainTime + settings.Linger); time.Now().Before(until) && ctx.Err() == nil; {
		i.awaitNextBeat(ctx)
		if beats {
			// A failure doesn't matter: the next heartbeat reports the same.
			_ = controllers.call(ctx, "heartbeat", func() any { return i.heartbeat() })
		}
	}
}

// leave reports to the controllers that the instance leaves.
func (i *Instance) leave(ctx context.Context, controllers *controllerClient) {
	for range maxLeaveAttempts {
		if controllers.call(ctx, "leave", func() any { return struct{}{} }) == nil {
			i.recordDeparture()
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
