package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStandstillIsNotTakenForASilentController: a question that ends at its limit had no answer; one that ends far later
// was asked by a process that was stopped meanwhile, and the same controller is asked again.
func TestStandstillIsNotTakenForASilentController(t *testing.T) {
	is := is.New(t)
	allowed := watchWait + watchSlack
	is.True(!processStoodStill(allowed, allowed))
	is.True(!processStoodStill(allowed+100*time.Millisecond, allowed))
	is.True(processStoodStill(allowed+4*time.Second, allowed))
}
