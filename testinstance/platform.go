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

// Headers of a call that is a duty.
const (
	holderHeader = "X-Eiderway-Duty-Holder"
	fenceHeader  = "X-Eiderway-Fence-Token"
)

// PlatformSettings say how a platform behaves.
type PlatformSettings struct {
	FenceChecked bool
	PromoteTime  time.Duration // from the call to the moment in which the instance leads
	Slow         time.Duration // before a call is looked at
	LoseAnswers  int           // of the next calls that are carried out
}

// FailoverCall is a POST /failover that has arrived.
type FailoverCall struct {
	Service    string
	InstanceID string
	Holder     string
	Fence      uint64
	Status     int // that it was answered with, or would have been
	At         time.Time
}

// Platform takes POST /failover.
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

// Stop ends the platform and what it has under way.
func (p *Platform) Stop() {
	p.stop()
	_ = p.server.Close()
	p.running.Wait()
}

// Address is where the platform is called.
func (p *Platform) Address() string { return p.address }

// Calls are those that have arrived, in order.
func (p *Platform) Calls() []FailoverCall {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.calls)
}

// Set changes how the platform behaves.
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
	if !pause(p.ctx, slow) {
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

// take looks at a call, and tells the status and whether the answer is lost.
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
			if pause(p.ctx, promoteTime) {
				service.promote(call.InstanceID)
			}
		})
	}
	return http.StatusOK
}
