package state

import (
	"eiderway/control/failover"
	"eiderway/control/feed"
)

// GiveUp records that an operator gave up the acknowledged commits that lost copies of a service may have held.
type GiveUp struct {
	Service   string
	By        string            // who requested it
	At        string            // when, by the clock of the controller that received the request
	Instances []string          // whose copies were given up: silent ones, then departed ones
	Floor     failover.Position // of the departed instances, before it was dropped
	Leader    feed.Leader       // recorded until then
	Count     uint64            // of give-ups of the service
}

// maxGivenUpInstances bounds the instances that a record lists.
const maxGivenUpInstances = 32

// GiveUpService records that the commits which lost copies of a service may have held are given up: departed instances, the floor
// and the recorded leader no longer prevent the choice of another leader. The given silent instances are marked as lost.
func (t *Transaction) GiveUpService(given GiveUp, silent []string) {
	before, _ := read[GiveUp](t, giveUpKey(given.Service))
	given.Count = before.Count + 1
	given.Floor = readFloor(t, given.Service)
	leader, _ := read[leaderRecord](t, leaderKey(given.Service))
	given.Leader = leader.Leader
	for _, id := range silent {
		t.markLost(id)
		given.Instances = append(given.Instances, id)
	}
	for _, departed := range UncoveredDepartures(t)[given.Service] {
		t.clearUncovered(departed.ID)
		given.Instances = append(given.Instances, departed.ID)
	}
	if len(given.Instances) > maxGivenUpInstances {
		given.Instances = given.Instances[:maxGivenUpInstances]
	}
	t.drop(floorKey(given.Service))
	t.drop(leaderKey(given.Service))
	t.drop(intentKey(given.Service))
	t.set(giveUpKey(given.Service), encode(given))
}

// markLost records a present instance as lost, with nothing that it may still hold.
func (t *Transaction) markLost(id string) {
	record, found := findRecord(t, id)
	if !found || record.Left {
		return
	}
	lost := record.Instance
	lost.Left, lost.Lost, lost.Uncovered = true, true, false
	t.PutInstance(lost)
}

// clearUncovered records that nothing a departed instance may hold matters any more.
func (t *Transaction) clearUncovered(id string) {
	record, found := findRecord(t, id)
	if !found {
		return
	}
	record.Uncovered = false
	t.set(record.key(), encode(record))
}

// GiveUps returns the last give-up of each service, sorted by service.
func GiveUps(reader Reader) []GiveUp { return readAll[GiveUp](reader, giveUpPrefix) }
