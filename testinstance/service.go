// Package testinstance is a stand-in for the database instances of a service and for the platform that promotes them,
// for tests and demonstrations: real sockets on loopback, logs in memory.
//
// Instances speak the instance side of the line protocol and send heartbeats to controllers. The log is replicated within
// the process, with a delay and with partitions that tests set. All instances of a service share one lock, so that what
// they did can be recorded in one order.
package testinstance

import (
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Settings control a service and its instances.
type Settings struct {
	Name            string
	SyncReplicas    int                            // 1: a commit is answered once a replica has received it
	Delay           time.Duration                  // replication delay from the primary to a replica
	StepDownDelay   time.Duration                  // how long an old primary stays one after it can reach the new one
	Slots           int                            // statements that an instance executes at a time
	MaxConnections  int                            // from all callers
	ConnectTime     time.Duration                  // for which a new connection holds a slot
	Work            time.Duration                  // for which a statement holds a slot
	ExtraWork       func(key string) time.Duration // beyond that for a statement on the key; nil: none
	CutBackTime     time.Duration                  // for which a replica is busy after its log was truncated
	WarmupTime      time.Duration                  // for which an instance reports after its start that it is warming up
	Renumber        bool                           // whether an instance numbers its calls anew after a restart
	BeatInterval    time.Duration                  // between heartbeats
	DrainTime       time.Duration                  // for which an instance serves after a drain or a leave is acknowledged
	Linger          time.Duration                  // for which it serves beyond the drain time
	BeatsAfterLeave bool                           // whether heartbeats go on after a leave without a drain
	Controllers     func() []string                // control addresses of the controllers
	Note            func(message string)           // called for each event, with the lock held; may be nil
	// CallerOf returns the process that sent a client's statement, if it knows it: the user of CONNECT is a tenant, and doesn't
	// name the process. It may be nil.
	CallerOf func(statementID string) (process string, known bool)
}

// DefaultSettings returns the settings of a small service with short delays.
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

// workOn returns for how long a statement on the key holds a slot.
func (s Settings) workOn(key string) time.Duration {
	if s.ExtraWork == nil || key == "" {
		return s.Work
	}
	return s.Work + s.ExtraWork(key)
}

// Service is a primary with its replicas.
type Service struct {
	settings Settings
	running  sync.WaitGroup

	mutex      sync.Mutex
	changed    chan struct{} // closed and replaced whenever something has changed
	instances  []*Instance
	leader     *Instance // the instance that was promoted last
	term       uint64
	stampCount uint64
	cuts       map[link]bool

	cutCallers     map[string]bool
	cutControllers map[string]bool
	faults         Faults

	journal Journal
}

// link is a pair of instances, ordered by ID.
type link struct{ first, second string }

func newLink(one, other string) link {
	return link{first: min(one, other), second: max(one, other)}
}

// NewService returns a service without instances. The first instance that is started is the primary of the first term.
func NewService(settings Settings) *Service {
	return &Service{
		settings:       settings,
		changed:        make(chan struct{}),
		cuts:           map[link]bool{},
		cutCallers:     map[string]bool{},
		cutControllers: map[string]bool{},
	}
}

// Start starts a new instance with an empty log.
func (s *Service) Start(id, address, zone string) (*Instance, error) {
	added := &Instance{service: s, id: id, address: address, zone: zone, beatRequests: make(chan struct{}, 1)}
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

// Leader returns the instance that was promoted last.
func (s *Service) Leader() *Instance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leader
}

// Cut interrupts the replication between two instances, or restores it.
func (s *Service) Cut(one, other *Instance, cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cuts[newLink(one.id, other.id)] = cut
	s.notifyChange()
}

// SetDelay changes the replication delay.
func (s *Service) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.settings.Delay = delay
	s.notifyChange()
}

// notifyChange wakes all goroutines that wait for a change. The lock is held.
func (s *Service) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) note(format string, arguments ...any) {
	if s.settings.Note != nil {
		s.settings.Note(fmt.Sprintf(format, arguments...))
	}
}

func (s *Service) areConnected(one, other *Instance) bool {
	isAwake := one.isRunning && other.isRunning && !one.isFrozen && !other.isFrozen
	return isAwake && !s.cuts[newLink(one.id, other.id)]
}

// errNotRunning reports that an instance can't be promoted since it isn't running.
var errNotRunning = eris.New("the instance is not running")

// find returns the running instance of this ID.
func (s *Service) find(id string) (*Instance, error) {
	for _, instance := range s.instances {
		if instance.id == id && instance.isRunning {
			return instance, nil
		}
	}
	return nil, errNotRunning
}

// accepts reports whether the instance is to be promoted, which is false if it leads already. It returns an error if the
// instance isn't running.
func (s *Service) accepts(id string) (due bool, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	instance, err := s.find(id)
	return err == nil && instance != s.leader, err
}

// promote makes an instance the primary of the next term, with the log that it has. The old primary isn't notified.
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
	target.requestBeat()
	s.notifyChange()
}
