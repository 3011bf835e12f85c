// Package store keeps a controller's own state on its disk: its incarnation, its record as a voter, and its copy of the
// control state.
//
// Everything is in one bbolt file, control.db, whose keys are rewritten in place, so that it stays small. Apply makes
// one transaction, which is safe once Apply has returned nil.
//
// bbolt puts no checksums on its pages, and a damaged page makes it end the process. So the file is read and checked by
// this package before bbolt sees it (pages.go, contents.go): the structure of every page in use, and a sum over
// all entries that each transaction keeps up to date (record.go). A damaged file is never used and never deleted: it is renamed,
// and the controller comes back as a new incarnation, as one that has lost its disk.
//
// A file gets its name only when it is whole and synced. A power loss before that leaves an unfinished file under
// another name, which nobody has spoken from.
package store
