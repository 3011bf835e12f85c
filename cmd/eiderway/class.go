package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"text/tabwriter"
	"time"

	"eiderway/proxy"
	"eiderway/shape"
	"eiderway/terms"
)

type class struct {
	File     string `arg:"" help:"Statements, one or more lines each, ended by a semicolon at a line's end; - for standard input."`
	Settings string `help:"Our own settings (YAML), whose section classing holds the rules." env:"EIDERWAY_SETTINGS" type:"path"`
	JSON     bool   `help:"One JSON object a line." name:"json"`
}

// Run tells what each statement is, and fails where an expectation in the file is not met.
func (c *class) Run() error {
	book, err := c.book()
	if err != nil {
		return err
	}
	src := io.Reader(os.Stdin)
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer f.Close()
		src = f
	}
	samples, err := shape.ReadCorpus(src)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	out := bufio.NewWriter(os.Stdout)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	lines := json.NewEncoder(out)
	if !c.JSON {
		fmt.Fprintln(table, "LINE\tNEED\tEFFECT\tTYPE\tGROUP\tCOST\tHASH\tREASON\tSHAPE")
	}
	scratch, unmet := book.Scratch(), 0
	for _, s := range samples {
		t := book.Tell(scratch, s, 0)
		if c.JSON {
			if err := lines.Encode(t); err != nil {
				return err
			}
		} else {
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d\t%.0fms\t%s\t%s\t%s\n", t.Line, t.Need, t.Effect, t.Type, t.Group, 1000*t.Cost, t.Hash,
				t.Reason, t.Shape)
		}
		if err := s.Check(t); err != nil {
			unmet++
			fmt.Fprintf(os.Stderr, "%s:%d: %v\n", c.File, s.Line, err)
		}
	}
	table.Flush()
	if err := out.Flush(); err != nil {
		return err
	}
	if unmet > 0 {
		return fmt.Errorf("%d of %d statements are not what is expected of them", unmet, len(samples))
	}
	return nil
}

// book makes a book by the settings, or by the defaults.
func (c *class) book() (*shape.Book, error) {
	own, err := terms.DefaultOwn()
	if c.Settings != "" {
		if own, err = terms.ReadOwn(c.Settings, 0); err == nil && own.Classing == nil {
			err = fmt.Errorf("%s: no section classing", c.Settings)
		}
	}
	if err != nil {
		return nil, err
	}
	own.Classing.Shape.ParseRate = 1e12 // a file is classed to its end however long it is
	return shape.New(own.Classing.Shape)
}

type shapes struct {
	Socket string `help:"The router's admin socket." required:"" type:"path"`
	Most   int    `help:"Shapes to show, the heaviest first." default:"20"`
	JSON   bool   `help:"The answer as it comes." name:"json"`
}

const answerIn = 5 * time.Second

func (s *shapes) Run() error {
	var told struct {
		proxy.Shapes
		Error string `json:"error"`
	}
	text, err := ask(s.Socket, fmt.Sprintf("shapes %d", s.Most), &told)
	if err != nil {
		return err
	}
	if told.Error != "" {
		return fmt.Errorf("%s", told.Error)
	}
	if s.JSON {
		_, err := os.Stdout.Write(text)
		return err
	}
	fmt.Printf("%d shapes in %d bytes, hit rate %.4f; %d classed, %d by their tokens alone, %d reclassed, %d refused by replicas, %d turned away\n",
		told.Shapes.Shapes, told.Bytes, told.HitRate, told.Classed, told.Counts.Over, told.Reclassed, told.Counts.Refused, told.Turned)
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "HASH\tTYPE\tCOUNT\tP50\tP99\tWORK\tREASON\tSHAPE")
	for _, l := range told.Lines {
		fmt.Fprintf(table, "%016x\t%s\t%d\t%.1fms\t%.1fms\t%.1f%%\t%s\t%s\n", l.Hash, l.Kind, l.Count, 1000*l.P50, 1000*l.P99, 100*l.Work, l.Reason,
			l.Shape)
	}
	return table.Flush()
}

func askText(socket, question string) ([]byte, error) {
	nc, err := net.DialTimeout("unix", socket, answerIn)
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(answerIn))
	if _, err := fmt.Fprintln(nc, question); err != nil {
		return nil, err
	}
	return io.ReadAll(nc)
}
