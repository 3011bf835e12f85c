package wire

import (
	"context"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"eiderway/control/failover"
)

// statusFields is how many fields the row of a STATUS has. More may appear and are left unread.
const statusFields = 7

// ParseStatus reads the row with which an instance answers STATUS, PAUSE, CONTINUE and STEPDOWN.
func ParseStatus(row string) (failover.Status, error) {
	fields := strings.Fields(row)
	if len(fields) < statusFields {
		return failover.Status{}, eris.Wrapf(ErrMalformed, "status %q", row)
	}
	status := failover.Status{Primary: fields[0] == "primary"}
	if !status.Primary && fields[0] != "replica" {
		return failover.Status{}, eris.Wrapf(ErrMalformed, "role %q", fields[0])
	}
	received, err := parseReceived(fields[2])
	if err != nil {
		return failover.Status{}, err
	}
	status.Received = received
	numbers := numberReader{}
	status.Term = numbers.unsigned(fields[1])
	status.TermHeld = numbers.unsigned(fields[3])
	status.LagMs = numbers.signed(fields[4])
	status.Busy = int(numbers.signed(fields[5]))
	status.Connections = int(numbers.signed(fields[6]))
	if numbers.failed {
		return failover.Status{}, eris.Wrapf(ErrMalformed, "status %q", row)
	}
	return status, nil
}

// parseReceived reads the position received; an empty log has none.
func parseReceived(field string) (failover.Position, error) {
	if field == NoPosition {
		return failover.Position{}, nil
	}
	return ParsePosition(field)
}

// numberReader remembers whether one of several numbers could not be read.
type numberReader struct{ failed bool }

func (r *numberReader) unsigned(field string) uint64 {
	value, err := strconv.ParseUint(field, 10, 64)
	r.failed = r.failed || err != nil
	return value
}

func (r *numberReader) signed(field string) int64 {
	value, err := strconv.ParseInt(field, 10, 64)
	r.failed = r.failed || err != nil
	return value
}

// FormatStatus writes the row that ParseStatus reads.
func FormatStatus(status failover.Status) string {
	role := "replica"
	if status.Primary {
		role = "primary"
	}
	fields := []string{
		role,
		strconv.FormatUint(status.Term, 10),
		FormatPosition(status.Received),
		strconv.FormatUint(status.TermHeld, 10),
		strconv.FormatInt(status.LagMs, 10),
		strconv.Itoa(status.Busy),
		strconv.Itoa(status.Connections),
	}
	return strings.Join(fields, " ")
}

// Status asks the instance who it is. Errors are *ConnError or *RefusedError.
func (c *Conn) Status(ctx context.Context) (failover.Status, error) {
	return c.control(ctx, "STATUS")
}

// Pause keeps a replica from receiving. The term must be above the newest that it knows.
func (c *Conn) Pause(ctx context.Context, term uint64) (failover.Status, error) {
	return c.control(ctx, "PAUSE "+strconv.FormatUint(term, 10))
}

// Continue ends a pause.
func (c *Conn) Continue(ctx context.Context) (failover.Status, error) {
	return c.control(ctx, "CONTINUE")
}

// StepDown turns a primary of a lower term into a replica.
func (c *Conn) StepDown(ctx context.Context, term uint64) (failover.Status, error) {
	return c.control(ctx, "STEPDOWN "+strconv.FormatUint(term, 10))
}

// Reset drops the prepared names and values of the connection.
func (c *Conn) Reset(ctx context.Context) error {
	_, err := c.own(ctx, "RESET")
	return err
}

// control sends one of the system's own statements that is answered with a status row.
func (c *Conn) control(ctx context.Context, text string) (failover.Status, error) {
	answer, err := c.own(ctx, text)
	if err != nil {
		return failover.Status{}, err
	}
	if len(answer.Rows) != 1 {
		return failover.Status{}, c.failed(MaybeRan, eris.Wrapf(ErrMalformed, "%d rows", len(answer.Rows)))
	}
	status, err := ParseStatus(answer.Rows[0])
	if err != nil {
		return failover.Status{}, c.failed(MaybeRan, err)
	}
	return status, nil
}

// own sends one of the system's own statements.
func (c *Conn) own(ctx context.Context, text string) (Answer, error) {
	answer, err := c.Query(ctx, InternalID, text)
	if err != nil {
		return Answer{}, err
	}
	if answer.Code != "" {
		return Answer{}, &RefusedError{Code: answer.Code, Text: answer.Text}
	}
	return answer, nil
}
