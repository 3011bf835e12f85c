// Package simulation plays whole days of the system in simulated time.
//
// The real decision code of the control plane (control/controller and everything below it) runs against simulated
// disks, a simulated network, instances, a platform, operators, gateways and clients. Nothing in here waits, opens a
// socket or starts a goroutine: one World is one queue of events, and one seed is one history. A day is described by a
// small text file (see Parse), with the machines, a schedule of troubles, and what must hold at the end.
//
// The Judge sees only what operators, clients, instances and the platform saw. It shares no code with what it judges.
package simulation
