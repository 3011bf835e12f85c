package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"eiderway/control/configuration"
	"eiderway/control/failover"
	"eiderway/control/feed"
)

// directory is what the gateway works by: the newest table that it has taken over, the configuration in it, and the
// lease. It decides where a statement may go and whether an answer may still be passed on. It does no I/O and knows
// no clock: now is the steady time.
type directory struct {
	table      feed.Table
	digest     uint64 // of its services
	wantsWhole bool   // changes that came don't follow on the table held
	limits     configuration.Limits
	routes     map[string]configuration.Route // by database name
	services   map[string]*service
	most       map[string]int // connections that the configuration allows at an instance, by service
	lease      time.Duration  // the length of the newest one
	leaseUntil time.Duration
	lapses     uint64 // how often the lease had run out when it was renewed
	drains     *feed.DrainDeadlines

	access      accessTable
	heardAt     time.Duration // when the question was sent whose answer came last
	keysTrusted time.Duration // how long after it keys may be taken for good; 0: for as long as nothing else is heard
}

// service is one service of the table.
type service struct {
	feed.Service
	maxConnections int
	address        string        // of the leader; "" if it isn't among the instances
	leading        feed.Instance // with an address
}

// placement is where a statement goes, and under what right.
type placement struct {
	route   configuration.Route
	leader  feed.Leader
	address string
	lapses  uint64            // of the lease when it was checked last
	replica feed.Instance     // with an id: the statement goes to this replica instead of the leader
	after   failover.Position // at a replica: what its log must hold
	key     accessKey         // of the client
	tenant  string            // for whom it runs; "": nobody's

	maxConnections int
}

// atReplica tells whether the placement is a replica, for a read that may be some time old.
func (p placement) atReplica() bool { return p.replica.ID != "" }

// instanceID is that of the instance where the statement goes.
func (p placement) instanceID() string {
	if p.atReplica() {
		return p.replica.ID
	}
	return p.leader.InstanceID
}

// refusal says why there is no placement.
type refusal string

const (
	placed          refusal = ""
	noDatabase      refusal = "no such database"
	unknownKey      refusal = "the key is not known"
	noConfiguration refusal = "no configuration yet"
	noLease         refusal = "no lease"
	frozen          refusal = "the service is changing its leader"
	noLeader        refusal = "the service has no known leader"
	leaderGoes      refusal = "the leader goes, and nobody follows it yet"
)

var (
	errOlderTable    = eris.New("a table older than the one held")
	errMissing       = eris.New("a table without a configuration that isn't held")
	errConfiguration = eris.New("a configuration that can't be read")
)

// news is what a table changed, for what must be ended and for the log.
type news struct {
	table      bool     // there is a newer table
	moved      []string // services whose leader changed, or that are gone
	froze      []string // services that are frozen now and were not
	thawed     []string // services that were frozen
	draining   []string // services whose leader drains and did not
	vacant     []string // services whose leader is gone and wasn't, so that nothing can be sent
	configured bool     // there is a newer configuration
	tenants    []configuration.Tenant
}

func newDirectory() *directory {
	return &directory{
		routes:   map[string]configuration.Route{},
		services: map[string]*service{},
		drains:   feed.NewDrainDeadlines(),
	}
}

// applied is the version that the controllers are told: what they send is what has changed since.
func (d *directory) applied() feed.Version {
	if d.wantsWhole {
		return feed.Version{}
	}
	return d.table.Version
}

// take takes over an answer to a question that was sent at sentAt. After an error nothing has changed.
func (d *directory) take(now, sentAt time.Duration, answer feed.WatchAnswer) (news, error) {
	var changes news
	if answer.Table != nil {
		taken, err := d.takeTable(*answer.Table)
		if err != nil {
			return news{}, err
		}
		changes = taken
	}
	d.heardAt = max(d.heardAt, sentAt)
	d.drains.Take(sentAt, answer.Drains)
	d.renew(now, sentAt, answer.Lease)
	return changes, nil
}

