package configuration_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eiderway/control/configuration"
)

// valid is a configuration with all known fields, and an unknown one.
const valid = `{"configRevision":7,
 "routeTable":[
  {"name":"r1","host":"h1","pathPrefix":"/","routeClass":"primary","timeoutMs":1000,"targetLatencyMs":200,"priority":1,"targetService":"s1","maxAttempts":2},
  {"name":"r2","host":"h2","pathPrefix":"/","routeClass":"bounded_stale","timeoutMs":2000,"targetLatencyMs":600,"priority":2,"targetService":"s2","maxAttempts":2,"maxStalenessMs":1500}],
 "serviceTable":[
  {"name":"s1","healthPath":"/health","maxConnections":84,"protocol":"h1","tlsEnabled":false,"syncReplicas":1},
  {"name":"s2","healthPath":"/health","maxConnections":84,"protocol":"h1","tlsEnabled":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txnIdleMs":3000}}`

// smallest is a configuration without any optional field.
const smallest = `{"configRevision":1,"limits":{},"serviceTable":[{"name":"s1"}],"routeTable":[
 {"name":"r1","host":"h1","routeClass":"primary","timeoutMs":1000,"targetService":"s1"}]}`

func TestParseReadsAllKnownFields(t *testing.T) {
	is := is.New(t)
	document, err := configuration.Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(document.Number, int64(7))
	is.Equal(string(document.Body), valid)
	is.Equal(document.Contents.Routes[1], configuration.Route{Name: "r2", Host: "h2", PathPrefix: "/", Class: "bounded_stale",
		TimeoutMs: 2000, TargetLatencyMs: 600, Priority: 2, TargetService: "s2", MaxAttempts: 2, MaxStalenessMs: 1500})
	is.Equal(document.Contents.Services[0], configuration.Service{Name: "s1", HealthPath: "/health", MaxConnections: 84,
		Protocol: "h1", SyncReplicas: 1})
	is.Equal(document.Contents.Limits, configuration.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144,
		HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, TxnIdleMs: 3000})
}

