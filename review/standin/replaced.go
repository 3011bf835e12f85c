package main

import (
	"fmt"
	"time"

	"eiderway/testinstance"
)

// replacedReplica replaces one replica in order (it drains, leaves and ends, and a new one starts at its address), while the other replica
// receives nothing for a while and the primary crashes meanwhile. The new replica has an empty log: the leaving one took its log along.
func replacedReplica(d *deployment) ([]string, error) {
	if err := d.start(nil, testinstance.PlatformSettings{FenceChecked: true, PromoteTime: promoteTime}); err != nil {
		return nil, err
	}
	primary, leaving, other := d.instances[0], d.instances[1], d.instances[2]
	d.record.note("planned: %s is replaced", leaving.ID())
	leaving.Drain()
	time.Sleep(5 * time.Second)
	deafSince := time.Now()
	if d.trouble {
		d.record.note("disruption: %s receives nothing", other.ID())
		d.service.Cut(primary, other, true)
	}
	if !await(patience, leaving.HasLeft) {
		return nil, fmt.Errorf("%w: %s has not left", errSetup, leaving.ID())
	}
	leftAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	if d.trouble && time.Since(deafSince) > deafTime {
		return nil, fmt.Errorf("%w: the replica left too late", errSetup)
	}
	if d.trouble {
		d.record.note("disruption: the primary %s crashes", primary.ID())
		primary.Crash()
	}
	crashedAt := time.Now()
	time.Sleep(time.Until(leftAt.Add(addressReuse)))
	d.record.note("planned: db-d starts at the address of %s", leaving.ID())
	if _, err := d.startInstance("db-d", 1); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(deafSince.Add(deafTime)))
	if d.trouble {
		d.record.note("%s may receive again", other.ID())
		d.service.Cut(primary, other, false)
	}
	time.Sleep(time.Until(crashedAt.Add(crashTime)))
	if d.trouble {
		if err := primary.Restart(); err != nil {
			return nil, err
		}
	}
	before := d.history.Acknowledged()
	if !await(patience, func() bool { return d.history.Acknowledged() > before+clientCount }) {
		d.record.note("no writes are acknowledged at the end")
	}
	return d.lostCommits(), nil
}
