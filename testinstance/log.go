package testinstance

import (
	"time"

	"eiderway/control/failover"
)

// Write is one thing that a commit changes.
type Write struct{ Key, Data string }

// Entry is one commit in a log.
type Entry struct {
	Position failover.Position
	ID       string // of the client's statement that committed
	Instance string // that wrote it first
	Writes   []Write
	At       time.Time // when it was written first
}

// Log is what an instance holds, oldest first. Entries are added or cut back by making another slice: a log that was
// handed out never changes.
type Log []Entry

// End is the position of the last entry.
func (l Log) End() failover.Position {
	if len(l) == 0 {
		return failover.Position{}
	}
	return l[len(l)-1].Position
}

// Holds tells whether the entry at this position is in the log.
func (l Log) Holds(position failover.Position) bool {
	number := int(position.Number)
	return number >= 1 && number <= len(l) && l[number-1].Position == position
}

// reaches tells whether the log is at this position or beyond it.
func (l Log) reaches(position failover.Position) bool { return !l.End().Less(position) }

// read returns the data of a thing.
func (l Log) read(thing string) (data string, found bool) {
	for at := len(l) - 1; at >= 0; at-- {
		for _, write := range l[at].Writes {
			if write.Key == thing {
				return write.Data, true
			}
		}
	}
	return "", false
}

// common is how many entries two logs share from their start.
func (l Log) common(other Log) int {
	shared := min(len(l), len(other))
	for shared > 0 && l[shared-1].Position != other[shared-1].Position {
		shared--
	}
	return shared
}
