// Package state gives the entries of the control state their meaning.
package state

import (
	"eiderway/control/failover"
	"eiderway/control/feed"
	"eiderway/control/replication"
)

// Reader gives the entries of the control state.
type Reader interface {
	Entry(key string) ([]byte, bool)
	Entries(prefix string) []replication.Mutation // sorted by key
}

// Verdict on an order.
type Verdict int

const (
	// InForce: the order is the newest configuration once the change is committed.
	InForce Verdict = iota
	// Repeated: this order was taken before.
	Repeated
	// Overtaken: a higher number is in force; the number is taken now, and nothing else changes.
	Overtaken
	// Conflict: the number is taken by another content.
	Conflict
)

// Instance is an instance as the control state has it.
type Instance struct {
	feed.Instance
	CallSeq uint64 // of the call that brought the last change recorded here
	Left    bool   // it has left (or was lost); kept so that a late beat does not bring it back
}

// In state.go:
//
//	type Transaction struct{ ... }                       an overlay over a Reader; commands are decided on it one by one
//	func NewTransaction(reader Reader) *Transaction
//	func (t *Transaction) Entry, Entries                  (a Transaction is a Reader itself)
//	func (t *Transaction) Mutations() []replication.Mutation   what was changed, sorted by key; empty: nothing
//
//	func (t *Transaction) PlaceOrder(order configuration.Order) Verdict
//	func (t *Transaction) PutInstance(instance Instance)
//	func (t *Transaction) RemoveInstance(id string)       drops the record (old tombstones)
//	func (t *Transaction) SetLeader(service string, leader feed.Leader)
//	func (t *Transaction) SetIntent(intent failover.Intent)
//	func (t *Transaction) ClearIntent(service string)
//
//	func Configuration(reader Reader) (number int64, body []byte, found bool)
//	func Instances(reader Reader) []Instance              sorted by id, those that left included
//	func InstanceByID(reader Reader, id string) (Instance, bool)
//	func Leaders(reader Reader) map[string]feed.Leader
//	func Intents(reader Reader) []failover.Intent
//	func Services(reader Reader) []failover.ServiceView   every service of the configuration or of an instance, sorted

var _ = failover.Intent{}