// renew takes over a lease. The controller counts a lease from its own answer at the latest, so time that passed
// between the end of the old one and now isn't covered, even if the new one reaches back there.
func (d *directory) renew(now, sentAt, lease time.Duration) {
	d.lease = lease
	until := sentAt + lease
	if lease <= 0 || until <= d.leaseUntil {
		return
	}
	if !d.leased(now) {
		d.lapses++
	}
	d.leaseUntil = until
}

// leased tells whether the lease holds.
func (d *directory) leased(now time.Duration) bool { return now < d.leaseUntil }

func (d *directory) takeTable(table feed.Table) (news, error) {
	if table.Version.Less(d.table.Version) {
		return news{}, errOlderTable
	}
	if table.Version == d.table.Version {
		return news{}, nil
	}
	table, err := table.On(d.table)
	if err != nil {
		d.wantsWhole = true
		return news{}, err
	}
	changes := news{table: true}
	contents, err := d.newerContents(table)
	if err != nil {
		return news{}, err
	}
	if contents != nil {
		changes.configured = true
		changes.tenants = contents.Tenants
		d.limits = contents.Limits
		d.routes = routesByDatabase(contents.Routes)
		d.access = newAccessTable(contents)
		d.most = connectionsByService(contents.Services)
	} else {
		table.ConfigurationNumber = d.table.ConfigurationNumber
		table.Configuration = d.table.Configuration
	}
	services := d.readServices(table)
	changes.compare(d.services, services)
	d.table = table
	d.digest = feed.DigestOf(table.Services)
	d.wantsWhole = false
	d.services = services
	return changes, nil
}

// newerContents reads the table's configuration if it is newer than the one held; nil if it isn't. A lower number is
// never taken over: a process doesn't go back within its life.
func (d *directory) newerContents(table feed.Table) (*configuration.Contents, error) {
	if table.ConfigurationNumber <= d.table.ConfigurationNumber {
		return nil, nil
	}
	if table.Configuration == nil {
		return nil, errMissing
	}
	order, err := configuration.Parse(table.Configuration)
	if err != nil {
		return nil, eris.Wrap(errConfiguration, err.Error())
	}
	return &order.Contents, nil
}

// routesByDatabase gives each database name its route. Of several, which differ in their prefix, the one with the
// shortest prefix takes it: a database name has no path.
func routesByDatabase(routes []configuration.Route) map[string]configuration.Route {
	byDatabase := make(map[string]configuration.Route, len(routes))
	for _, route := range routes {
		present, taken := byDatabase[route.Host]
		if !taken || comesBefore(route.PathPrefix, present.PathPrefix) {
			byDatabase[route.Host] = route
		}
	}
	return byDatabase
}

func comesBefore(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return strings.Compare(a, b) < 0
}

func (d *directory) readServices(table feed.Table) map[string]*service {
	services := make(map[string]*service, len(table.Services))
	for _, described := range table.Services {
		entry := &service{Service: described, maxConnections: d.most[described.Name]}
		for _, instance := range described.Instances {
			if instance.ID == described.Leader.InstanceID {
				entry.address = instance.Address
				entry.leading = instance
			}
		}
		services[described.Name] = entry
	}
	return services
}

func connectionsByService(services []configuration.Service) map[string]int {
	most := make(map[string]int, len(services))
	for _, configured := range services {
		most[configured.Name] = configured.MaxConnections
	}
	return most
}

func (n *news) compare(before, after map[string]*service) {
	for name, old := range before {
		present := after[name]
		if present == nil || !sameLeader(old.Leader, present.Leader) {
			n.moved = append(n.moved, name)
		}
		if present != nil && old.Frozen && !present.Frozen {
			n.thawed = append(n.thawed, name)
		}
		if present != nil && old.address != "" && present.address == "" {
			n.vacant = append(n.vacant, name)
		}
	}
	for name, present := range after {
		old := before[name]
		if present.Frozen && (old == nil || !old.Frozen) {
			n.froze = append(n.froze, name)
		}
		if present.leading.Draining && (old == nil || !old.leading.Draining) {
			n.draining = append(n.draining, name)
		}
	}
	for _, names := range [][]string{n.moved, n.froze, n.thawed, n.draining, n.vacant} {
		slices.Sort(names)
	}
}

