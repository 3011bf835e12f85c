package shape

import "math"

// This file owns the two sketches: how often a hash was seen of late, and what a shape's submissions took. Both have
// a fixed size. They must never grow, nor do work in one step that depends on their size.

// sketch counts uses of hashes, too many rather than too few, and halves as it goes.
type sketch struct {
	counters [sketchRows][]uint8
	mask     uint64
	sweep    int // the counter of each row that halves next
	step     float64
	owed     float64
}

// newSketch makes one with a number of counters a row, all of which are halved once while as many uses as age come.
func newSketch(counters, age int) sketch {
	n := 1
	for n < counters {
		n *= 2
	}
	s := sketch{mask: uint64(n - 1), step: float64(n) / float64(max(1, age))}
	for i := range s.counters {
		s.counters[i] = make([]uint8, n)
	}
	return s
}

func (s *sketch) at(row int, h uint64) *uint8 {
	return &s.counters[row][(h*(2*uint64(row)+0x9e3779b97f4a7c15)>>20+h>>uint(8*row))&s.mask]
}

func (s *sketch) add(h uint64) {
	least := s.count(h)
	for row := range s.counters {
		if c := s.at(row, h); int(*c) == least && *c < math.MaxUint8 {
			*c++
		}
	}
	for s.owed += s.step; s.owed >= 1; s.owed-- {
		for row := range s.counters {
			s.counters[row][s.sweep] /= 2
		}
		s.sweep = (s.sweep + 1) & int(s.mask)
	}
}

func (s *sketch) count(h uint64) int {
	least := math.MaxUint8
	for row := range s.counters {
		least = min(least, int(*s.at(row, h)))
	}
	return least
}

const (
	bins     = 32
	binLeast = 0.0005 // s, the end of the first bin
	binRatio = 1.4    // ends of bins grow by this: the last one holds what took longer than 12 s
)

// quantiles is a histogram of times with a fixed number of bins. Old ones fade.
type quantiles struct {
	bins  [bins]uint16
	total int
}

var binEnds = func() (e [bins]float64) {
	for i := range e {
		e[i] = binLeast * math.Pow(binRatio, float64(i))
	}
	return e
}()

func (q *quantiles) add(seconds float64) {
	i := 0
	for i < bins-1 && seconds > binEnds[i] {
		i++
	}
	q.bins[i]++
	if q.total++; q.total >= horizon {
		q.total = 0
		for i := range q.bins {
			q.bins[i] /= 2
			q.total += int(q.bins[i])
		}
	}
}

// at gives a quantile in s, within a bin by its middle; 0 while nothing is known.
func (q *quantiles) at(share float64) float64 {
	if q.total == 0 {
		return 0
	}
	rank, sum := share*float64(q.total), 0.0
	for i, n := range q.bins {
		if sum += float64(n); sum >= rank && n > 0 {
			return binEnds[i] / math.Sqrt(binRatio)
		}
	}
	return binEnds[bins-1]
}
