//go:build planted

package lease

// This file is of the variant that trials build: a guard is taken out of the running program.

import "os"

func init() {
	switch os.Getenv("EIDERWAY_PLANT") {
	case "acts without a lease":
		allGuards.lapse, allGuards.hold = false, false
	case "obeys anybody":
		allGuards.fence, allGuards.check = false, false
	case "speaks at once":
		allGuards.silent = false
	case "grants to many":
		allGuards.wait = false
	}
}