// ofServices tells whether a service has changed in a way that is worth a line in the log.
func (n *news) ofServices() bool {
	return len(n.moved)+len(n.froze)+len(n.thawed)+len(n.draining)+len(n.vacant) > 0
}

// sameLeader tells whether the leadership is the same. A term that wasn't known before doesn't change it.
func sameLeader(a, b feed.Leader) bool {
	return a.InstanceID == b.InstanceID && (a.Term == b.Term || a.Term == 0)
}

// configured tells whether there is a configuration to work by.
func (d *directory) configured() bool { return d.table.ConfigurationNumber > 0 }

// lacks tells whether it is known that there is no such database.
func (d *directory) lacks(now time.Duration, database string) bool {
	_, known := d.routes[database]
	return !known && d.configured() && d.leased(now)
}

// placeFor says where a first statement of a client goes. A key that isn't known is refused before anything else is waited for.
func (d *directory) placeFor(now time.Duration, database string, key accessKey) (placement, refusal) {
	found, why := d.place(now, database)
	if d.rejects(now, database, key) {
		return found, unknownKey
	}
	found.key = key
	found.tenant, _ = d.access.admit(found.route, key)
	return found, why
}

// place says where a first statement on the database goes.
func (d *directory) place(now time.Duration, database string) (placement, refusal) {
	route, known := d.routes[database]
	switch {
	case !d.configured():
		return placement{}, noConfiguration
	case !d.leased(now):
		return placement{route: route}, noLease
	case !known:
		return placement{}, noDatabase
	}
	target := d.services[route.TargetService]
	switch {
	case target == nil || target.Leader.InstanceID == "" || target.address == "":
		return placement{route: route}, noLeader
	case target.Frozen:
		return placement{route: route}, frozen
	case !d.drains.MayBegin(now, target.leading):
		return placement{route: route}, leaderGoes
	}
	return placement{
		route:          route,
		leader:         target.Leader,
		address:        target.address,
		lapses:         d.lapses,
		maxConnections: target.maxConnections,
	}, placed
}

// placeRead says at which replicas a read that may be some time old can run: those of the table that don't drain. It needs the lease, under which
// no drain is missed for long; but neither a leader nor one that isn't frozen.
func (d *directory) placeRead(now time.Duration, database string) (placement, []feed.Instance) {
	route, known := d.routes[database]
	if !known || !d.configured() || !d.leased(now) || !mayRunOld(route) {
		return placement{}, nil
	}
	target := d.services[route.TargetService]
	if target == nil {
		return placement{}, nil
	}
	var replicas []feed.Instance
	for _, instance := range target.Instances {
		if instance.ID != target.Leader.InstanceID && !instance.Draining {
			replicas = append(replicas, instance)
		}
	}
	return placement{route: route, lapses: d.lapses, maxConnections: target.maxConnections}, replicas
}

// mayRunOld tells whether reads of the route may run on data that is some time old.
func mayRunOld(route configuration.Route) bool {
	old := route.Class == configuration.BoundedStale || route.Class == configuration.SelfManaged
	return old && route.MaxStalenessMs > 0
}

// isPresent tells whether the replica of a placement is there by the table held, at the same address.
func (d *directory) isPresent(placed placement) bool {
	target := d.services[placed.route.TargetService]
	if target == nil {
		return false
	}
	return slices.ContainsFunc(target.Instances, func(instance feed.Instance) bool {
		return instance.ID == placed.replica.ID && instance.Address == placed.replica.Address
	})
}

