package state_test

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eiderway/control/configuration"
	"eiderway/control/failover"
	"eiderway/control/feed"
	"eiderway/control/state"
	"eiderway/control/state/statetest"
)

func instance(id, service string) state.Instance {
	return state.Instance{
		Instance: feed.Instance{ID: id, Service: service, Address: id + ":1", Zone: "z", Slots: 7, Draining: true},
		CallSeq:  9,
	}
}

func left(id, service string) state.Instance {
	gone := instance(id, service)
	gone.Left = true
	return gone
}

func TestRecordsAreReadBackAsWritten(t *testing.T) {
	is := is.New(t)
	transaction := state.NewTransaction(statetest.NewMemory())
	transaction.PutInstance(instance("i2", "s"))
	transaction.PutInstance(left("i1", "s"))
	is.Equal(state.Instances(transaction), []state.Instance{left("i1", "s"), instance("i2", "s")})
	found, known := state.InstanceByID(transaction, "i2")
	is.True(known)
	is.Equal(found, instance("i2", "s"))
	_, known = state.InstanceByID(transaction, "i")
	is.True(!known) // the prefix of an id is not an id

	leader := feed.Leader{InstanceID: "i2", Term: 4}
	transaction.SetLeader("s", leader)
	is.Equal(state.Leaders(transaction), map[string]feed.Leader{"s": leader})

	intent := failover.Intent{Service: "s", InstanceID: "i2", Term: 5, Fence: 6, Previous: leader}
	transaction.SetIntent(intent)
	is.Equal(state.Intents(transaction), []failover.Intent{intent})
	transaction.ClearIntent("s")
	is.Equal(len(state.Intents(transaction)), 0)

	transaction.RemoveInstance("i1")
	transaction.RemoveInstance("i2")
	is.Equal(len(state.Instances(transaction)), 0)
	is.Equal(len(transaction.Mutations()), 1) // the leader alone: records that were added and removed leave no change
}

func TestServices(t *testing.T) {
	is := is.New(t)
	transaction := state.NewTransaction(statetest.NewMemory())
	transaction.PlaceOrder(configuration.Document{Number: 1, Contents: configuration.Contents{
		Services: []configuration.Service{{Name: "b", SyncReplicas: 1}, {Name: "a"}},
	}})
	leader := feed.Leader{InstanceID: "i1", Term: 4}
	transaction.SetLeader("b", leader)
	transaction.SetLeader("gone", leader)
	transaction.PutInstance(instance("i2", "b"))
	transaction.PutInstance(instance("i1", "b"))
	transaction.PutInstance(instance("i3", "c"))
	transaction.PutInstance(left("i4", "d"))
	intent := failover.Intent{Service: "e", InstanceID: "i9"}
	transaction.SetIntent(intent)
	is.Equal(state.Services(transaction), []failover.ServiceView{
		{Name: "a"},
		{Name: "b", SyncReplicas: 1, Leader: leader, Instances: []feed.Instance{instance("i1", "b").Instance, instance("i2", "b").Instance}},
		{Name: "c", Instances: []feed.Instance{instance("i3", "c").Instance}},
		{Name: "e", Intent: &intent},
	})
}

// put records an instance in a transaction of its own.
func put(memory *statetest.Memory, instance state.Instance) {
	transaction := state.NewTransaction(memory)
	transaction.PutInstance(instance)
	memory.Commit(transaction)
}

func TestDeparturesAreBoundedOldestFirst(t *testing.T) {
	is := is.New(t)
	memory := statetest.NewMemory()
	put(memory, instance("here", "s"))
	for index := range state.MaxDepartures {
		put(memory, left(fmt.Sprintf("i%04d", state.MaxDepartures-index), "s")) // the first to depart sorts last
	}
	oldest, second := fmt.Sprintf("i%04d", state.MaxDepartures), fmt.Sprintf("i%04d", state.MaxDepartures-1)
	put(memory, left(oldest, "other")) // a changed record is not a new departure
	is.Equal(len(state.Instances(memory)), state.MaxDepartures+1)

	put(memory, inNextLife(instance(second, "s"))) // returns
	put(memory, left("last", "s"))                 // departs in its place
	put(memory, left("more", "s"))
	for id, kept := range map[string]bool{oldest: false, second: true, "here": true, "last": true, "more": true} {
		_, known := state.InstanceByID(memory, id)
		is.Equal(known, kept)
	}
	is.Equal(len(memory.Entries("departure/")), state.MaxDepartures)
	is.NoErr(state.Verify(memory))
}

