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

	"github.com/rotisserie/eris"

	"eiderway/control/failover"
)

const (
	// platformDial is how long a connection to the platform may take: nothing is sent before it stands, so giving up is
	// free.
	platformDial = time.Second
	// platformWait is how long the whole call may take. The platform may be slow, and what it does shows in the terms of
	// the instances, so waiting longer gains nothing.
	platformWait = 2500 * time.Millisecond
	// platformFresh is how old a call may be when it is written, and when its writing ends. A process that stood still
	// after it dialled must not send a call that it decided on long ago: where fences aren't checked, failovers count on
	// none being sent so late. It leaves room for the slowest dial, and is a small part of failover.Settings.MaxCallDelay.
	platformFresh = platformDial + 500*time.Millisecond
)

// errStaleCall says that a call was too old to be written.
var errStaleCall = eris.New("host: the call is too old to be sent")

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
	wait     time.Duration                           // platformWait
	connect  func(context.Context) (net.Conn, error) // nil: dial
	calls    sync.WaitGroup
}

// start makes a call in the background that was asked for at this time. Its age counts from then.
func (p *platform) start(call failover.PlatformCall, asked time.Time) {
	p.counters.platformCalls.Add(1)
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		p.deliver(p.make(call, asked))
	}()
}

func (p *platform) make(call failover.PlatformCall, asked time.Time) failover.PlatformResult {
	ctx, cancel := context.WithTimeout(p.ctx, p.wait)
	defer cancel()
	result := failover.PlatformResult{Number: call.Number, Outcome: failover.NotSent}
	request, err := p.request(call)
	if err != nil {
		return result
	}
	connection, err := p.connection(ctx)
	if err != nil {
		return result
	}
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	sent, err := send(connection, request, asked)
	if !sent {
		return result
	}
	if err == nil {
		result.Code, err = readStatus(connection, request)
	}
	result.Outcome = outcomeOf(result.Code, err)
	return result
}

func (p *platform) connection(ctx context.Context) (net.Conn, error) {
	if p.connect != nil {
		return p.connect(ctx)
	}
	return p.dial(ctx)
}

func (p *platform) dial(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: platformDial, Control: setUnsentTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp4", p.address)
}

// send writes the call unless it is too old by then, and tells whether any byte of it may have gone out. The age is read
// when nothing but the write is left to do.
func send(connection net.Conn, request *http.Request, asked time.Time) (sent bool, err error) {
	var message bytes.Buffer
	if err := request.Write(&message); err != nil {
		return false, err
	}
	if err := connection.SetWriteDeadline(asked.Add(platformFresh)); err != nil {
		return false, err
	}
	if age := time.Since(asked); age > platformFresh {
		return false, errStaleCall
	}
	written, err := connection.Write(message.Bytes())
	return written > 0, err
}

// readStatus returns the status of the final answer.
func readStatus(connection net.Conn, request *http.Request) (int, error) {
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

// outcomeOf a call of which something was sent: anything but a clear answer leaves open what was done.
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
