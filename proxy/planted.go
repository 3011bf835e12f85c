//go:build planted

package proxy

// This file is of the variant that trials build to see that what is wrong is found: it answers twice, resends, forgets a
// drain, or has a clock that is wrong. It is never part of the program that is deployed.

import (
	"os"
	"strconv"
	"strings"
)

var plant = os.Getenv("EIDERWAY_PLANT")

// plantedNow bends the clock that leases go by: "rate=1.05", "offset=3600".
var plantedNow = func() func(float64) float64 {
	rate, offset := 1.0, 0.0
	for _, part := range strings.Fields(os.Getenv("EIDERWAY_CLOCK")) {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "rate":
			rate, _ = strconv.ParseFloat(value, 64)
		case "offset":
			offset, _ = strconv.ParseFloat(value, 64)
		}
	}
	start := -1.0
	return func(now float64) float64 {
		if start < 0 {
			start = now
		}
		return start + (now-start)*rate + offset
	}
}()