// mayBeginAt tells whether a read may be begun at the replica of a placement now: the last check before the bytes leave.
func (d *directory) mayBeginAt(now time.Duration, placed placement) bool {
	target := d.services[placed.route.TargetService]
	if target == nil || !d.leased(now) {
		return false
	}
	return slices.ContainsFunc(target.Instances, func(instance feed.Instance) bool {
		return instance.ID == placed.replica.ID && instance.Address == placed.replica.Address && !instance.Draining
	})
}

// mayBegin tells whether a first statement may be sent now under a placement made before: the last check before the
// bytes leave.
func (d *directory) mayBegin(now time.Duration, placed placement) bool {
	if !d.stillRouted(placed) {
		return false
	}
	if placed.atReplica() {
		return d.mayBeginAt(now, placed)
	}
	target := d.services[placed.route.TargetService]
	return d.leads(placed) && !target.Frozen && d.leased(now) && d.mayUse(now, target)
}

// mayOpen tells whether the first read or write of a transaction that has begun may be sent now: what the transaction does is
// begun with it.
func (d *directory) mayOpen(now time.Duration, placed placement) bool {
	if placed.atReplica() {
		return d.mayBeginAt(now, placed)
	}
	return d.leads(placed) && d.mayUse(now, d.services[placed.route.TargetService])
}

// mayUse tells whether the leader of a service is there, and hasn't drained for too long.
func (d *directory) mayUse(now time.Duration, target *service) bool {
	return target.address != "" && d.drains.MayBegin(now, target.leading)
}

// begunLate is by how much a statement that was sent under the placement at the time given is too late for an instance that drains.
func (d *directory) begunLate(sentAt time.Duration, placed placement) time.Duration {
	if placed.atReplica() {
		return d.drains.Passed(sentAt, d.instanceOf(placed))
	}
	if !d.leads(placed) {
		return 0
	}
	return d.drains.Passed(sentAt, d.services[placed.route.TargetService].leading)
}

// mayCommit tells whether a COMMIT may be sent now. While the service is frozen its open transactions may end: the
// freeze isn't acknowledged before they have.
func (d *directory) mayCommit(now time.Duration, placed placement) bool {
	if placed.atReplica() {
		return d.isPresent(placed) // it has read, and keeps nothing
	}
	return d.leads(placed) && d.leased(now)
}

// leads tells whether the instance of the placement leads its service by the table held.
func (d *directory) leads(placed placement) bool {
	target := d.services[placed.route.TargetService]
	return target != nil && sameLeader(placed.leader, target.Leader)
}

// goesOn tells whether a transaction that has begun may go on where it is.
func (d *directory) goesOn(placed placement) bool {
	if placed.atReplica() {
		return d.isPresent(placed)
	}
	return d.leads(placed)
}

// instanceOf is the replica of a placement as the table has it now, or as it was.
func (d *directory) instanceOf(placed placement) feed.Instance {
	if target := d.services[placed.route.TargetService]; target != nil {
		for _, instance := range target.Instances {
			if instance.ID == placed.replica.ID {
				return instance
			}
		}
	}
	return placed.replica
}

// conflicts tells whether what is under way at the instance of the placement must end before the table held is
// acknowledged: the service is frozen, or something else leads it.
func (d *directory) conflicts(placed placement) bool {
	if placed.atReplica() {
		return !d.isPresent(placed)
	}
	target := d.services[placed.route.TargetService]
	return !d.leads(placed) || target.Frozen
}

// lasted tells whether the right to use the leader has lasted without a break since the placement was checked: the
// lease still holds, had not run out meanwhile, and the leader is the same. The service may have been frozen since:
// nothing is promoted before this gateway acknowledges the freeze, and it does that when nothing is under way there.
func (d *directory) lasted(now time.Duration, placed placement) bool {
	if placed.atReplica() {
		return true // what it read is proven by the instance, whoever leads
	}
	return d.leads(placed) && d.leased(now) && d.lapses == placed.lapses
}

// checked is the placement as of now: its right is counted from here on.
func (d *directory) checked(placed placement) placement {
	placed.lapses = d.lapses
	return placed
}