// inNextLife returns the instance after a restart that follows its drain or leave.
func inNextLife(instance state.Instance) state.Instance {
	instance.Life++
	return instance
}

// A drain or a leave that may have been acknowledged must not be revoked within the life of the instance. The attempt is refused and
// reported as a violation.
func TestDrainOrLeaveIsFinalWithinALife(t *testing.T) {
	draining := instance("i", "s")
	ready := instance("i", "s")
	ready.Draining = false
	lost := left("i", "s")
	lost.Draining = false
	lost.Lost = true
	displaced := left("i", "s")
	displaced.Draining = false
	displaced.Displaced = true
	drainedAndLost := lost
	drainedAndLost.Draining = true
	leaving := draining
	leaving.Farewell = true
	leavingAndLost := drainedAndLost
	leavingAndLost.Farewell = true
	for name, one := range map[string]struct {
		before, next state.Instance
		refused      bool
	}{
		"a drain":                          {draining, ready, true},
		"a leave":                          {left("i", "s"), ready, true},
		"a leave, replaced by a drain":     {left("i", "s"), draining, true},
		"a leave, replaced by a loss":      {left("i", "s"), lost, true},
		"a drain before a loss":            {drainedAndLost, ready, true},
		"a leave before a loss":            {leavingAndLost, ready, true},
		"an announced leave":               {leaving, draining, true},
		"a loss after an announced leave":  {leaving, leavingAndLost, false},
		"a drain in an earlier life":       {draining, inNextLife(ready), false},
		"a leave in an earlier life":       {left("i", "s"), inNextLife(ready), false},
		"a continued drain":                {draining, draining, false},
		"a leave after a drain":            {draining, left("i", "s"), false},
		"a loss":                           {lost, ready, false},
		"a drain before a loss, continued": {drainedAndLost, draining, false},
		"another instance at its address":  {displaced, ready, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory := statetest.NewMemory()
			put(memory, one.before)
			transaction := state.NewTransaction(memory)
			transaction.PutInstance(one.next)
			is.Equal(len(transaction.Violations()) > 0, one.refused)
			kept, _ := state.InstanceByID(transaction, "i")
			if one.refused {
				is.Equal(kept, one.before)
			} else {
				is.Equal(kept, one.next)
			}
		})
	}
}

// compressed returns a text compressed as the pieces of a configuration are.
func compressed(text string) string {
	var packed bytes.Buffer
	writer, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = writer.Write([]byte(text))
	_ = writer.Close()
	return packed.String()
}

func TestVerifyReportsCorruptEntriesThatReadersSkip(t *testing.T) {
	for _, corrupt := range []struct {
		key   string
		value string
	}{
		{"instance/i1", ""},
		{"instance/i1", "\x01{"},
		{"instance/i1", "\x02{}"},
		{"instance/i1", "\x01{\"ID\":\"i2\"}"},
		{"instance/i1", "\x01{\"ID\":\"i1\",\"Left\":true}"},
		{"departed/i1", "\x01{\"ID\":\"i1\"}"},
		{"departed/i1", "\x01{\"ID\":\"i1\",\"Left\":true,\"Departure\":1}"}, // a departure that is not recorded
		{"departed/here", "\x01{\"ID\":\"here\",\"Left\":true}"},
		{"instance/unnamed", "\x01{\"ID\":\"unnamed\",\"Address\":\"a:1\"}"}, // missing in the address index
		{"address/here:1", "\x01{}"},
		{"address/here:1", "\x01{\"Address\":\"here:1\"}"},
		{"address/here:1", "\x01{\"Address\":\"here:1\",\"InstanceIDs\":[\"other\"]}"},
		{"address/here:1", "\x01{\"Address\":\"here:1\",\"InstanceIDs\":[\"here\",\"here\"]}"},
		{"address/a:1", "\x01{\"Address\":\"a:1\",\"InstanceIDs\":[\"here\"]}"},
		{"leader/s", "\x01[]"},
		{"intent/s", "garbage"},
		{"departure/00000000000000000001", "\x01{}"},
		{"order/0000000000000000001", "\x01{}"},
		{"configuration/head", "\x01{}"},
		{"configuration/head", "x"},
		{"configuration/head", "\x01{\"Number\":1,\"Size\":-1}"},
		{"configuration/head", "\x01{\"Number\":1,\"Size\":9000000000000000}"},
		{"configuration/body/000000", "shorter"},
		{"configuration/body/000000", compressed("shorter")},
		{"configuration/body/000000", compressed("a body") + "x"},
		{"configuration/body/000000", compressed("a body")[:5]},
		{"configuration/body/000000", compressed(strings.Repeat("a", 64<<20))},
		{"configuration/body/000001", compressed("x")},
	} {
		t.Run(fmt.Sprintf("%s=%q", corrupt.key, corrupt.value), func(t *testing.T) {
			is := is.New(t)
			memory := statetest.NewMemory()
			place(memory, orderOf(1, "a body"))
			put(memory, instance("here", "s"))
			is.NoErr(state.Verify(memory))
			memory.Put(corrupt.key, []byte(corrupt.value))
			var corruption *state.Corruption
			is.True(errors.As(state.Verify(memory), &corruption))
			state.Services(memory) // none of the readers may panic
			state.Leaders(memory)
			state.Configuration(memory)
			state.Instances(memory)
			state.InstancesAt(memory, "here:1")
			place(memory, orderOf(2, "b"))
		})
	}
}

