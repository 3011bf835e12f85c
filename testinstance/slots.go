package testinstance

import "time"

// takeSlot takes one of the instance's slots, and tells whether there was one.
func (c *connection) takeSlot() bool {
	c.instance.service.mutex.Lock()
	defer c.instance.service.mutex.Unlock()
	isBusy := c.instance.busy >= c.instance.service.settings.Slots || time.Now().Before(c.instance.busyUntil)
	if isBusy || c.ctx.Err() != nil {
		return false
	}
	c.instance.busy++
	return true
}

func (c *connection) freeSlot() {
	c.instance.service.mutex.Lock()
	defer c.instance.service.mutex.Unlock()
	if c.life.Err() == nil { // after a crash the count begins anew
		c.instance.busy--
	}
}

// work passes the time that the instance takes.
func (c *connection) work(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-timer.C:
	}
}
