package main

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDemoRejectsInvalidArguments(t *testing.T) {
	is := is.New(t)
	is.Equal(execute(t.Context(), []string{"demo", "--for", "1s"}), exitFailure)
	is.Equal(execute(t.Context(), []string{"demo", "quickly"}), exitFailure)
}

// TestDemoLosesNothingAcknowledged runs the shortest demo, and checks the events that it prints.
func TestDemoLosesNothingAcknowledged(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	err := runDemo(t.Context(), minDemoDuration, newLog(io.Discard), &output)
	t.Log(output.String())
	is.NoErr(err)
	for _, line := range []string{"nobody holds is refused: AUTHFAIL", "tenant smiths", "leads orders in term", "which led, is gone", "nothing that was acknowledged is missing"} {
		is.True(strings.Contains(output.String(), line))
	}
}
