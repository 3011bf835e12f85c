package system

import "github.com/rotisserie/eris"

// ErrInvariant is the cause of errors that tell of a state that can't be unless the program or the disk is at fault.
// A process that meets one ends with an exit code of its own, and does not go on.
var ErrInvariant = eris.New("broken invariant")
