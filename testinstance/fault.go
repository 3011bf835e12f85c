package testinstance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Faults sets the rates of random faults of a service's instances.
type Faults struct {
	LoseAnswers  float64       // share of the clients' statements whose answer is lost after the execution
	LoseAcks     float64       // share of the controllers' acknowledgements that an instance never sees
	LateShare    float64       // share of the calls to controllers that arrive late, half of them in time as well
	MaxLateDelay time.Duration // the longest delay of a late call
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

func (s *Service) currentFaults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// occurs decides at random whether a fault of this rate occurs now.
func occurs(share float64) bool { return share > 0 && rand.Float64() < share }

// CutCaller cuts a caller off from all instances, or reconnects it. What it sends meanwhile is lost. The name is that of the
// process, or else the user of its CONNECT.
func (s *Service) CutCaller(name string, cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutCallers[name] = cut
	s.notifyChange()
}

// awaitUncut returns true if the caller isn't cut off. Otherwise it waits until the caller is reconnected, and returns false,
// since what was sent meanwhile is lost.
func (c *connection) awaitUncut() bool {
	wasCut := false
	for c.ctx.Err() == nil {
		service := c.instance.service
		service.mutex.Lock()
		isCut := service.cutCallers[c.caller]
		changed := service.changed
		service.mutex.Unlock()
		if !isCut {
			return !wasCut
		}
		wasCut = true
		select {
		case <-c.ctx.Done():
		case <-changed:
		}
	}
	return false
}

// CutController makes a controller unreachable for all instances, or reachable again.
func (s *Service) CutController(address string, cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutControllers[address] = cut
}

var errCutOff = eris.New("the controller can't be reached")

// checkReachable returns an error, after the time of a call that isn't answered, if the controller is cut off.
func (c *controllerClient) checkReachable(ctx context.Context, address string) error {
	service := c.instance.service
	service.mutex.Lock()
	isCut := service.cutControllers[address]
	service.mutex.Unlock()
	if !isCut {
		return nil
	}
	sleep(ctx, callTimeout)
	return errCutOff
}

// errDelayed reports that a call arrives too late for its answer to be awaited.
var errDelayed = eris.New("the call is delayed")

// delay lets some calls arrive late, as if the network had held them up, and some of these in time as well. It returns an error, after
// the time of a call that isn't answered, for one that arrives late only.
func (c *controllerClient) delay(ctx context.Context, target, action string, body any) error {
	faults := c.instance.service.currentFaults()
	if !occurs(faults.LateShare) {
		return nil
	}
	c.sendLate(ctx, faults, target, action, body)
	if occurs(0.5) {
		return nil
	}
	sleep(ctx, callTimeout)
	return errDelayed
}

func (c *controllerClient) sendLate(ctx context.Context, faults Faults, target, action string, body any) {
	late := newControllerClient(c.instance)
	c.instance.service.running.Go(func() {
		defer late.client.CloseIdleConnections()
		if sleep(context.WithoutCancel(ctx), rand.N(faults.MaxLateDelay)) {
			_, _ = late.post(context.WithoutCancel(ctx), target, action, body)
		}
	})
}

// IsEnding reports whether the instance has begun its planned end, or has left.
func (i *Instance) IsEnding() bool {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.left || i.draining || i.leavesWithoutDrain
}

// HasLeft reports whether the instance has left for good.
func (i *Instance) HasLeft() bool {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.left
}

// StartSuccessor starts a replica with the address of an instance that has left. Its log is empty: the instance that left took its
// own along.
func (s *Service) StartSuccessor(gone *Instance, id string) (*Instance, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !gone.left {
		return nil, eris.Errorf("%s has not left", gone.id)
	}
	added := &Instance{
		service: s, id: id, address: gone.address, zone: gone.zone, beatRequests: make(chan struct{}, 1),
	}
	if err := added.begin(); err != nil {
		return nil, err
	}
	s.instances = append(s.instances, added)
	s.note("%s takes the place of %s", id, gone.id)
	return added, nil
}
