package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A watch that ends at its limit had no answer. One that ends far later was sent by a process that was stopped
// meanwhile, so the same controller is asked again.
func TestStandstillIsNotTreatedAsSilentController(t *testing.T) {
	is := is.New(t)
	allowed := watchWait + watchSlack
	is.True(!processStoodStill(allowed, allowed))
	is.True(!processStoodStill(allowed+100*time.Millisecond, allowed))
	is.True(processStoodStill(allowed+4*time.Second, allowed))
}
