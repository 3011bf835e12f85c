package state

import (
	"cmp"
	"maps"
	"slices"

	"eiderway/control/failover"
	"eiderway/control/feed"
)

// leaderRecord is the leader of a service as it is stored.
type leaderRecord struct {
	Service string
	Leader  feed.Leader
}

// SetLeader records who leads a service. A term has one leader: if another instance leads the recorded term, it is the recorded leader under
// a new id, and has all that the leader held under the earlier one.
func (t *Transaction) SetLeader(service string, leader feed.Leader) {
	previous, found := read[leaderRecord](t, leaderKey(service))
	if found && leader.Term != 0 && previous.Leader.Term == leader.Term && previous.Leader.InstanceID != leader.InstanceID {
		t.clearUncovered(previous.Leader.InstanceID)
	}
	t.set(leaderKey(service), encode(leaderRecord{Service: service, Leader: leader}))
}

// floorRecord is the highest position up to which departed instances of a service may hold acknowledged commits.
type floorRecord struct {
	Service  string
	Position failover.Position
}

// CoverDeparture records the highest position up to which a departed instance may hold acknowledged commits.
func (t *Transaction) CoverDeparture(covered failover.CoveredDeparture) {
	record, found := findRecord(t, covered.InstanceID)
	if !found || !record.Left || !record.Uncovered {
		return // it is back, covered already, or its record was evicted
	}
	record.Uncovered = false
	t.set(record.key(), encode(record))
	if floor := readFloor(t, covered.Service); floor.Less(covered.Position) {
		t.set(floorKey(covered.Service), encode(floorRecord{Service: covered.Service, Position: covered.Position}))
	}
}

func readFloor(reader Reader, service string) failover.Position {
	record, _ := read[floorRecord](reader, floorKey(service))
	return record.Position
}

// UncoveredDepartures returns, by service, the departed instances that may hold acknowledged commits which no known position
// bounds: the newest ones if there are many. It reads the records of all departed instances.
func UncoveredDepartures(reader Reader) map[string][]feed.Instance {
	records := readAll[instanceRecord](reader, departedPrefix)
	slices.SortFunc(records, func(a, b instanceRecord) int { return cmp.Compare(b.Departure, a.Departure) })
	departed := make(map[string][]feed.Instance)
	for _, record := range records {
		if record.Uncovered && len(departed[record.Service]) < maxUncoveredDepartures {
			departed[record.Service] = append(departed[record.Service], record.Instance.Instance)
		}
	}
	return departed
}

// maxUncoveredDepartures bounds the departures that a new primary is told about, for each service.
const maxUncoveredDepartures = 16

// SetIntent records a failover that may be in progress, and replaces an earlier one of the service.
func (t *Transaction) SetIntent(intent failover.Intent) {
	t.set(intentKey(intent.Service), encode(intent))
}

// ClearIntent drops the record of a failover of the service, if there is one.
func (t *Transaction) ClearIntent(service string) { t.drop(intentKey(service)) }

// Leaders returns the recorded leaders by service.
func Leaders(reader Reader) map[string]feed.Leader {
	leaders := make(map[string]feed.Leader)
	for _, record := range readAll[leaderRecord](reader, leaderPrefix) {
		leaders[record.Service] = record.Leader
	}
	return leaders
}

// Intents returns the failovers that may be in progress, sorted by service.
func Intents(reader Reader) []failover.Intent {
	return readAll[failover.Intent](reader, intentPrefix)
}

// ServiceReader reads services repeatedly, and decodes only the records of instances that have changed since the last time.
type ServiceReader struct{ decoded map[string]decodedInstance }

// decodedInstance is a record with the bytes that it was decoded from. Entries are never modified in place, so the same memory
// means the same record.
type decodedInstance struct {
	from     []byte
	instance Instance
}

// NewServiceReader returns a reader with an empty cache.
func NewServiceReader() *ServiceReader { return &ServiceReader{decoded: map[string]decodedInstance{}} }

// present returns the instances that have not departed, sorted by id.
func (r *ServiceReader) present(reader Reader) []Instance {
	entries := reader.Entries(instancePrefix)
	next := make(map[string]decodedInstance, len(entries))
	instances := make([]Instance, 0, len(entries))
	for _, entry := range entries {
		known, found := r.decoded[entry.Key]
		if !found || !sameBytes(known.from, entry.Value) {
			var record instanceRecord
			if decode(entry.Value, &record) != nil {
				continue
			}
			known = decodedInstance{from: entry.Value, instance: record.Instance}
		}
		next[entry.Key] = known
		instances = append(instances, known.instance)
	}
	r.decoded = next
	return instances
}

// sameBytes reports whether two slices share the same memory.
func sameBytes(a, b []byte) bool { return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] }

// Services returns each service that the configuration, a present instance, or a failover that may be in progress names,
// sorted by name.
func Services(reader Reader) []failover.ServiceView { return NewServiceReader().Services(reader) }

// Services does the same as the function Services.
func (r *ServiceReader) Services(reader Reader) []failover.ServiceView {
	views := make(serviceViews)
	head, _ := read[configurationHead](reader, configurationKey)
	for _, service := range head.Services {
		views.of(service.Name).SyncReplicas = service.SyncReplicas
	}
	for _, instance := range r.present(reader) {
		view := views.of(instance.Service)
		view.Instances = append(view.Instances, instance.Instance)
	}
	for _, intent := range Intents(reader) {
		views.of(intent.Service).Intent = &intent
	}
	for service, leader := range Leaders(reader) {
		if view, found := views[service]; found {
			view.Leader = leader
		}
	}
	for _, given := range GiveUps(reader) {
		if view, found := views[given.Service]; found {
			view.GiveUpCount = given.Count
		}
	}
	for _, floor := range readAll[floorRecord](reader, floorPrefix) {
		if view, found := views[floor.Service]; found {
			view.Floor = floor.Position
		}
	}
	return views.sorted()
}

// serviceViews collects the views of services by name.
type serviceViews map[string]*failover.ServiceView

// of returns the view of a service, which it adds if there is none.
func (v serviceViews) of(service string) *failover.ServiceView {
	view, found := v[service]
	if !found {
		view = &failover.ServiceView{Name: service}
		v[service] = view
	}
	return view
}

func (v serviceViews) sorted() []failover.ServiceView {
	sorted := make([]failover.ServiceView, 0, len(v))
	for _, name := range slices.Sorted(maps.Keys(v)) {
		sorted = append(sorted, *v[name])
	}
	return sorted
}
