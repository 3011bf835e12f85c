package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"eiderway/control/access"
	"eiderway/control/configuration"
	"eiderway/control/feed"
)

// directory is what the gateway works by: the newest table that it has taken over, the configuration in it, and the
// lease. It decides where a statement may go and whether an answer may still be passed on. It does no I/O and knows
// no clock: now is the steady time.
type directory struct {
	table          feed.Table
	servicesDigest uint64 // of its services
	needsFullTable bool   // changes that came don't follow on the table held
	limits         configuration.Limits
	routes         map[string]configuration.Route // by database name
	services       map[string]*service
	maxConnections map[string]int // connections that the configuration allows at an instance, by service
	leaseLength    time.Duration  // the length of the newest one
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
	leaderInstance feed.Instance // with an address
}

var (
	errOlderTable           = eris.New("a table older than the one held")
	errNoConfiguration      = eris.New("a table without a configuration that isn't held")
	errInvalidConfiguration = eris.New("a configuration that can't be read")
)

func newDirectory() *directory {
	return &directory{
		routes:   map[string]configuration.Route{},
		services: map[string]*service{},
		drains:   feed.NewDrainDeadlines(),
	}
}

// applied is the version that the controllers are told: what they send is what has changed since.
func (d *directory) applied() feed.Version {
	if d.needsFullTable {
		return feed.Version{}
	}
	return d.table.Version
}

// take takes over an answer to a question that was sent at sentAt. After an error nothing has changed.
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
	d.drains.Take(sentAt, answer.Drains)
	d.renewLease(now, sentAt, answer.Lease)
	return changes, nil
}

// renew takes over a lease. The controller counts a lease from its own answer at the latest, so time that passed
// between the end of the old one and now isn't covered, even if the new one reaches back there.
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

// leased tells whether the lease holds.
func (d *directory) hasLease(now time.Duration) bool { return now < d.leaseUntil }
