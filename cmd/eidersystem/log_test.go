package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

func TestLogEntryIsOneLine(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	log := newLog(&output)
	log.Debug("not written")
	log.WithField("zone", "a").WithField("epoch", 3).WithError(eris.New("two\nlines")).Warn("view\r\ncommitted")
	line := output.String()
	is.Equal(strings.Count(line, "\n"), 1)
	_, behindTime, _ := strings.Cut(line, " ")
	is.Equal(behindTime, "warn view  committed epoch=3 error=two lines zone=a\n")
}
