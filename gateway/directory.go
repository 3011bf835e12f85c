package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"eiderway/control/access"
	"eiderway/control/configuration"
	"eiderway/control/feed"
)

// directory holds the state that placements depend on: the newest table that the gateway has applied, the configuration
// in it, and the lease. It decides where a statement may go and whether an answer may still be passed on. It does no
// I/O and has no clock: now is the monotonic time since the start.
type directory struct {
	table          feed.Table
	servicesDigest uint64 // digest of the table's services
	needsFullTable bool   // the last changes received don't follow on the current table
	limits         configuration.Limits
	routes         map[string]configuration.Route // by database name
	services       map[string]*service
	maxConnections map[string]int // per instance by the configuration, by service
	leaseLength    time.Duration  // of the newest lease
	leaseUntil     time.Duration
	leaseLapses    uint64 // how often the lease had run out when it was renewed
	drains         *feed.DrainDeadlines

	access access.Table
	keys   access.Trust
}

// service is one service of the table.
type service struct {
	feed.Service
	maxConnections int
	address        string        // of the leader; "" if it isn't among the instances
	leaderInstance feed.Instance // the zero value if it isn't among the instances
}

var (
	errOlderTable           = eris.New("the table is older than the current one")
	errNoConfiguration      = eris.New("the table lacks its configuration, which is newer than the current one")
	errInvalidConfiguration = eris.New("the configuration in the table is invalid")
)

func newDirectory() *directory {
	return &directory{
		routes:   map[string]configuration.Route{},
		services: map[string]*service{},
		drains:   feed.NewDrainDeadlines(),
	}
}

// applied returns the version that the gateway reports to the controllers, which send what has changed since. The zero
// version asks for the full table.
func (d *directory) applied() feed.Version {
	if d.needsFullTable {
		return feed.Version{}
	}
	return d.table.Version
}

// apply takes over the answer to a request that was sent at sentAt. If it returns an error, nothing has changed except
// perhaps that a full table is needed.
func (d *directory) apply(now, sentAt time.Duration, answer feed.WatchAnswer) (tableChanges, error) {
	var changes tableChanges
	if answer.Table != nil {
		taken, err := d.applyTable(*answer.Table)
		if err != nil {
			return tableChanges{}, err
		}
		changes = taken
	}
	d.keys.HeardAt = max(d.keys.HeardAt, sentAt)
	d.drains.Update(sentAt, answer.Drains)
	d.renewLease(now, sentAt, answer.Lease)
	return changes, nil
}

// renewLease takes over a lease. The controller counts a lease from its own answer at the latest, so the time between
// the end of the old lease and now isn't covered, even if the new one reaches back there.
func (d *directory) renewLease(now, sentAt, lease time.Duration) {
	d.leaseLength = lease
	until := sentAt + lease
	if lease <= 0 || until <= d.leaseUntil {
		return
	}
	if !d.hasLease(now) {
		d.leaseLapses++
	}
	d.leaseUntil = until
}

// hasLease reports whether the lease holds.
func (d *directory) hasLease(now time.Duration) bool { return now < d.leaseUntil }
