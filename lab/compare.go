package lab

// This file owns what may be concluded: medians, and differences paired by seed with an interval. It must never call a
// difference one that chance explains.

import (
	"math"
	"math/rand"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Difference of a way from the first one, in a figure: over the pairs that both have.
type Difference struct {
	Pairs     int     `json:"pairs"`
	Mean      float64 `json:"mean"`
	Low, High float64 // the interval that holds the mean in 95 of 100 draws
	Told      bool    `json:"told"` // 0 is not in it, and there are pairs enough to tell
}

const (
	draws      = 4000
	interval   = 0.95
	leastPairs = 4 // fewer differ all in one way by chance in over one case of ten
)

// median is NaN of nothing.
func median(all []float64) float64 {
	if len(all) == 0 {
		return math.NaN()
	}
	s := slices.Clone(all)
	slices.Sort(s)
	if n := len(s); n%2 == 0 {
		return (s[n/2-1] + s[n/2]) / 2
	}
	return s[len(s)/2]
}

// differ compares pairs. The draws come from a seed of their own: the same runs give the same interval.
func differ(base, other []float64) Difference {
	d := Difference{Pairs: len(base)}
	if d.Pairs == 0 {
		return d
	}
	all := make([]float64, d.Pairs)
	for i := range all {
		all[i] = other[i] - base[i]
	}
	d.Mean = stat.Mean(all, nil)
	rng, means := rand.New(rand.NewSource(1)), make([]float64, draws)
	for k := range means {
		for range all {
			means[k] += all[rng.Intn(len(all))] / float64(len(all))
		}
	}
	slices.Sort(means)
	d.Low = stat.Quantile((1-interval)/2, stat.Empirical, means, nil)
	d.High = stat.Quantile((1+interval)/2, stat.Empirical, means, nil)
	d.Told = d.Pairs >= leastPairs && (d.Low > 0 || d.High < 0)
	return d
}
