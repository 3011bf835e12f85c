package store

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

var (
	// ErrNewerFormat reports that the file was written by a newer program. The file is left unchanged.
	ErrNewerFormat = eris.New("the control state has a newer format than this program knows: run a newer eiderway, or give it an empty folder")
	// ErrReopenFirst is returned by Apply after a failed Apply, until Reopen has succeeded.
	ErrReopenFirst = eris.New("the control state must be reopened after a failed write")
	// ErrInUse reports that another process has the file open.
	ErrInUse = eris.New("the control state is in use by another process")
	// ErrExists is returned by Restore if the file exists already.
	ErrExists = eris.New("there is a control state already: it is not overwritten")
	// ErrClosed is returned after Close.
	ErrClosed = eris.New("the control state is closed")
)

// DamageError reports that a file does not hold a control state as this package wrote it. I/O errors of the disk are never
// reported as damage.
type DamageError struct{ Cause string }

func (e *DamageError) Error() string { return "damaged control state: " + e.Cause }

// damaged returns a DamageError.
func damaged(format string, arguments ...any) error {
	return &DamageError{Cause: fmt.Sprintf(format, arguments...)}
}

// IsDamage reports whether the error is about the content of the file.
func IsDamage(err error) bool {
	var damage *DamageError
	return errors.As(err, &damage)
}
