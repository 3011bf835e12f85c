package state

import (
	"eiderway/control/failover"
	"eiderway/control/feed"
)

// GiveUp is the record of what an operator has given up: the commits that the last copies of a service may have held.
type GiveUp struct {
	Service   string
	By        string            // who asked for it
	At        string            // when, by the clock of the controller that was asked
	Instances []string          // whose copies were given up, sorted
	Floor     failover.Position // that the departed ones had covered
	Leader    feed.Leader       // as recorded until then
	Count     uint64            // of the service: how often something was given up
}

// mostGivenUpInstances bounds what a record names.
const mostGivenUpInstances = 32

// GiveUpService records that what the lost copies of a service may have held is given up: no departed instance, no floor and no recorded
// leader stands against the choice of another one any more. The silent instances named are taken for lost.
func (t *Transaction) GiveUpService(given GiveUp, silent []string) {
	before, _ := read[GiveUp](t, giveUpKey(given.Service))
	given.Count = before.Count + 1
	given.Floor = floorOf(t, given.Service)
	leader, _ := read[leaderRecord](t, leaderKey(given.Service))
	given.Leader = leader.Leader
	for _, id := range silent {
		t.loseForGood(id)
		given.Instances = append(given.Instances, id)
	}
	for _, departed := range UncoveredDepartures(t)[given.Service] {
		t.forgetWhatItHeld(departed.ID)
		given.Instances = append(given.Instances, departed.ID)
	}
	if len(given.Instances) > mostGivenUpInstances {
		given.Instances = given.Instances[:mostGivenUpInstances]
	}
	t.drop(floorKey(given.Service))
	t.drop(leaderKey(given.Service))
	t.drop(intentKey(given.Service))
	t.set(giveUpKey(given.Service), encode(given))
}

func (t *Transaction) loseForGood(id string) {
	record, found := recordOf(t, id)
	if !found || record.Left {
		return
	}
	lost := record.Instance
	lost.Left, lost.Lost, lost.Uncovered = true, true, false
	t.PutInstance(lost)
}

func (t *Transaction) forgetWhatItHeld(id string) {
	record, found := recordOf(t, id)
	if !found {
		return
	}
	record.Uncovered = false
	t.set(record.key(), encode(record))
}

// GiveUps returns what was given up last of each service, sorted by service.
func GiveUps(reader Reader) []GiveUp { return readAll[GiveUp](reader, giveUpPrefix) }
