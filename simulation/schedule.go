package simulation

import "time"

// schedule is the queue of what is going to happen. Events of the same moment run in the order in which they were
// entered, so that one seed gives one history.
type schedule struct {
	now      time.Duration
	sequence uint64
	events   []event
}

type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// at enters an action for a moment; moments that have passed count as now.
func (s *schedule) at(moment time.Duration, action func()) {
	if moment < s.now {
		moment = s.now
	}
	s.sequence++
	s.events = append(s.events, event{at: moment, sequence: s.sequence, action: action})
	s.up(len(s.events) - 1)
}

// after enters an action that is due when the delay is over.
func (s *schedule) after(delay time.Duration, action func()) {
	s.at(s.now+delay, action)
}

// run lets time pass until the given moment.
func (s *schedule) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := s.events[0]
		s.pop()
		s.now = next.at
		next.action()
	}
	s.now = until
}

func (s *schedule) pop() {
	last := len(s.events) - 1
	s.events[0] = s.events[last]
	s.events[last] = event{}
	s.events = s.events[:last]
	s.down(0)
}

func (s *schedule) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !s.events[index].before(s.events[parent]) {
			return
		}
		s.events[index], s.events[parent] = s.events[parent], s.events[index]
		index = parent
	}
}

func (s *schedule) down(index int) {
	for {
		smallest := index
		for child := 2*index + 1; child <= 2*index+2 && child < len(s.events); child++ {
			if s.events[child].before(s.events[smallest]) {
				smallest = child
			}
		}
		if smallest == index {
			return
		}
		s.events[index], s.events[smallest] = s.events[smallest], s.events[index]
		index = smallest
	}
}
