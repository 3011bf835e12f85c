// Package systemtest runs the system as processes of their own on loopback, takes some of them away under load, and judges
// the clients' and operators' histories afterwards. All of it is in its tests; workload holds what puts the load on.
package systemtest
