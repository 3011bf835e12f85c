package system

import "github.com/rotisserie/eris"

// ErrInvariant is the cause of errors about a state that is impossible unless the program or the disk is faulty. A process that gets one
// stops with a separate exit code.
var ErrInvariant = eris.New("broken invariant")
