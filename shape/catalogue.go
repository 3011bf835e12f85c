package shape

import (
	_ "embed"
	"strings"
	"sync"
)

// This file owns the catalogue of what PostgreSQL brings along: functions, types, operators. The table stands in
// functions.txt with its source. It must never list what a user can define.

//go:embed functions.txt
var functionTable string

type flags uint8

const (
	fnType flags = 1 << iota
	fnSteady
	fnAggregate
	fnVolatile
	fnWrites
	fnPins
)

// builtin is filled by catalogue, once a classifier is made: a router without one pays nothing.
var builtin map[string]flags

var catalogue = sync.OnceFunc(func() {
	kinds := map[string]flags{"type": fnType | fnSteady, "immutable": fnSteady, "stable": fnSteady,
		"aggregate": fnAggregate | fnSteady, "volatile": fnVolatile, "writes": fnWrites, "pins": fnWrites | fnPins}
	builtin = map[string]flags{}
	for line := range strings.Lines(functionTable) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		kind, names, ok := strings.Cut(line, ":")
		if kinds[kind] == 0 || !ok {
			panic("functions.txt: " + line)
		}
		for _, n := range strings.Fields(names) {
			builtin[n] |= kinds[kind]
		}
	}
})

// operators that PostgreSQL defines, of all its types. Source: chapter 9 of its documentation.
var operators = func() map[string]bool {
	m := map[string]bool{}
	for _, op := range strings.Fields(`+ - * / % ^ |/ ||/ @ & | # ~ << >> < > <= >= = <> != || ~~ ~~* !~~ !~~* ~* !~ !~*
		^@ -> ->> #> #>> @> <@ ? ?| ?& #- @? @@ @@@ && &< &> -|- <<= >>= <<| |>> &<| |&> <-> <^ >^ ?# ?- ?-| ?|| ~= !!
		<% %> <<% %>> <<-> <->> @-@ ## ~>=~ ~<=~ ~>~ ~<~ *= *<> *< *> *<= *>=`) {
		m[op] = true
	}
	return m
}()
