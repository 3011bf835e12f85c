package wire

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eiderway/control/failover"
)

func TestParseConnect(t *testing.T) {
	is := is.New(t)
	connect, err := ParseConnect("CONNECT huvo11a tenant i-7f3a91c2")
	is.NoErr(err)
	is.Equal(connect, Connect{Database: "huvo11a", User: "tenant", InstanceID: "i-7f3a91c2"})
	is.Equal(string(AppendConnect(nil, connect)), "CONNECT huvo11a tenant i-7f3a91c2\r\n")
	connect, err = ParseConnect("CONNECT lepu270 u3f1")
	is.NoErr(err)
	is.Equal(string(AppendConnect(nil, connect)), "CONNECT lepu270 u3f1\r\n")
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	for _, line := range []string{"", "CONNECT", "CONNECT a", "CONNECT a ", "CONNECT  a", "CONNECT a b ", "connect a b", "QUERY 1 FETCH a"} {
		if _, err := ParseConnect(line); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q as CONNECT: %v", line, err)
		}
	}
	for _, line := range []string{"", "QUIT now", "QUERY", "QUERY 1", "QUERY 1 ", "QUERY  FETCH a", "query 1 FETCH a", " QUERY 1 FETCH a", "ROW x"} {
		if _, err := ParseRequest(line); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q as a request: %v", line, err)
		}
	}
}

func TestParseRequestKeepsTheText(t *testing.T) {
	is := is.New(t)
	request, err := ParseRequest("QUERY 5c0e PUT 1a4 some  data with blanks ")
	is.NoErr(err)
	is.Equal(request, Request{ID: "5c0e", Text: "PUT 1a4 some  data with blanks "})
	request, err = ParseRequest("QUIT")
	is.NoErr(err)
	is.True(request.Quit)
}

func TestParseStatement(t *testing.T) {
	for text, want := range map[string]Statement{
		"BEGIN":                  {Verb: Begin},
		"BEGIN FETCH":            {Verb: Begin, ReadOnly: true},
		"COMMIT":                 {Verb: Commit},
		"ABORT":                  {Verb: Abort},
		"FETCH 1a4":              {Verb: Fetch, Key: "1a4"},
		"PUT 1a4 x y":            {Verb: Put, Key: "1a4", Data: "x y"},
		"SETOPT zone hall noord": {Verb: SetOpt, Name: "zone", Value: "hall noord"},
		"PREPARE s1 PUT q2c":     {Verb: Prepare, Name: "s1", Kind: Put, Shape: "q2c"},
		"EXECUTE s1 1a4":         {Verb: Execute, Name: "s1", Key: "1a4"},
		"EXECUTE s1 1a4 x y":     {Verb: Execute, Name: "s1", Key: "1a4", Data: "x y", HasData: true},
		"RELEASE s1":             {Verb: Release, Name: "s1"},
	} {
		if got, err := ParseStatement(text); err != nil || got != want {
			t.Errorf("%q: %+v, %v", text, got, err)
		}
	}
}

func TestStatementsThatClientsMayNotSend(t *testing.T) {
	for _, text := range []string{
		"", "begin", "BEGIN PUT", "BEGIN ", "COMMIT now", "ABORT ", "FETCH", "FETCH ", "PUT", "PUT a", "PUT  x", "SETOPT a",
		"PREPARE s1 q2c", "PREPARE s1 COMMIT q", "PREPARE s1 PUT", "PREPARE  PUT q", "EXECUTE s1", "EXECUTE  a", "RELEASE",
		"RELEASE a b", "STATUS", "PAUSE 4", "CONTINUE", "STEPDOWN 4", "RESET", "AFTERPOS 3.1 FETCH a",
	} {
		if _, err := ParseStatement(text); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestParseInstanceStatement(t *testing.T) {
	is := is.New(t)
	statement, err := ParseInstanceStatement("AFTERPOS 3.1207 FETCH 1a4")
	is.NoErr(err)
	is.Equal(statement, Statement{Verb: Fetch, Key: "1a4", HasAfter: true, After: failover.Position{Term: 3, Number: 1207}})
	statement, err = ParseInstanceStatement("PAUSE 4")
	is.NoErr(err)
	is.Equal(statement, Statement{Verb: Pause, Term: 4})
	for _, text := range []string{"PAUSE", "PAUSE -1", "STATUS now", "AFTERPOS 3 FETCH a", "AFTERPOS 3.1", "AFTERPOS 3.1 STATUS"} {
		_, err := ParseInstanceStatement(text)
		is.True(errors.Is(err, ErrMalformed)) // each of them
	}
}

func TestRenameExecuteChangesOnlyTheName(t *testing.T) {
	is := is.New(t)
	is.Equal(RenameExecute("EXECUTE s1 1a4", "fq"), "EXECUTE fq 1a4")
	is.Equal(RenameExecute("EXECUTE s1 1a4 x  y ", "fq"), "EXECUTE fq 1a4 x  y ")
	is.Equal(RenameExecute("EXECUTE EXECUTE EXECUTE s1", "fq"), "EXECUTE fq EXECUTE s1")
}

func TestParseAndFormatStatus(t *testing.T) {
	is := is.New(t)
	status, err := ParseStatus("replica 3 3.1209 0 12 2 17")
	is.NoErr(err)
	want := failover.Status{Term: 3, Received: failover.Position{Term: 3, Number: 1209}, LagMs: 12, Busy: 2, Connections: 17}
	is.Equal(status, want)
	is.Equal(FormatStatus(want), "replica 3 3.1209 0 12 2 17")
	status, err = ParseStatus("primary 4 - 4 0 0 1 more")
	is.NoErr(err)
	is.True(status.Primary)
	is.Equal(status.Received, failover.Position{})
	for _, row := range []string{"", "replica 3 3.1 0 12 2", "leader 3 3.1 0 1 2 3", "replica x 3.1 0 1 2 3", "replica 3 3 0 1 2 3", "replica 3 3.1 0 1 2 x"} {
		_, err := ParseStatus(row)
		is.True(errors.Is(err, ErrMalformed)) // each of them
	}
}

func TestPromisesNoEffect(t *testing.T) {
	is := is.New(t)
	for _, code := range []Code{Busy, RolledBack, Lagging, ReadOnly, WrongNode, ConnLimit} {
		is.True(code.PromisesNoEffect()) // each of them
	}
	for _, code := range []Code{InDoubt, Timeout, ExecFail, NoStmt, NoDB, Malformed} {
		is.True(!code.PromisesNoEffect()) // none of them
	}
}

func FuzzStatement(f *testing.F) {
	for _, text := range []string{"BEGIN FETCH", "PUT a b", "PREPARE s1 PUT q2c", "EXECUTE s1 1a4 x", "AFTERPOS 3.1 FETCH a", "PAUSE 4"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		statement, err := ParseStatement(text)
		if err != nil {
			return
		}
		if !strings.HasPrefix(text, string(statement.Verb)) {
			t.Errorf("%q read as %q", text, statement.Verb)
		}
		if statement.Verb != Execute {
			return
		}
		renamed, err := ParseStatement(RenameExecute(text, "other"))
		statement.Name = "other"
		if err != nil || renamed != statement {
			t.Errorf("%q renamed: %+v, %v", text, renamed, err)
		}
	})
}