func TestParseAcceptsOmittedFieldsAndOtherSpellings(t *testing.T) {
	is := is.New(t)
	document, err := configuration.Parse([]byte(smallest))
	is.NoErr(err)
	is.Equal(document.Contents.Routes[0].PathPrefix, "/") // the default
	for name, change := range map[string][2]string{
		"unknown field at the top": {`"limits"`, `"weights":[{"Name":1,"name":2}],"limits"`},
		"unknown field of a route": {`"host"`, `"targets":[],"Host":"x","host"`},
		"a field that is null":     {`"host"`, `"maxStalenessMs":null,"host"`},
		"priority 0":               {`"host"`, `"priority":0,"host"`},
		"a number with fraction 0": {`1000`, `1000.0`},
		"a number with exponent":   {`1000`, `1e3`},
		"no routes at all":         {smallest[strings.Index(smallest, `"routeTable"`):], `"routeTable":[]}`},
		"the largest number":       {`"configRevision":1`, `"configRevision":9223372036854775807`},
		"a pair of surrogates":     {`"r1"`, `"\ud83d\ude00"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := configuration.Parse([]byte(strings.Replace(smallest, change[0], change[1], 1)))
			is.New(t).NoErr(err)
		})
	}
}

func TestParseRefuses(t *testing.T) {
	malformed, invalid := configuration.Malformed, configuration.Invalid
	for _, refused := range []struct {
		name, old, new string // the change to the smallest configuration
		reason         configuration.Reason
		text           string // part of the error
	}{
		{"cut short", `}]}`, `}]`, malformed, "not one whole JSON value"},
		{"trailing bytes", `}]}`, `}]}x`, malformed, "not one whole JSON value"},
		{"two values", `}]}`, `}]}{}`, malformed, "not one whole JSON value"},
		{"not an object", smallest, `[]`, malformed, "not a JSON object"},
		{"empty", smallest, ``, malformed, "not one whole JSON value"},
		{"not UTF-8", `"r1"`, "\"\xff\"", malformed, "not UTF-8"},
		{"half a surrogate pair", `"r1"`, `"\ud83d"`, malformed, "surrogate"},
		{"second half alone", `"r1"`, `"\\\ude00"`, malformed, "surrogate"},
		{"a field twice", `"limits":{}`, `"limits":{},"limits":{}`, malformed, `"limits" twice`},
		{"a field twice by escape", `"name":"r1"`, `"name":"r1","n\u0061me":"r3"`, malformed, `"name" twice`},
		{"an unknown field twice", `"limits":{}`, `"limits":{"x":{"y":1,"y":1}}`, malformed, `"y" twice`},
		{"too deep", `"limits":{}`, `"limits":{"x":` + strings.Repeat("[", 80) + strings.Repeat("]", 80) + `}`, malformed, "deeper than"},
		{"exponent out of range", `1000`, `1e9999999999`, malformed, "exponent"},
		{"number as text", `1000`, `"1000"`, malformed, `route "r1": timeoutMs is not a number`},
		{"text as number", `"h1"`, `1`, malformed, `route "r1": host is not a text`},
		{"fraction", `1000`, `1000.5`, malformed, `route "r1": timeoutMs is not a whole number`},
		{"too large a number", `1000`, `9223372036854775808`, malformed, "64 bits"},
		{"limits not an object", `"limits":{}`, `"limits":[]`, malformed, "limits: is not an object"},
		{"table not an array", `"serviceTable":[{"name":"s1"}]`, `"serviceTable":{}`, malformed, "serviceTable: is not an array"},
		{"route not an object", `"routeTable":[`, `"routeTable":[1,`, malformed, "routeTable[0]: is not an object"},
		{"no limits", `"limits":{},`, ``, invalid, "limits: is missing"},
		{"no routes", `"routeTable"`, `"RouteTable"`, invalid, "routeTable: is missing"},
		{"no services", `"serviceTable"`, `"x"`, invalid, "serviceTable: is missing"},
		{"no number", `"configRevision":1,`, ``, invalid, "configRevision must not be less than 1"},
		{"number 0", `"configRevision":1`, `"configRevision":0`, invalid, "configRevision must not be less than 1"},
		{"unknown service", `"targetService":"s1"`, `"targetService":"s9"`, invalid, `route "r1": targetService "s9"`},
		{"time-out 0", `1000`, `0`, invalid, `route "r1": timeoutMs must be greater than 0`},
		{"time-out negative", `1000`, `-1`, invalid, `route "r1": timeoutMs must be greater than 0`},
		{"no time-out", `"timeoutMs":1000,`, ``, invalid, `route "r1": timeoutMs`},
		{"empty host", `"h1"`, `""`, invalid, `route "r1": host is missing or empty`},
		{"no name", `"name":"r1",`, ``, invalid, `routeTable[0]: name is missing or empty`},
		{"unknown class", `"primary"`, `"any"`, invalid, `route "r1": routeClass must be one of primary, bounded_stale, self_managed`},
		{"service twice", `[{"name":"s1"}]`, `[{"name":"s1"},{"name":"s1"}]`, invalid, `service "s1": has the name of another`},
		{"same place", `"routeTable":[`, `"routeTable":[{"name":"r0","host":"h1","pathPrefix":"/","routeClass":"primary","timeoutMs":1,"targetService":"s1"},`,
			invalid, `route "r1": has host "h1" and pathPrefix "/" like route "r0"`},
	} {
		t.Run(refused.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(smallest, refused.old)) // the case changes something
			_, err := configuration.Parse([]byte(strings.Replace(smallest, refused.old, refused.new, 1)))
			var refusal *configuration.Refusal
			is.True(errors.As(err, &refusal))
			is.Equal(refusal.Reason, refused.reason)
			if !strings.Contains(err.Error(), refused.text) {
				t.Errorf("error %q lacks %q", err, refused.text)
			}
		})
	}
}

func TestParseRefusesEveryTruncation(t *testing.T) {
	for length := range len(valid) {
		if _, err := configuration.Parse([]byte(valid[:length])); err == nil {
			t.Fatalf("the first %d bytes were accepted", length)
		}
	}
}

// bodyOf makes a configuration with many routes, each with a random note.
func bodyOf(routes int, shuffle *rand.Rand) []byte {
	rows := make([]string, routes)
	for index := range rows {
		rows[index] = fmt.Sprintf(`{"name":"r%d","host":"host%d","pathPrefix":"/","routeClass":"primary","timeoutMs":1000,`+
			`"targetLatencyMs":200,"priority":1,"targetService":"s1","maxAttempts":2,"note":"%0100d"}`, index, index, shuffle.Int63())
	}
	return []byte(`{"configRevision":1,"limits":{},"serviceTable":[{"name":"s1"}],"routeTable":[` + strings.Join(rows, ",") + `]}`)
}

func TestParseBoundsOnlyTheSize(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewSource(1))
	document, err := configuration.Parse(bodyOf(5000, random))
	is.NoErr(err)
	is.Equal(len(document.Contents.Routes), 5000)

	padding := strings.Repeat(" ", configuration.MaxBody-len(smallest))
	_, err = configuration.Parse([]byte(smallest + padding))
	is.NoErr(err)
	_, err = configuration.Parse([]byte(smallest + padding + " "))
	var refusal *configuration.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, configuration.TooLarge)
}

func TestDigestDependsOnEveryPart(t *testing.T) {
	is := is.New(t)
	digests := make(map[string]string)
	for _, body := range []string{
		smallest,
		strings.Replace(smallest, `1000`, `1001`, 1),
		strings.Replace(smallest, `{}`, `{"x":1}`, 1),
		strings.Replace(smallest, `{}`, `{"x":"1"}`, 1),
		strings.Replace(smallest, `{}`, `{"x":true}`, 1),
		strings.Replace(smallest, `{}`, `{"x":null}`, 1),
		strings.Replace(smallest, `{}`, `{"x":[]}`, 1),
		strings.Replace(smallest, `{}`, `{"x":[[],1]}`, 1),
		strings.Replace(smallest, `{}`, `{"x":[[1]]}`, 1),
		strings.Replace(smallest, `{}`, `{"x":9007199254740992}`, 1),
		strings.Replace(smallest, `{}`, `{"x":9007199254740993}`, 1), // the same float64 as the number above
	} {
		document, err := configuration.Parse([]byte(body))
		is.NoErr(err)
		is.Equal(digests[document.Digest], "") // no other content has this digest
		digests[document.Digest] = body
	}
}

func TestDigestOfEqualNumbers(t *testing.T) {
	for _, spellings := range [][]string{
		{`0.5`, `5e-1`, `0.050e1`, `0.00005E+4`},
		{`0`, `-0`, `0.0`, `0e9`},
		{`-120`, `-12e1`, `-120.0`, `-0.12e+0003`},
		{`18446744073709551616`, `18446744073709551616.000`, `1844674407370955161.6e1`},
	} {
		digests := make(map[string]bool)
		for _, number := range spellings {
			document, err := configuration.Parse([]byte(strings.Replace(smallest, `{}`, `{"x":`+number+`}`, 1)))
			is.New(t).NoErr(err)
			digests[document.Digest] = true
		}
		if len(digests) != 1 {
			t.Errorf("%v have %d digests", spellings, len(digests))
		}
	}
}

// Digests are kept on disk: if the same configuration got another digest, sending it again would be refused as a conflict.
func TestDigestIsStableAcrossVersions(t *testing.T) {
	is := is.New(t)
	document, err := configuration.Parse([]byte(smallest))
	is.NoErr(err)
	is.Equal(document.Digest, "5b9a9e883dfae1246911c615cf5cb511ad0188136d48cd0d91bbb1bf1f4421de")
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{valid, smallest, `{}`, `[1e-5]`, `{"a":"\ud83d\ude00"}`, `{"a":-0.0E+00}`, "\ufeff{}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		document, err := configuration.Parse(body)
		again, errAgain := configuration.Parse(body)
		if (err == nil) != (errAgain == nil) || document.Digest != again.Digest {
			t.Fatal("parsing the same body twice gives different results")
		}
		if err != nil {
			return
		}
		var generic map[string]any
		if json.Unmarshal(body, &generic) != nil {
			t.Fatal("a body that is not JSON was accepted")
		}
		compact, _ := json.Marshal(json.RawMessage(body))
		if same, err := configuration.Parse(compact); err != nil || same.Digest != document.Digest {
			t.Fatalf("the compacted body differs in error or digest: %v", err)
		}
	})
}
