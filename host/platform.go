package host

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"eiderway/control/failover"
)

const (
	// platformDial is how long a connection to the platform may take: nothing is sent before it stands, so giving up is
	// free.
	platformDial = time.Second
	// platformWait is how long the whole call may take. The platform may be slow, and what it does shows in the terms of
	// the instances, so waiting longer gains nothing.
	platformWait = 2500 * time.Millisecond
)

// Headers of a call that is a duty.
const (
	headerHolder = "X-Eiderway-Duty-Holder"
	headerFence  = "X-Eiderway-Fence-Token"
)

// failoverBody is the body of POST /failover.
type failoverBody struct {
	TargetService string `json:"targetService"`
	InstanceID    string `json:"instanceId"`
}

// platform makes calls to the platform. Each goes out once, on a connection of its own, without a library between that
// might send it again.
type platform struct {
	address  string // "": this process has no platform to call
	deliver  func(failover.PlatformResult)
	counters *counters
	ctx      context.Context
	wait     time.Duration // platformWait
	calls    sync.WaitGroup
}

// start makes the call in the background.
func (p *platform) start(call failover.PlatformCall) {
	p.counters.platformCalls.Add(1)
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		p.deliver(p.make(call))
	}()
}

func (p *platform) make(call failover.PlatformCall) failover.PlatformResult {
	ctx, cancel := context.WithTimeout(p.ctx, p.wait)
	defer cancel()
	result := failover.PlatformResult{Number: call.Number, Outcome: failover.NotSent}
	connection, err := p.dial(ctx)
	if err != nil {
		return result
	}
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	result.Code, err = p.exchange(connection, call)
	result.Outcome = outcomeOf(result.Code, err)
	return result
}

func (p *platform) dial(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: platformDial, Control: setUnsentTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp4", p.address)
}

// exchange sends the call and returns the status of the answer.
func (p *platform) exchange(connection net.Conn, call failover.PlatformCall) (int, error) {
	request, err := p.request(call)
	if err != nil {
		return 0, err
	}
	if err := request.Write(connection); err != nil {
		return 0, err
	}
	reader := bufio.NewReader(connection)
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return 0, err
		}
		_ = response.Body.Close()
		if response.StatusCode >= http.StatusOK {
			return response.StatusCode, nil
		}
	}
}

func (p *platform) request(call failover.PlatformCall) (*http.Request, error) {
	body, err := json.Marshal(failoverBody{TargetService: call.Service, InstanceID: call.InstanceID})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/failover", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerHolder, call.Holder)
	request.Header.Set(headerFence, strconv.FormatUint(call.Fence, 10))
	return request, nil
}

// outcomeOf a call whose connection stood: anything but a clear answer leaves open what was done.
func outcomeOf(code int, err error) failover.PlatformOutcome {
	switch {
	case err != nil:
		return failover.OutcomeUnknown
	case code >= 200 && code < 300:
		return failover.Accepted
	case code >= 400 && code < 500:
		return failover.Declined
	}
	return failover.OutcomeUnknown
}
