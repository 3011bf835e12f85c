package testinstance

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Headers of a fenced call: its caller and its fencing token.
const (
	holderHeader = "X-Eiderway-Duty-Holder"
	fenceHeader  = "X-Eiderway-Fence-Token"
)

// PlatformSettings control how a platform behaves.
type PlatformSettings struct {
	FenceChecked bool
	PromoteTime  time.Duration // from the call until the instance is the primary
	Slow         time.Duration // delay before a call is handled
	LoseAnswers  int           // how many of the next successful calls get no answer
}

// FailoverCall is a POST /failover that the platform received.
type FailoverCall struct {
	Service    string
	InstanceID string
	Holder     string
	Fence      uint64
	Status     int // of the answer, even if the answer was lost
	At         time.Time
}

// Platform is a stand-in for the platform that promotes instances: it serves POST /failover.
type Platform struct {
	services map[string]*Service
	server   *http.Server
	address  string
	running  sync.WaitGroup
	ctx      context.Context
	stop     context.CancelFunc

	mutex    sync.Mutex
	settings PlatformSettings
	fences   map[string]uint64 // the highest seen, for each service
	calls    []FailoverCall
}

// StartPlatform starts a platform for these services.
func StartPlatform(address string, settings PlatformSettings, services ...*Service) (*Platform, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrap(err, "platform")
	}
	p := &Platform{address: listener.Addr().String(), settings: settings, services: map[string]*Service{}, fences: map[string]uint64{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	for _, service := range services {
		p.services[service.settings.Name] = service
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", p.failover)
	p.server = &http.Server{Handler: mux}
	p.running.Go(func() { _ = p.server.Serve(listener) })
	return p, nil
}

// Stop ends the platform and its pending promotions.
func (p *Platform) Stop() {
	p.stop()
	_ = p.server.Close()
	p.running.Wait()
}

// Address returns the address on which the platform listens.
func (p *Platform) Address() string { return p.address }

// Calls returns the calls that were handled, in order.
func (p *Platform) Calls() []FailoverCall {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.calls)
}

// Set changes the settings of the platform.
func (p *Platform) Set(change func(*PlatformSettings)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(&p.settings)
}

func (p *Platform) failover(writer http.ResponseWriter, request *http.Request) {
	call, err := readCall(request)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	slow := p.settings.Slow
	p.mutex.Unlock()
	if !sleep(p.ctx, slow) {
		return
	}
	status, loses := p.take(call)
	if loses {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	writer.WriteHeader(status)
}

func readCall(request *http.Request) (FailoverCall, error) {
	var body struct {
		TargetService string `json:"targetService"`
		InstanceID    string `json:"instanceId"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return FailoverCall{}, err
	}
	holder := request.Header.Get(holderHeader)
	fence, err := strconv.ParseUint(request.Header.Get(fenceHeader), 10, 64)
	if err != nil || holder == "" {
		return FailoverCall{}, errors.New("a duty without its holder or fence")
	}
	return FailoverCall{Service: body.TargetService, InstanceID: body.InstanceID, Holder: holder, Fence: fence, At: time.Now()}, nil
}

// take handles and records a call. It returns the status of the answer and whether the answer is lost.
func (p *Platform) take(call FailoverCall) (status int, loses bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	call.Status = p.decide(call)
	p.calls = append(p.calls, call)
	if call.Status == http.StatusOK && p.settings.LoseAnswers > 0 {
		p.settings.LoseAnswers--
		return call.Status, true
	}
	return call.Status, false
}

func (p *Platform) decide(call FailoverCall) int {
	service, found := p.services[call.Service]
	if !found {
		return http.StatusNotFound
	}
	if p.settings.FenceChecked && call.Fence < p.fences[call.Service] {
		return http.StatusConflict
	}
	p.fences[call.Service] = max(p.fences[call.Service], call.Fence)
	due, err := service.accepts(call.InstanceID)
	if err != nil {
		return http.StatusConflict
	}
	if due {
		promoteTime := p.settings.PromoteTime
		p.running.Go(func() {
			if sleep(p.ctx, promoteTime) {
				service.promote(call.InstanceID)
			}
		})
	}
	return http.StatusOK
}
