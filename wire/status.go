package wire

import (
	"context"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"eiderway/control/failover"
)

// statusFields is the number of fields in the row of a STATUS. Further fields are ignored.
const statusFields = 7

// ParseStatus parses the row with which an instance answers STATUS, PAUSE, CONTINUE and STEPDOWN.
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
	numbers := numberParser{}
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

// parseReceived parses the position that the instance has received; an empty log has none.
func parseReceived(field string) (failover.Position, error) {
	if field == NoPosition {
		return failover.Position{}, nil
	}
	return ParsePosition(field)
}

// numberParser parses several numbers and records whether any of them failed.
type numberParser struct{ failed bool }

func (p *numberParser) unsigned(field string) uint64 {
	value, err := strconv.ParseUint(field, 10, 64)
	p.failed = p.failed || err != nil
	return value
}

func (p *numberParser) signed(field string) int64 {
	value, err := strconv.ParseInt(field, 10, 64)
	p.failed = p.failed || err != nil
	return value
}

// FormatStatus formats the row that ParseStatus parses.
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

// Status asks the instance for its role, term and position. Errors are *ConnError or *RefusedError.
func (c *Conn) Status(ctx context.Context) (failover.Status, error) {
	return c.queryStatus(ctx, "STATUS")
}

// Pause stops a replica from receiving the log. The term must be higher than any that the instance knows.
func (c *Conn) Pause(ctx context.Context, term uint64) (failover.Status, error) {
	return c.queryStatus(ctx, "PAUSE "+strconv.FormatUint(term, 10))
}

// Continue ends a pause.
func (c *Conn) Continue(ctx context.Context) (failover.Status, error) {
	return c.queryStatus(ctx, "CONTINUE")
}

// StepDown turns a primary of a lower term into a replica.
func (c *Conn) StepDown(ctx context.Context, term uint64) (failover.Status, error) {
	return c.queryStatus(ctx, "STEPDOWN "+strconv.FormatUint(term, 10))
}

// Reset drops the prepared names and session values of the connection.
func (c *Conn) Reset(ctx context.Context) error {
	_, err := c.queryInternal(ctx, "RESET")
	return err
}

// queryStatus sends an internal statement that is answered with a status row.
func (c *Conn) queryStatus(ctx context.Context, text string) (failover.Status, error) {
	answer, err := c.queryInternal(ctx, text)
	if err != nil {
		return failover.Status{}, err
	}
	if len(answer.Rows) != 1 {
		return failover.Status{}, c.fail(MaybeRan, eris.Wrapf(ErrMalformed, "%d rows instead of a status row", len(answer.Rows)))
	}
	status, err := ParseStatus(answer.Rows[0])
	if err != nil {
		return failover.Status{}, c.fail(MaybeRan, err)
	}
	return status, nil
}

// queryInternal sends an internal statement.
func (c *Conn) queryInternal(ctx context.Context, text string) (Answer, error) {
	answer, err := c.Query(ctx, InternalID, text)
	if err != nil {
		return Answer{}, err
	}
	if answer.Code != "" {
		return Answer{}, &RefusedError{Code: answer.Code, Text: answer.Text}
	}
	return answer, nil
}
