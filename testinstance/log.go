package testinstance

import (
	"time"

	"eiderway/control/failover"
)

// Write is one key that a commit changes, and its new data.
type Write struct{ Key, Data string }

// Entry is one commit in a log.
type Entry struct {
	Position failover.Position
	ID       string // of the client's statement that committed
	Instance string // the primary that committed it
	Writes   []Write
	At       time.Time // when it was committed
}

// Log holds an instance's commits, oldest first. Logs share memory, but no entry is ever overwritten: a log that is taken from another one, or
// cut back, is clipped, so that only one log is ever appended to in the memory that it shares.
type Log []Entry

// clipped returns the log without the memory behind its end, so that appending to it makes a copy.
func (l Log) clipped() Log { return l[:len(l):len(l)] }

// End returns the position of the last entry.
func (l Log) End() failover.Position {
	if len(l) == 0 {
		return failover.Position{}
	}
	return l[len(l)-1].Position
}

// Holds reports whether the entry of this position is in the log.
func (l Log) Holds(position failover.Position) bool {
	number := int(position.Number)
	return number >= 1 && number <= len(l) && l[number-1].Position == position
}

// reaches reports whether the log ends at this position or later.
func (l Log) reaches(position failover.Position) bool { return !l.End().Less(position) }

// read returns the newest data of a key.
func (l Log) read(key string) (data string, found bool) {
	for at := len(l) - 1; at >= 0; at-- {
		for _, write := range l[at].Writes {
			if write.Key == key {
				return write.Data, true
			}
		}
	}
	return "", false
}

// commonLength returns the length of the common prefix of two logs.
func (l Log) commonLength(other Log) int {
	shared := min(len(l), len(other))
	for shared > 0 && l[shared-1].Position != other[shared-1].Position {
		shared--
	}
	return shared
}
