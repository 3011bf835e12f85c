// Package testinstance is a stand-in for the database instances of a service and for the platform that promotes them,
// for tests and demonstrations: real sockets on loopback, logs in memory.
//
// Instances speak the instance side of the line protocol and send heartbeats to controllers. The log goes from the primary
// to its replicas within the process, with a delay and cuts that can be set. All instances of a service share one lock,
// so that what they did can be written down in one order.
package testinstance

import (
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Settings are those of a service and of its instances.
type Settings struct {
	Name            string
	SyncReplicas    int                  // 1: a commit is answered once a replica has received it
	Delay           time.Duration        // from the primary to a replica
	StepDownDelay   time.Duration        // how long an old primary goes on once it can reach the new one
	Slots           int                  // statements at a time
	MaxConnections  int                  // from all callers
	ConnectTime     time.Duration        // for which a new connection holds a slot
	Work            time.Duration        // for which a statement holds a slot
	CutBackTime     time.Duration        // for which a replica that was cut back is busy
	BeatInterval    time.Duration        // between heartbeats
	DrainTime       time.Duration        // served on after the acknowledgement of a drain or of a leave
	Linger          time.Duration        // served beyond the drain time
	BeatsAfterLeave bool                 // heartbeats go on after a leave that no drain came before
	Controllers     func() []string      // control addresses, as the operator's list has them
	Note            func(message string) // told what happens, with the lock held; may be nil
	// CallerOf names the process that a client's statement comes through, since callers name themselves after tenants; it may know nothing,
	// and may be nil.
	CallerOf func(statementID string) (process string, known bool)
}

// DefaultSettings are those of a small, quick service.
func DefaultSettings(name string, controllers func() []string) Settings {
	return Settings{
		Name:           name,
		SyncReplicas:   1,
		Delay:          2 * time.Millisecond,
		StepDownDelay:  time.Second,
		Slots:          16,
		MaxConnections: 100,
		ConnectTime:    2 * time.Millisecond,
		Work:           time.Millisecond,
		CutBackTime:    100 * time.Millisecond,
		BeatInterval:   300 * time.Millisecond,
		DrainTime:      time.Second,
		Linger:         200 * time.Millisecond,
		Controllers:    controllers,
	}
}

// Service is a primary with its replicas.
type Service struct {
	settings Settings
	running  sync.WaitGroup

	mutex     sync.Mutex
	changed   chan struct{} // closed and replaced whenever something has changed
	instances []*Instance
	leader    *Instance // that was promoted last
	term      uint64
	stamps    uint64
	cuts      map[link]bool

	cutCallers  map[string]bool
	cutControls map[string]bool
	faults      Faults

	journal Journal
}

// link is a pair of instances, in the order of their ids.
type link struct{ first, second string }

func linkOf(one, other string) link {
	return link{first: min(one, other), second: max(one, other)}
}

// NewService makes a service without instances. The first one that is started leads its first term.
func NewService(settings Settings) *Service {
	return &Service{
		settings:    settings,
		changed:     make(chan struct{}),
		cuts:        map[link]bool{},
		cutCallers:  map[string]bool{},
		cutControls: map[string]bool{},
	}
}

// Start starts an instance with an empty log.
func (s *Service) Start(id, address, zone string) (*Instance, error) {
	added := &Instance{service: s, id: id, address: address, zone: zone, beatNow: make(chan struct{}, 1)}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leader == nil {
		s.term = 1
		s.leader = added
		added.primary = true
		s.journal.Promotions = append(s.journal.Promotions, Promotion{Instance: id, Term: s.term, At: time.Now()})
	}
	added.term = s.term
	added.termHeld = s.term
	if err := added.begin(); err != nil {
		return nil, err
	}
	s.instances = append(s.instances, added)
	return added, nil
}

// Stop ends all instances and waits for them.
func (s *Service) Stop() {
	s.mutex.Lock()
	for _, instance := range s.instances {
		instance.end()
	}
	s.mutex.Unlock()
	s.running.Wait()
}

// Leader is the instance that was promoted last.
func (s *Service) Leader() *Instance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leader
}

// Cut cuts the replication between two instances, or joins them again.
func (s *Service) Cut(one, other *Instance, cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cuts[linkOf(one.id, other.id)] = cut
	s.announce()
}

// SetDelay changes how long a commit takes to a replica.
func (s *Service) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.settings.Delay = delay
	s.announce()
}

// announce wakes all who wait for a change.
func (s *Service) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) note(format string, arguments ...any) {
	if s.settings.Note != nil {
		s.settings.Note(fmt.Sprintf(format, arguments...))
	}
}

func (s *Service) reaches(one, other *Instance) bool {
	isAwake := one.isRunning && other.isRunning && !one.isFrozen && !other.isFrozen
	return isAwake && !s.cuts[linkOf(one.id, other.id)]
}

// errNotRunning says that an instance isn't there to be promoted.
var errNotRunning = eris.New("the instance is not running")

// find returns a running instance.
func (s *Service) find(id string) (*Instance, error) {
	for _, instance := range s.instances {
		if instance.id == id && instance.isRunning {
			return instance, nil
		}
	}
	return nil, errNotRunning
}

// accepts tells whether a promote of this instance is due: not if it isn't running, and not if it leads already.
func (s *Service) accepts(id string) (due bool, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	instance, err := s.find(id)
	return err == nil && instance != s.leader, err
}

// promote lets an instance lead the next term with the log that it has. The old primary isn't told.
func (s *Service) promote(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	target, err := s.find(id)
	if err != nil || target == s.leader {
		return
	}
	s.term = max(s.term+1, target.termHeld)
	s.leader = target
	target.primary = true
	target.paused = false
	target.term = s.term
	target.termHeld = max(target.termHeld, s.term)
	s.journal.Promotions = append(s.journal.Promotions, Promotion{Instance: id, Term: s.term, At: time.Now(), Log: target.log})
	s.note("%s leads %s in term %d", id, s.settings.Name, s.term)
	target.beatSoon()
	s.announce()
}
