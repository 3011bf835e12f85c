package testinstance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Faults of a service's instances, as long as they are set.
type Faults struct {
	LoseAnswers  float64       // share of the clients' statements whose answer is lost after they were run
	LoseAcks     float64       // share of the controllers' acknowledgements that an instance never sees
	LateShare    float64       // share of the calls to controllers that come a second time, late
	MaxLateDelay time.Duration // how late
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

// happens draws whether something with this share happens now.
func happens(share float64) bool { return share > 0 && rand.Float64() < share }

// CutCaller cuts a caller of all instances off, as it names itself, or joins it again. What it sent meanwhile is lost.
func (s *Service) CutCaller(who string, cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutCallers[who] = cut
	s.announce()
}

// awaitJoin tells whether the caller's bytes come through. If it is cut off it waits until it is joined, and tells false.
func (c *connection) awaitJoin() bool {
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

// CutController keeps all instances from a controller, or lets them reach it again.
func (s *Service) CutController(address string, cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutControls[address] = cut
}

var errCutOff = eris.New("the controller can't be reached")

// reachControl waits in vain for a controller that can't be reached.
func (c *caller) reachControl(ctx context.Context, address string) error {
	service := c.instance.service
	service.mutex.Lock()
	isCut := service.cutControls[address]
	service.mutex.Unlock()
	if !isCut {
		return nil
	}
	pause(ctx, beatWait)
	return errCutOff
}

// sendLate has some calls come once more, much later, as if they had been held up on their way.
func (c *caller) sendLate(ctx context.Context, target, action string, body any) {
	faults := c.instance.service.currentFaults()
	if !happens(faults.LateShare) {
		return
	}
	late := newCaller(c.instance)
	c.instance.service.running.Go(func() {
		defer late.client.CloseIdleConnections()
		if pause(context.WithoutCancel(ctx), rand.N(faults.MaxLateDelay)) {
			_, _ = late.post(context.WithoutCancel(ctx), target, action, body)
		}
	})
}

// HasLeft tells whether an instance has left for good.
func (i *Instance) HasLeft() bool {
	i.service.mutex.Lock()
	defer i.service.mutex.Unlock()
	return i.left
}

// StartSuccessor starts a replica with the address and the log of an instance that has left.
func (s *Service) StartSuccessor(gone *Instance, id string) (*Instance, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !gone.left {
		return nil, eris.Errorf("%s has not left", gone.id)
	}
	added := &Instance{
		service: s, id: id, address: gone.address, zone: gone.zone, beatNow: make(chan struct{}, 1),
		log: gone.log, term: gone.term, termHeld: gone.termHeld,
	}
	if err := added.begin(); err != nil {
		return nil, err
	}
	s.instances = append(s.instances, added)
	s.note("%s takes the place of %s", id, gone.id)
	return added, nil
}
