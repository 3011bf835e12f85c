package testinstance

import "time"

// takeSlot takes one of the instance's slots, and returns false if none is free.
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
	if c.instanceCtx.Err() == nil { // after a crash the count starts from zero
		c.instance.busy--
	}
}

// work waits for as long as the instance would work.
func (c *connection) work(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-timer.C:
	}
}
