// Package systemtest runs the system as separate processes on loopback, stops and kills some of them under load, and checks
// the histories of clients and operators afterwards. It has only tests; package workload generates the load.
package systemtest
