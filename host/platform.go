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
	// platformDialTimeout bounds the dial. Nothing has been sent before the connection is established, so giving up then is free.
	platformDialTimeout = time.Second
	// platformCallTimeout bounds the whole call. The platform may be slow, and its effect shows in the terms of the instances, so waiting
	// longer gains nothing.
	platformCallTimeout = 2500 * time.Millisecond
	// maxPlatformCallAge is how old a call may be when its writing begins and ends. A process that was frozen after the dial must not send a
	// call that it decided on long ago: where the platform doesn't check fences, failovers rely on no call being sent that late. It leaves
	// room for the slowest dial, and is a small part of failover.Settings.MaxCallDelay.
	maxPlatformCallAge = platformDialTimeout + 500*time.Millisecond
)

// errStaleCall is returned for a call that is older than maxPlatformCallAge.
var errStaleCall = eris.New("host: the call is too old to be sent")

// Headers of calls that count as a duty: its holder and the fencing token.
const (
	headerHolder = "X-Eiderway-Duty-Holder"
	headerFence  = "X-Eiderway-Fence-Token"
)

// failoverBody is the body of POST /failover.
type failoverBody struct {
	TargetService string `json:"targetService"`
	InstanceID    string `json:"instanceId"`
}

// platformClient makes calls to the platform. Each is sent once, on its own connection, and not through http.Client, which might resend it.
type platformClient struct {
	address  string // "": this process has no platform to call
	deliver  func(failover.PlatformResult)
	counters *counters
	ctx      context.Context
	timeout  time.Duration                           // platformCallTimeout
	connect  func(context.Context) (net.Conn, error) // nil: dial
	calls    sync.WaitGroup
}

// start makes a call in the background. Its age counts from requestedAt.
func (p *platformClient) start(call failover.PlatformCall, requestedAt time.Time) {
	p.counters.platformCalls.Add(1)
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		p.deliver(p.execute(call, requestedAt))
	}()
}

func (p *platformClient) execute(call failover.PlatformCall, requestedAt time.Time) failover.PlatformResult {
	ctx, cancel := context.WithTimeout(p.ctx, p.timeout)
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
	sent, err := send(connection, request, requestedAt)
	if !sent {
		return result
	}
	if err == nil {
		result.Code, err = readStatusCode(connection, request)
	}
	result.Outcome = outcomeOf(result.Code, err)
	return result
}

func (p *platformClient) connection(ctx context.Context) (net.Conn, error) {
	if p.connect != nil {
		return p.connect(ctx)
	}
	return p.dial(ctx)
}

func (p *platformClient) dial(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: platformDialTimeout, Control: setUnackedTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp4", p.address)
}

// send writes the call unless it is too old, and reports whether any byte of it may have been sent. It checks the age right before the write.
func send(connection net.Conn, request *http.Request, requestedAt time.Time) (sent bool, err error) {
	var message bytes.Buffer
	if err := request.Write(&message); err != nil {
		return false, err
	}
	if err := connection.SetWriteDeadline(requestedAt.Add(maxPlatformCallAge)); err != nil {
		return false, err
	}
	if age := time.Since(requestedAt); age > maxPlatformCallAge {
		return false, errStaleCall
	}
	written, err := connection.Write(message.Bytes())
	return written > 0, err
}

// readStatusCode returns the status code of the final response and skips interim ones.
func readStatusCode(connection net.Conn, request *http.Request) (int, error) {
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

func (p *platformClient) request(call failover.PlatformCall) (*http.Request, error) {
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

// outcomeOf returns the outcome of a call of which something was sent: anything but a success or a client error leaves it unknown.
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
