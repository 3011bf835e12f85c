// Package simwire connects many routers to the simulator: it turns the simulator's events into calls of the splitter,
// and the calls that the splitter makes into actions on the wire. It makes no routing decisions.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// batch is one line of the wire, decoded in one pass.
type batch struct {
	Moment *float64 `json:"moment"`
	In     []item   `json:"in"`
}

// item is one event of a batch; the field that is present tells its kind.
type item struct {
	Sheet      *event `json:"sheet"`
	Members    *event `json:"members"`
	Born       *event `json:"born"`
	Halt       *event `json:"halt"`
	Ingress    *event `json:"ingress"`
	Ring       *event `json:"ring"`
	Gone       *event `json:"gone"`
	Checked    *event `json:"checked"`
	Headers    *event `json:"headers"`
	AttemptEnd *event `json:"attemptEnd"`
}

// entry is one node in a list of members.
type entry struct {
	Head      float64 `json:"head"`
	Set       *int    `json:"set"`
	Lifecycle string  `json:"lifecycle"`
	Node      string  `json:"node"`
	Born      float64 `json:"born"`
	Site      string  `json:"site"`
}

// event holds the fields of all kinds of events; each kind has its own names on the wire.
type event struct {
	Router     string              `json:"router"`
	RandomSeed int64               `json:"randomSeed"`
	Facts      json.RawMessage     `json:"facts"`
	List       int                 `json:"list"`
	Lines      []entry             `json:"lines"`
	Kind       string              `json:"kind"`
	Txn        string              `json:"txn"`
	TokenMs    *float64            `json:"tokenMs"`
	ValidUntil float64             `json:"validUntil"`
	Sess       int64               `json:"sess"`
	Resent     bool                `json:"resent"`
	Class      string              `json:"class"`
	ClusterNo  int                 `json:"clusterNo"`
	Mark       int                 `json:"mark"`
	Node       string              `json:"node"`
	Reason     int                 `json:"reason"`
	Lag        float64             `json:"lag"`
	Final      bool                `json:"final"`
	Stamp      int64               `json:"stamp"`
	Usage      map[string]*float64 `json:"usage"`
	Try        int                 `json:"try"`
}

type server struct {
	now     float64
	lists   map[int][]entry
	routers map[string]*host
	out     bytes.Buffer
}

// Serve reads batches of events from r, one a line, and writes the actions for each to w, until the input ends.
func Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<20)
	s := &server{lists: map[int][]entry{}, routers: map[string]*host{}}
	for {
		line, err := in.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if err := s.handleBatch(line); err != nil {
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

func (s *server) handleBatch(line []byte) error {
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
	for i := range b.In {
		if err := s.handleItem(&b.In[i]); err != nil {
			return err
		}
	}
	if s.out.Len() > empty {
		s.out.Truncate(s.out.Len() - 1) // drop the last comma
	}
	s.out.WriteString("]}\n")
	return nil
}

func (s *server) handleItem(it *item) error {
	switch {
	case it.Sheet != nil:
		s.lists[it.Sheet.List] = it.Sheet.Lines
		return nil
	case it.Halt != nil:
		delete(s.routers, it.Halt.Router)
		return nil
	case it.Born != nil:
		h := newHost(s, it.Born.Router)
		if err := h.start(it.Born); err != nil {
			return fmt.Errorf("malformed start of a router: %w", err)
		}
		s.routers[h.name] = h
		return nil
	}
	for _, e := range []struct {
		ev     *event
		handle func(*host, *event)
	}{{it.Ring, (*host).fireTimer}, {it.Ingress, (*host).handleArrival}, {it.AttemptEnd, (*host).handleAttemptEnd},
		{it.Checked, (*host).handleProbeResult}, {it.Members, (*host).handleMembers}, {it.Gone, (*host).handleClientGone},
		{it.Headers, (*host).handleAnswerStart}} {
		if e.ev != nil {
			if h := s.routers[e.ev.Router]; h != nil {
				h.dispatch(e.ev, e.handle)
			}
		}
	}
	return nil
}
