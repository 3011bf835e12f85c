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

func TestRecordsComeBackAsTheyWerePut(t *testing.T) {
	is := is.New(t)
	transaction := state.NewTransaction(statetest.NewMemory())
	transaction.PutInstance(instance("i2", "s"))
	transaction.PutInstance(left("i1", "s"))
	is.Equal(state.Instances(transaction), []state.Instance{left("i1", "s"), instance("i2", "s")})
	found, known := state.InstanceByID(transaction, "i2")
	is.True(known)
	is.Equal(found, instance("i2", "s"))
	_, known = state.InstanceByID(transaction, "i")
	is.True(!known) // the start of an id is no id

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
	is.Equal(len(transaction.Mutations()), 1) // the leader alone: what came and went leaves nothing
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
		put(memory, left(fmt.Sprintf("i%04d", state.MaxDepartures-index), "s")) // the first to leave sorts last
	}
	oldest, second := fmt.Sprintf("i%04d", state.MaxDepartures), fmt.Sprintf("i%04d", state.MaxDepartures-1)
	put(memory, left(oldest, "other")) // a change of the record is no new departure
	is.Equal(len(state.Instances(memory)), state.MaxDepartures+1)

	put(memory, inNextLife(instance(second, "s"))) // came back
	put(memory, left("last", "s"))                 // takes its place
	put(memory, left("more", "s"))
	for id, kept := range map[string]bool{oldest: false, second: true, "here": true, "last": true, "more": true} {
		_, known := state.InstanceByID(memory, id)
		is.Equal(known, kept)
	}
	is.Equal(len(memory.Entries("departure/")), state.MaxDepartures)
	is.NoErr(state.Verify(memory))
}

// inNextLife is an instance that was started anew since it said that it goes.
func inNextLife(instance state.Instance) state.Instance {
	instance.Life++
	return instance
}

// An end that may have been acknowledged is not taken back within a life, whoever asks for it, and it is told.
func TestAnEndIsFinalInItsLife(t *testing.T) {
	drains := instance("i", "s")
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
	servesOn := drains
	servesOn.Farewell = true
	farewellAndLost := drainedAndLost
	farewellAndLost.Farewell = true
	for name, one := range map[string]struct {
		before, next state.Instance
		refused      bool
	}{
		"a drain":                         {drains, ready, true},
		"a leave":                         {left("i", "s"), ready, true},
		"a leave, for a drain":            {left("i", "s"), drains, true},
		"a leave, for silence":            {left("i", "s"), lost, true},
		"a drain before a silence":        {drainedAndLost, ready, true},
		"a leave before a silence":        {farewellAndLost, ready, true},
		"a leave before it has ended":     {servesOn, drains, true},
		"a leave, and then it has ended":  {servesOn, farewellAndLost, false},
		"a drain in another life":         {drains, inNextLife(ready), false},
		"a leave in another life":         {left("i", "s"), inNextLife(ready), false},
		"a drain goes on":                 {drains, drains, false},
		"a leave after a drain":           {drains, left("i", "s"), false},
		"a silence":                       {lost, ready, false},
		"a drain before a silence, still": {drainedAndLost, drains, false},
		"another at its address":          {displaced, ready, false},
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

// compressed is a text as the pieces of a configuration are stored.
func compressed(text string) string {
	var packed bytes.Buffer
	packer, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = packer.Write([]byte(text))
	_ = packer.Close()
	return packed.String()
}

func TestVerifyFindsWhatReadersSkip(t *testing.T) {
	for _, lie := range []struct {
		key   string
		value string
	}{
		{"instance/i1", ""},
		{"instance/i1", "\x01{"},
		{"instance/i1", "\x02{}"},
		{"instance/i1", "\x01{\"ID\":\"i2\"}"},
		{"instance/i1", "\x01{\"ID\":\"i1\",\"Left\":true}"},
		{"departed/i1", "\x01{\"ID\":\"i1\"}"},
		{"departed/i1", "\x01{\"ID\":\"i1\",\"Left\":true,\"Departure\":1}"}, // a departure that isn't recorded
		{"departed/here", "\x01{\"ID\":\"here\",\"Left\":true}"},
		{"instance/unnamed", "\x01{\"ID\":\"unnamed\",\"Address\":\"a:1\"}"}, // not in the index
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
		t.Run(fmt.Sprintf("%s=%q", lie.key, lie.value), func(t *testing.T) {
			is := is.New(t)
			memory := statetest.NewMemory()
			place(memory, orderOf(1, "a body"))
			put(memory, instance("here", "s"))
			is.NoErr(state.Verify(memory))
			memory.Put(lie.key, []byte(lie.value))
			var corruption *state.Corruption
			is.True(errors.As(state.Verify(memory), &corruption))
			state.Services(memory) // must not panic, as all readers
			state.Leaders(memory)
			state.Configuration(memory)
			state.Instances(memory)
			state.InstancesAt(memory, "here:1")
			place(memory, orderOf(2, "b"))
		})
	}
}

// An instance stands either with those that are here or with those that left, and readers of all see both in order.
func TestInstancesThatLeftStandApart(t *testing.T) {
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

// What instances that departed may hold is known to a later primary: who is not covered, and how far the covered ones reach.
func TestDeparturesAreCovered(t *testing.T) {
	is := is.New(t)
	memory := statetest.NewMemory()
	put(memory, instance("here", "s"))
	for _, id := range []string{"a", "b", "c"} {
		gone := left(id, "s")
		gone.Uncovered = id != "c"
		put(memory, gone)
	}
	of := func() []string {
		var ids []string
		for _, departed := range state.UncoveredDepartures(memory)["s"] {
			ids = append(ids, departed.ID)
		}
		return ids
	}
	is.Equal(of(), []string{"b", "a"}) // the newest first
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
	is.Equal(len(of()), 0)
	is.Equal(state.Services(memory)[0].Floor, failover.Position{Term: 2, Number: 9}) // the furthest
	is.NoErr(state.Verify(memory))
}