// An instance is recorded either as present or as departed, and Instances returns both kinds sorted by id.
func TestDepartedInstancesAreStoredSeparately(t *testing.T) {
	is := is.New(t)
	memory := statetest.NewMemory()
	for _, id := range []string{"i1", "i2", "i3"} {
		put(memory, instance(id, "s"))
	}
	put(memory, left("i2", "s"))
	is.Equal(state.PresentInstances(memory), []state.Instance{instance("i1", "s"), instance("i3", "s")})
	is.Equal(state.Instances(memory), []state.Instance{instance("i1", "s"), left("i2", "s"), instance("i3", "s")})

	transaction := state.NewTransaction(memory)
	transaction.PutInstance(inNextLife(instance("i2", "s")))
	is.True(transaction.InstanceChanged("i2"))
	is.True(!transaction.InstanceChanged("i1"))
	transaction.PutInstance(left("i1", "s"))
	is.True(transaction.InstanceChanged("i1"))
	is.Equal(state.PresentInstances(transaction), []state.Instance{inNextLife(instance("i2", "s")), instance("i3", "s")})
	memory.Commit(transaction)
	is.True(state.HasInstance(memory, "i1"))
	is.True(!state.HasInstance(memory, "i4"))
	is.NoErr(state.Verify(memory))
}

// A later primary must know which departed instances are not covered, and up to which position the covered ones may hold commits.
func TestCoveredDeparturesRaiseTheFloor(t *testing.T) {
	is := is.New(t)
	memory := statetest.NewMemory()
	put(memory, instance("here", "s"))
	for _, id := range []string{"a", "b", "c"} {
		gone := left(id, "s")
		gone.Uncovered = id != "c"
		put(memory, gone)
	}
	uncovered := func() []string {
		var ids []string
		for _, departed := range state.UncoveredDepartures(memory)["s"] {
			ids = append(ids, departed.ID)
		}
		return ids
	}
	is.Equal(uncovered(), []string{"b", "a"}) // the newest first
	for _, covered := range []failover.CoveredDeparture{
		{Service: "s", InstanceID: "a", Position: failover.Position{Term: 2, Number: 9}},
		{Service: "s", InstanceID: "b", Position: failover.Position{Term: 2, Number: 7}},
		{Service: "s", InstanceID: "here", Position: failover.Position{Term: 5, Number: 1}},
		{Service: "s", InstanceID: "c", Position: failover.Position{Term: 5, Number: 1}},
		{Service: "s", InstanceID: "never", Position: failover.Position{Term: 5, Number: 1}},
	} {
		transaction := state.NewTransaction(memory)
		transaction.CoverDeparture(covered)
		memory.Commit(transaction)
	}
	is.Equal(len(uncovered()), 0)
	is.Equal(state.Services(memory)[0].Floor, failover.Position{Term: 2, Number: 9}) // the highest
	is.NoErr(state.Verify(memory))
}
