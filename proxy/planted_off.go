//go:build !planted

package proxy

// plant names a fault that trials plant in a variant of the program; in the program itself there is none.
const plant = ""

func plantedNow(now float64) float64 { return now }
