// Package simwire speaks the simulator's wire for many routers: events become calls of the splitter, and
// what the splitter does becomes actions. It decides nothing.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
)

type batch struct {
	Moment *float64                     `json:"moment"`
	In     []map[string]json.RawMessage `json:"in"`
}

type entry struct {
	Head      float64
	Set       *int
	Lifecycle string
	Node      string
	Born      float64
	Site      string
}

// event holds the fields of every event; names on the wire differ from one event to the next.
type event struct {
	Router     string
	RandomSeed int64
	Facts      json.RawMessage
	List       int
	Lines      []entry
	Kind       string
	Txn        string
	TokenMs    *float64
	ValidUntil float64
	Sess       int64
	Class      string
	ClusterNo  int
	Mark       int
	Node       string
	Reason     int
	Lag        float64
	Final      bool
	Stamp      int64
	Usage      map[string]*float64
	Try        int
}

type server struct {
	now     float64
	lists   map[int][]entry
	routers map[string]*host
	out     bytes.Buffer
}

// Serve answers batches until the input ends.
func Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<20)
	s := &server{lists: map[int][]entry{}, routers: map[string]*host{}}
	for {
		line, err := in.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if err := s.batch(line); err != nil {
				return err
			}
			if _, err := w.Write(s.out.Bytes()); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (s *server) batch(line []byte) error {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return fmt.Errorf("malformed batch: %w", err)
	}
	if b.Moment == nil {
		return fmt.Errorf("malformed batch: no moment")
	}
	s.now = *b.Moment / 1000
	s.out.Reset()
	s.out.WriteString(`{"output":[`)
	empty := s.out.Len()
	for _, one := range b.In {
		for name, body := range one {
			var ev event
			if err := json.Unmarshal(body, &ev); err != nil {
				return fmt.Errorf("malformed %s: %w", name, err)
			}
			if err := s.event(name, &ev); err != nil {
				return fmt.Errorf("malformed %s: %w", name, err)
			}
		}
	}
	if s.out.Len() > empty {
		s.out.Truncate(s.out.Len() - 1) // the last comma
	}
	s.out.WriteString("]}\n")
	return nil
}

func (s *server) event(name string, ev *event) (err error) {
	switch name {
	case "sheet":
		s.lists[ev.List] = ev.Lines
		return nil
	case "halt":
		delete(s.routers, ev.Router)
		return nil
	case "born":
		h := newHost(s, ev.Router)
		if err := h.start(ev); err != nil {
			return err
		}
		s.routers[ev.Router] = h
		return nil
	}
	h := s.routers[ev.Router]
	if h == nil {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			h.act("fault", "reasonText", fmt.Sprintf("%v: %s", p, debug.Stack()))
		}
	}()
	h.take(name, ev, s.lists)
	return nil
}
