package state_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"eiderway/control/configuration"
	"eiderway/control/feed"
	"eiderway/control/replication"
	"eiderway/control/state"
	"eiderway/control/state/statetest"
)

// orderOf returns an order with a digest of its content, as Parse would.
func orderOf(number int64, content string) configuration.Document {
	digest := fmt.Sprintf("%x", sha256.Sum256([]byte(content)))
	return configuration.Document{Number: number, Digest: digest, Body: []byte(content)}
}

// place applies an order in a transaction of its own.
func place(memory *statetest.Memory, order configuration.Document) state.OrderOutcome {
	transaction := state.NewTransaction(memory)
	outcome := transaction.PlaceOrder(order)
	memory.Commit(transaction)
	return outcome
}

func TestOrderOutcomes(t *testing.T) {
	is := is.New(t)
	memory := statetest.NewMemory()
	for _, step := range []struct {
		number  int64
		content string
		outcome state.OrderOutcome
		inForce int64
	}{
		{30, "a", state.InForce, 30},
		{30, "a", state.Repeated, 30},
		{30, "b", state.Conflict, 30},
		{34, "c", state.InForce, 34},
		{30, "a", state.Repeated, 34}, // even after a higher number
		{31, "d", state.Superseded, 34},
		{31, "d", state.Repeated, 34},
		{31, "c", state.Conflict, 34}, // the content in force under another number is still different content
		{34, "d", state.Conflict, 34},
		{35, "c", state.InForce, 35},
	} {
		is.Equal(place(memory, orderOf(step.number, step.content)), step.outcome)
		number, _, found := state.Configuration(memory)
		is.True(found)
		is.Equal(number, step.inForce)
		is.NoErr(state.Verify(memory))
	}
}

func TestRefusedAndRepeatedOrdersChangeNothing(t *testing.T) {
	is := is.New(t)
	memory := statetest.NewMemory()
	place(memory, orderOf(5, "a"))
	transaction := state.NewTransaction(memory)
	is.Equal(transaction.PlaceOrder(orderOf(5, "a")), state.Repeated)
	is.Equal(transaction.PlaceOrder(orderOf(5, "b")), state.Conflict)
	is.Equal(len(transaction.Mutations()), 0)
}

func TestOrdersOfOneBatchSeeEachOther(t *testing.T) {
	is := is.New(t)
	transaction := state.NewTransaction(statetest.NewMemory())
	is.Equal(transaction.PlaceOrder(orderOf(5, "a")), state.InForce)
	is.Equal(transaction.PlaceOrder(orderOf(5, "b")), state.Conflict)
	is.Equal(transaction.PlaceOrder(orderOf(4, "b")), state.Superseded)
	number, body, found := state.Configuration(transaction)
	is.True(found)
	is.Equal(number, int64(5))
	is.Equal(string(body), "a")
}

func TestTakenNumbersAreBounded(t *testing.T) {
	is := is.New(t)
	memory := statetest.NewMemory()
	for number := range int64(state.MaxOrders + 10) {
		place(memory, orderOf(number+1, "a"))
	}
	is.Equal(len(memory.Entries("order/")), state.MaxOrders)
	is.Equal(place(memory, orderOf(11, "a")), state.Repeated) // the lowest that is kept
	is.Equal(place(memory, orderOf(11, "b")), state.Conflict)
	is.Equal(place(memory, orderOf(10, "b")), state.Superseded) // its record was dropped
	is.Equal(len(memory.Entries("order/")), state.MaxOrders)
	is.Equal(place(memory, orderOf(11, "a")), state.Repeated) // not evicted by the order below it
	is.NoErr(state.Verify(memory))
}

func TestLongBodyIsSplitAndOnlyChangedPiecesAreWritten(t *testing.T) {
	is := is.New(t)
	memory := statetest.NewMemory()
	random := make([]byte, 320<<10) // six incompressible pieces
	_, _ = rand.NewChaCha8([32]byte{}).Read(random)
	long := string(random)
	place(memory, orderOf(1, long))
	_, body, _ := state.Configuration(memory)
	is.True(bytes.Equal(body, []byte(long)))
	for _, entry := range memory.Entries("") {
		is.True(len(entry.Value) <= 64<<10)
	}
	is.Equal(len(memory.Entries("configuration/body/")), 6)

	transaction := state.NewTransaction(memory)
	transaction.PlaceOrder(orderOf(2, long[:len(long)-1]+string(long[len(long)-1]^1)))
	written := 0
	for _, mutation := range transaction.Mutations() {
		written += len(mutation.Value)
	}
	is.True(written < 70<<10) // unchanged pieces are not written again
	memory.Commit(transaction)

	place(memory, orderOf(3, "short"))
	_, body, found := state.Configuration(memory)
	is.True(found)
	is.Equal(string(body), "short") // the pieces of the longer one are dropped
	is.NoErr(state.Verify(memory))
}

