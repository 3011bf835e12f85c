// Package store persists a controller's own state on its disk: its incarnation, its voter record, and its copy of the control
// state.
//
// Everything is in one bbolt file, control.db. A new value replaces the old one, whose space is used again, so the file stays
// small. Apply makes one transaction, which is durable once Apply has returned nil.
//
// bbolt has no checksums on its data pages, and a damaged page can crash the process. So this package reads and checks the file
// before bbolt opens it (pages.go, contents.go): the structure of every page in use, and a checksum over all entries that each
// transaction keeps up to date (record.go). A damaged file is never used and never deleted: it is renamed, and the controller
// starts as a new incarnation, like one that has lost its disk.
//
// A new file gets its final name only when it is complete and synced. A power loss before that leaves an unfinished file under
// another name, from which no controller has ever sent a message.
package store
