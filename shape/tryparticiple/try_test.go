package tryparticiple

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"eiderway/shape"
)

type Script struct {
	First *Stmt   `parser:"@@"`
	More  []*Stmt `parser:"( ';' @@ )*"`
}
type Stmt struct {
	Items []*Item `parser:"@@+"`
}
type Item struct {
	Call  *Call   `parser:"  @@"`
	Group *Group  `parser:"| @@"`
	Word  string  `parser:"| @(Word | Quoted | Param | Op | Other)"`
}
type Group struct {
	Items []*Item `parser:"'(' @@* ')'"`
}
type Call struct {
	Name string   `parser:"@(Word | Quoted)"`
	More []string `parser:"( '.' @(Word | Quoted) )*"`
	Args []*Item  `parser:"'(' @@* ')'"`
}

var parser = participle.MustBuild[Script](participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Word", Pattern: `[a-z_\x80-\xff][a-z0-9_$\x80-\xff]*`}, {Name: "Quoted", Pattern: `(U&)?"([^"]|"")*"`},
	{Name: "Param", Pattern: `\$0`}, {Name: "Punct", Pattern: `[();.]`}, {Name: "Op", Pattern: `[-+*/<>=~!@#%^&|` + "`" + `?]+`},
	{Name: "Other", Pattern: `::|:=|[\[\],:]`}, {Name: "space", Pattern: ` +`}})), participle.UseLookahead(8), participle.Elide("space"))

func shapes(b testing.TB) (out []string) {
	files, _ := filepath.Glob("../testdata/corpus/*.sql")
	s := shape.NewScratch(false)
	for _, f := range files {
		text, _ := os.ReadFile(f)
		all, err := shape.ReadCorpus(strings.NewReader(string(text)))
		if err != nil {
			b.Fatal(err)
		}
		for _, x := range all {
			if s.Read([]byte(x.Text)); !s.Bad {
				out = append(out, string(s.Norm))
			}
		}
	}
	return out
}

func TestDepth(t *testing.T) {
	for _, deep := range []int{1000, 10000} {
		_, err := parser.ParseString("", "select "+strings.Repeat("( ", deep)+"$0 "+strings.Repeat(") ", deep))
		t.Log(deep, err)
	}
}

func BenchmarkParticiple(b *testing.B) {
	all := shapes(b)
	failed := 0
	b.ReportAllocs()
	for b.Loop() {
		failed = 0
		for _, s := range all {
			if _, err := parser.ParseString("", s); err != nil {
				failed++
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(all)), "ns/statement")
	b.ReportMetric(float64(failed), "failed")
}

func BenchmarkGoyacc(b *testing.B) {
	all := shapes(b)
	b.ReportAllocs()
	for b.Loop() {
		for _, s := range all {
			shape.ParseOnly([]byte(s))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(all)), "ns/statement")
}