// Bodies that operators send are repetitive. They must be stored compressed, and read back byte for byte.
func TestBodiesAreStoredCompressed(t *testing.T) {
	is := is.New(t)
	memory := statetest.NewMemory()
	sent := manyRoutes(1, 5000)
	place(memory, orderOf(1, sent))
	is.True(entryBytes(memory, "configuration/body/")*6 < len(sent))
	_, body, found := state.Configuration(memory)
	is.True(found)
	is.True(string(body) == sent)
	is.NoErr(state.Verify(memory))

	transaction := state.NewTransaction(memory)
	transaction.PlaceOrder(orderOf(2, strings.Replace(sent, "r4000", "x4000", 1)))
	is.Equal(len(bodyMutations(transaction)), 1) // a change in the middle leaves the other pieces as they are
}

func bodyMutations(transaction *state.Transaction) []replication.Mutation {
	return lo.Filter(transaction.Mutations(), func(mutation replication.Mutation, _ int) bool {
		return strings.HasPrefix(mutation.Key, "configuration/body/")
	})
}

func TestInstanceChangeDoesNotRewriteTheBody(t *testing.T) {
	is := is.New(t)
	memory := statetest.NewMemory()
	place(memory, orderOf(1, strings.Repeat("x", 1<<20)))
	transaction := state.NewTransaction(memory)
	transaction.PutInstance(state.Instance{Instance: feed.Instance{ID: "i1"}})
	is.Equal(len(transaction.Mutations()), 1)
}

// Orders arrive in any sequence and repeatedly, at controllers that take over from each other, and some changes are lost. Each
// number must be acknowledged for one content only, and an acknowledged order must be acknowledged again.
func TestNoNumberIsAcknowledgedForTwoContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := statetest.NewMemory()
		acknowledged := make(map[int64]string)
		highest := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "orders") {
			number := rapid.Int64Range(1, 8).Draw(t, "number")
			content := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "content")
			transaction := state.NewTransaction(memory)
			outcome := transaction.PlaceOrder(orderOf(number, content))
			if rapid.IntRange(0, 4).Draw(t, "fate") == 0 {
				continue // the primary died before the change was committed, so nobody was answered
			}
			memory.Commit(transaction)
			memory = memory.Clone() // another controller continues
			before, taken := acknowledged[number]
			if (outcome == state.Conflict) != (taken && before != content) {
				t.Fatalf("order %d %q: outcome %d, number taken by %q", number, content, outcome, before)
			}
			if outcome != state.Conflict {
				acknowledged[number] = content
				highest = max(highest, number)
			}
			inForce, body, _ := state.Configuration(memory)
			if inForce != highest || string(body) != acknowledged[highest] {
				t.Fatalf("%d %q is in force, %d %q should be", inForce, body, highest, acknowledged[highest])
			}
		}
		if err := state.Verify(memory); err != nil {
			t.Fatal(err)
		}
	})
}

// One transaction with many commands must show the same entries as a transaction for each command, committed one by one.
func TestTransactionReadsAsIfCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		overlaid, committed := statetest.NewMemory(), statetest.NewMemory()
		place(overlaid, orderOf(2, "base"))
		place(committed, orderOf(2, "base"))
		whole := state.NewTransaction(overlaid)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			step := drawStep(t)
			step(whole)
			one := state.NewTransaction(committed)
			step(one)
			committed.Commit(one)
			checkAddresses(t, whole)
			if fmt.Sprint(whole.Entries("")) != fmt.Sprint(committed.Entries("")) {
				t.Fatalf("overlay:\n%v\ncommitted:\n%v", whole.Entries(""), committed.Entries(""))
			}
		}
		overlaid.Commit(whole)
		if fmt.Sprint(overlaid.Entries("")) != fmt.Sprint(committed.Entries("")) {
			t.Fatal("the committed mutations differ from what the transaction showed")
		}
		if err := state.Verify(overlaid); err != nil {
			t.Fatal(err)
		}
	})
}

// checkAddresses compares a lookup by address with a search through all instances.
func checkAddresses(t *rapid.T, reader state.Reader) {
	for _, address := range []string{"a:1", "b:1"} {
		var present []state.Instance
		for _, instance := range state.Instances(reader) {
			if !instance.Left && instance.Address == address {
				present = append(present, instance)
			}
		}
		if at := state.InstancesAt(reader, address); fmt.Sprint(at) != fmt.Sprint(present) {
			t.Fatalf("instances at %s by the index: %v, by search: %v", address, at, present)
		}
	}
}

// drawStep draws a random command.
func drawStep(t *rapid.T) func(*state.Transaction) {
	id := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "id")
	switch rapid.IntRange(0, 4).Draw(t, "command") {
	case 0:
		order := orderOf(rapid.Int64Range(1, 5).Draw(t, "number"), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "content"))
		return func(transaction *state.Transaction) { transaction.PlaceOrder(order) }
	case 1:
		left := rapid.Bool().Draw(t, "left")
		address := rapid.SampledFrom([]string{"", "a:1", "b:1"}).Draw(t, "address")
		return func(transaction *state.Transaction) {
			transaction.PutInstance(state.Instance{Instance: feed.Instance{ID: id, Service: "s", Address: address}, Left: left})
		}
	case 2:
		return func(transaction *state.Transaction) { transaction.RemoveInstance(id) }
	case 3:
		return func(transaction *state.Transaction) { transaction.SetLeader("s", feed.Leader{InstanceID: id, Term: 3}) }
	default:
		return func(transaction *state.Transaction) { transaction.ClearIntent("s") }
	}
}
