package lease

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFollow plays 60 routers that follow one: nobody is without a way to the list, and calls are spread.
func TestFollow(t *testing.T) {
	const routers, pace = 60, 20.0
	var fetches, alone []float64
	for i := range int64(routers) {
		f := NewFollow(FollowTerms{Seed: i, Quiet: 3, Pace: pace, Routers: routers})
		do, _ := f.Next(0)
		require.Equal(t, Watch, do, "nothing heard yet")
		f.Got(7)
		f.Heard(7, 10)
		do, at := f.Next(10)
		require.Equal(t, Wait, do)
		require.GreaterOrEqual(t, at, 13.0)
		f.Heard(9, 11)
		do, at = f.Next(11)
		require.Equal(t, Wait, do, "not all at once")
		fetches = append(fetches, at)
		do, _ = f.Next(at)
		require.Equal(t, Fetch, do)
		f.Got(9)
		f.Heard(9, 11.5)
		do, at = f.Next(at)
		require.Equal(t, Wait, do)
		alone = append(alone, at)
		do, _ = f.Next(at)
		require.Equal(t, Watch, do, "no word for long: it asks for itself")
		f.Holds(true)
		do, _ = f.Next(12)
		require.Equal(t, Watch, do, "who holds the watch watches")
	}
	for _, times := range [][]float64{fetches, alone} {
		slices.Sort(times)
		require.Greater(t, times[routers-1]-times[0], routers/pace/2)
		for i := 0; i+10 < routers; i++ {
			require.Greater(t, times[i+10]-times[i], 0.05, "ten calls within 50 ms")
		}
	}
	// What a restarted discovery says counts, though its revisions are lower.
	f := NewFollow(FollowTerms{Quiet: 3, Pace: pace, Routers: 1})
	f.Heard(900, 1)
	f.Got(4)
	do, _ := f.Next(1.1)
	require.Equal(t, Wait, do, "what was told is forgotten, for the list itself says less")
}
