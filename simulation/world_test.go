package simulation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/quorum"
	"eiderway/control/replication"
)

// TestOneSeedOneHistory plays days twice: nothing may depend on the order of a map or on anything else but the seed.
func TestOneSeedOneHistory(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		is := is.New(t)
		plan, err := Parse("generated", Generate(seed))
		is.NoErr(err)
		first := Play(plan, seed, realCore, true)
		second := Play(plan, seed, realCore, true)
		is.Equal(first.Events, second.Events)
		is.Equal(first.Story, second.Story)
	}
}

func TestParseRefuses(t *testing.T) {
	for _, line := range []string{
		"controllers", "controllers many", "weather fine", "at soon kill c1", "at 5s", "at 5s dance c1", "on ack 5",
		"service db", "service db three", "runs x..y", "runs", "expect", "conditions fog 5%", "on ack 5 +soon kill c1",
	} {
		_, err := Parse("test", line)
		if err == nil {
			t.Errorf("%q should be refused", line)
		}
	}
}

func TestScheduleKeepsOrder(t *testing.T) {
	is := is.New(t)
	var s schedule
	var ran []int
	s.at(2*time.Second, func() { ran = append(ran, 3) })
	s.at(time.Second, func() {
		ran = append(ran, 1)
		s.at(0, func() { ran = append(ran, 2) }) // a moment that has passed counts as now
	})
	s.at(2*time.Second, func() { ran = append(ran, 4) })
	s.at(5*time.Second, func() { ran = append(ran, 5) })
	s.run(3 * time.Second)
	is.Equal(ran, []int{1, 2, 3, 4})
	is.Equal(s.now, 3*time.Second)
}

// testDisk has a sync of 10 ms and notes what is told.
func testDisk(s *schedule) (d *disk, synced, refused *[]uint64) {
	synced, refused = &[]uint64{}, &[]uint64{}
	d = newDisk(s, rand.New(rand.NewPCG(1, 1)), 10*time.Millisecond)
	d.done = func(_ int, write uint64) { *synced = append(*synced, write) }
	d.failed = func(_ int, write uint64) { *refused = append(*refused, write) }
	return d, synced, refused
}

func testWrite(number uint64, key string) replication.Write {
	stamp := quorum.Stamp{Epoch: 1, Sequence: number}
	return replication.Write{Number: number, Mutations: []replication.Mutation{{Key: key, Value: []byte("v")}}, Stamp: &stamp}
}

func TestDiskLosesWhatIsNotSynced(t *testing.T) {
	is := is.New(t)
	var s schedule
	d, synced, _ := testDisk(&s)
	d.submit(1, testWrite(1, "a"))
	s.run(20 * time.Millisecond)
	d.submit(1, testWrite(2, "b"))
	d.drop(LosesAll)
	s.run(time.Second)
	is.Equal(*synced, []uint64{1})
	is.Equal(len(d.durable().Entries), 1)
	is.Equal(d.stamp.Sequence, uint64(1))
}

func TestDiskKeepsOnlyFirstOnes(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		var s schedule
		d, _, _ := testDisk(&s)
		d.random = rand.New(rand.NewPCG(seed, 1))
		for number := uint64(1); number <= 4; number++ {
			d.submit(1, testWrite(number, string(rune('a'+number))))
		}
		d.drop(LosesSome)
		is.Equal(len(d.entries), int(d.stamp.Sequence)) // none without those before it
	}
}

func TestDiskStallsAndRefuses(t *testing.T) {
	is := is.New(t)
	var s schedule
	d, synced, refused := testDisk(&s)
	d.submit(1, testWrite(1, "a"))
	d.stall()
	s.run(500 * time.Millisecond)
	is.Equal(len(*synced), 0)
	d.resume()
	s.run(600 * time.Millisecond)
	is.Equal(*synced, []uint64{1})
	d.full = true
	d.submit(1, testWrite(2, "b"))
	d.submit(1, testWrite(3, "c"))
	s.run(time.Second)
	is.Equal(*refused, []uint64{2})
	is.Equal(len(d.entries), 1)
}

func TestNetworkCutsOneDirection(t *testing.T) {
	is := is.New(t)
	var s schedule
	n := newNetwork(&s, rand.New(rand.NewPCG(1, 1)))
	arrived := map[string]int{}
	count := func(what string) func() { return func() { arrived[what]++ } }
	join := n.cut("a", "b")
	n.send("a", "b", count("there"))
	n.send("b", "a", count("back"))
	s.run(time.Second)
	is.Equal(arrived, map[string]int{"back": 1})
	n.reset("a", "b") // what was held up is lost
	join()
	n.send("a", "b", count("there"))
	s.run(2 * time.Second)
	is.Equal(arrived, map[string]int{"back": 1, "there": 1})
}

func TestRegisterModel(t *testing.T) {
	is := is.New(t)
	state := registerState("")
	order := func(number int64, content string, outcome registerOutcome) bool {
		fits, next := stepRegister(state, registerOperation{isOrder: true, number: number, content: content, outcome: outcome})
		state = next
		return fits
	}
	read := func(number int64, content string) bool {
		fits, _ := stepRegister(state, registerOperation{number: number, content: content, outcome: outcomeRead})
		return fits
	}
	is.True(read(0, ""))
	is.True(order(34, "a", outcomeTaken))
	is.True(order(30, "b", outcomeTaken)) // below: taken, and changes nothing
	is.True(read(34, "a"))
	is.True(!read(30, "b"))
	is.True(order(30, "c", outcomeConflict))
	is.True(!order(30, "c", outcomeTaken))
	is.True(!order(31, "c", outcomeConflict)) // refused though nobody took the number
	is.True(order(34, "a", outcomeTaken))     // again
}

// TestPlanDefaults: a day without figures of its own has the usual ones.
func TestPlanDefaults(t *testing.T) {
	is := is.New(t)
	plan, err := Parse("test", "controllers 5\nat 3s order 10 # a comment\non ack 10 +20ms kill c1\nexpect order 10 acknowledged")
	is.NoErr(err)
	is.Equal(plan.Seeds, []string{"c1", "c2", "c3"})
	is.Equal(plan.Services, []ServicePlan{{Name: "db", Instances: 3, Sync: 1}})
	is.Equal(plan.Items[1].On, "ack 10")
	is.Equal(plan.Items[1].At, 20*time.Millisecond)
	is.Equal(len(plan.Expectations), 1)
}
