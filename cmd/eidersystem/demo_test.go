package main

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDemoRefusesWhatItCantShow(t *testing.T) {
	is := is.New(t)
	is.Equal(execute(t.Context(), []string{"demo", "--for", "1s"}), exitBadUse)
	is.Equal(execute(t.Context(), []string{"demo", "quickly"}), exitBadUse)
}

// TestDemoKeepsWhatWasAcknowledged plays the shortest demo, and reads its account.
func TestDemoKeepsWhatWasAcknowledged(t *testing.T) {
	is := is.New(t)
	var account bytes.Buffer
	err := runDemo(t.Context(), demoLeast, newLog(io.Discard), &account)
	t.Log(account.String())
	is.NoErr(err)
	for _, line := range []string{"nobody holds is refused: AUTHFAIL", "tenant smiths", "leads orders in term", "which led, is gone", "nothing that was acknowledged is missing"} {
		is.True(strings.Contains(account.String(), line))
	}
}
