package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"eiderway/control/failover"
	"eiderway/wire"
)

// group is a primary with its replicas, and the platform that promotes one of them. Unlike the project's own stand-in, a server that has
// crashed comes back under a new instance id, at its address and with its log.
type group struct {
	name     string
	controls []string
	record   *record
	running  sync.WaitGroup

	mutex    sync.Mutex
	changed  *sync.Cond
	ended    bool
	servers  []*server
	term     uint64
	stamps   int
	platform *http.Server
}

// server is a database server. The group's lock guards its fields.
type server struct {
	group    *group
	address  string
	zone     string
	lives    int
	id       string
	isUp     bool
	primary  bool
	paused   bool
	term     uint64
	termHeld uint64
	log      []failover.Position
	listener net.Listener
	open     map[net.Conn]struct{}
	callSeq  uint64
}

const (
	replicationDelay = 5 * time.Millisecond
	promoteAfter     = 600 * time.Millisecond
	beatEvery        = 1200 * time.Millisecond
	serverSlots      = 10
	queryWork        = time.Millisecond
)

func newGroup(r *record, name string, controls []string) *group {
	g := &group{name: name, controls: controls, record: r, term: 1}
	g.changed = sync.NewCond(&g.mutex)
	return g
}

// add starts a server. The first one is the primary.
func (g *group) add(address, zone string) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	added := &server{group: g, address: address, zone: zone, primary: len(g.servers) == 0, term: 1, termHeld: 1}
	g.servers = append(g.servers, added)
	return added.begin()
}

// begin starts a life of the server. The lock is held.
func (s *server) begin() error {
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.lives++
	s.id = fmt.Sprintf("db-%s-%d", s.zone, s.lives)
	s.isUp, s.paused, s.callSeq, s.listener, s.open = true, false, 0, listener, map[net.Conn]struct{}{}
	s.group.record.add("%s is up at %s, primary: %v, term %d, log %d", s.id, s.address, s.primary, s.term, len(s.log))
	s.group.running.Go(func() { s.accept(listener) })
	id := s.id
	s.group.running.Go(func() { s.beat(id) })
	return nil
}

// crash ends the server's process, and starts it again after a while.
func (s *server) crash(down time.Duration) error {
	s.group.mutex.Lock()
	s.group.record.add("%s crashes", s.id)
	s.end()
	s.group.mutex.Unlock()
	time.Sleep(down)
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	s.primary = s.primary && s.term == s.group.term // a replica, if another one was promoted
	return s.begin()
}

// end stops the server. The lock is held.
func (s *server) end() {
	s.isUp = false
	_ = s.listener.Close()
	for connection := range s.open {
		_ = connection.Close()
	}
	s.group.changed.Broadcast()
}

func (g *group) stop() {
	g.mutex.Lock()
	g.ended = true
	for _, one := range g.servers {
		if one.isUp {
			one.end()
		}
	}
	g.changed.Broadcast()
	g.mutex.Unlock()
	if g.platform != nil {
		_ = g.platform.Close()
	}
	g.running.Wait()
}

func (s *server) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		s.group.mutex.Lock()
		s.open[connection] = struct{}{}
		id := s.id
		s.group.mutex.Unlock()
		s.group.running.Go(func() { s.serve(connection, id) })
	}
}

func (s *server) serve(connection net.Conn, id string) {
	defer connection.Close()
	reader := wire.NewReader(connection)
	line, err := reader.ReadLine()
	if err != nil {
		return
	}
	connect, err := wire.ParseConnect(line)
	if err != nil {
		return
	}
	if connect.Database != s.group.name || connect.InstanceID != "" && connect.InstanceID != id {
		_, _ = connection.Write(wire.AppendError(nil, wire.WrongNode, id))
		return
	}
	_, _ = connection.Write(wire.AppendReady(nil, wire.Idle, wire.NoPosition))
	for {
		line, err := reader.ReadLine()
		if err != nil {
			return
		}
		request, err := wire.ParseRequest(line)
		if err != nil || request.Quit {
			return
		}
		time.Sleep(queryWork)
		answer, ok := s.execute(request, id)
		if !ok {
			return
		}
		if _, err := connection.Write(wire.AppendAnswer(nil, answer)); err != nil {
			return
		}
	}
}

// execute runs a single statement; this stand-in has no transactions. It returns false if the connection ends without an answer.
func (s *server) execute(request wire.Request, id string) (wire.Answer, bool) {
	statement, err := wire.ParseInstanceStatement(request.Text)
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	if s.id != id || !s.isUp {
		return wire.Answer{}, false
	}
	if err != nil {
		return s.refusal(wire.Malformed), true
	}
	switch statement.Verb {
	case wire.Pause:
		if !s.primary && statement.Term > s.termHeld {
			s.termHeld, s.paused = statement.Term, true
		}
	case wire.Continue:
		s.paused = false
		s.follow()
	case wire.StepDown:
		if s.primary && s.term < statement.Term {
			s.primary, s.termHeld = false, statement.Term
			s.group.record.add("%s steps down", s.id)
		}
	case wire.Status:
	case wire.Fetch:
		if statement.HasAfter && s.logEnd().Less(statement.After) {
			return s.refusal(wire.Lagging), true
		}
		return s.stamped(), true
	case wire.Put:
		return s.put(id)
	case wire.Reset, wire.SetOpt, wire.Prepare, wire.Release:
		return s.completed(), true
	default:
		return s.refusal(wire.Malformed), true
	}
	answer := s.completed()
	answer.Rows = []string{wire.FormatStatus(failover.Status{Primary: s.primary, Term: s.term, Received: s.logEnd(), TermHeld: s.termHeld, Connections: len(s.open)})}
	return answer, true
}

// logEnd returns the end of the log.
func (s *server) logEnd() failover.Position {
	if len(s.log) == 0 {
		return failover.Position{}
	}
	return s.log[len(s.log)-1]
}

func (s *server) position() string {
	if len(s.log) == 0 {
		return wire.NoPosition
	}
	return wire.FormatPosition(s.logEnd())
}

func (s *server) completed() wire.Answer {
	answer := wire.Completed(wire.Idle)
	answer.Position = s.position()
	return answer
}

func (s *server) refusal(code wire.Code) wire.Answer {
	answer := wire.Refusal(code, "", wire.Idle)
	answer.Position = s.position()
	return answer
}

func (s *server) stamped() wire.Answer {
	s.group.stamps++
	answer := s.completed()
	answer.Stamp = fmt.Sprintf("%d.%s.%d", s.term, s.id, s.group.stamps)
	return answer
}

// put commits a write, and waits until a replica has received it. The lock is held, but not while it waits.
func (s *server) put(id string) (wire.Answer, bool) {
	if !s.primary {
		return s.refusal(wire.ReadOnly), true
	}
	committed := failover.Position{Term: s.term, Number: uint64(len(s.log) + 1)}
	s.log = append(s.log[:len(s.log):len(s.log)], committed)
	time.AfterFunc(replicationDelay, func() {
		s.group.mutex.Lock()
		defer s.group.mutex.Unlock()
		for _, other := range s.group.servers {
			other.follow()
		}
	})
	for {
		if s.group.ended || s.id != id || !s.isUp || !s.primary {
			return wire.Answer{}, false
		}
		for _, other := range s.group.servers {
			if other != s && other.isUp && !other.logEnd().Less(committed) {
				return s.stamped(), true
			}
		}
		s.group.changed.Wait()
	}
}

// follow copies the log of the primary of the highest term. The lock is held.
func (s *server) follow() {
	if s.primary || !s.isUp {
		return
	}
	for _, other := range s.group.servers {
		if !other.primary || !other.isUp || other.term < s.term || s.paused && other.term <= s.term {
			continue
		}
		s.paused, s.term, s.log = false, other.term, other.log[:len(other.log):len(other.log)]
		s.termHeld = max(s.termHeld, s.term)
	}
	s.group.changed.Broadcast()
}

// beat sends heartbeats until this life of the server ends.
func (s *server) beat(id string) {
	target := ""
	for {
		s.group.mutex.Lock()
		s.callSeq++
		role := "replica"
		if s.primary {
			role = "primary"
		}
		body, _ := json.Marshal(map[string]any{
			"targetService": s.group.name, "address": s.address, "zone": s.zone, "configRevision": "v1", "slotCount": serverSlots,
			"operState": "ready", "warmupLeftMs": 0, "dbRole": role, "callSeq": s.callSeq,
		})
		isOver := s.group.ended || s.id != id || !s.isUp
		s.group.mutex.Unlock()
		if isOver {
			return
		}
		target = s.group.call(target, id, body)
		for waited := time.Duration(0); waited < beatEvery; waited += 50 * time.Millisecond {
			time.Sleep(50 * time.Millisecond)
			s.group.mutex.Lock()
			turned := s.primary != (role == "primary")
			isOver := s.group.ended || s.id != id || !s.isUp
			s.group.mutex.Unlock()
			if isOver {
				return
			}
			if turned {
				break
			}
		}
	}
}

// call sends a heartbeat to the target, or else to each controller until one acknowledges it, and returns the target of the next one.
func (g *group) call(target, id string, body []byte) string {
	targets := append([]string{}, g.controls...)
	rand.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
	if target != "" {
		targets = append([]string{target}, targets...)
	}
	for _, address := range targets {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		answer, err := client.Post("http://"+address+"/instances/"+url.PathEscape(id)+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		content, _ := io.ReadAll(io.LimitReader(answer.Body, 4096))
		_ = answer.Body.Close()
		var acknowledged struct {
			BeatTarget string `json:"beatTarget"`
		}
		if answer.StatusCode/100 == 2 {
			_ = json.Unmarshal(content, &acknowledged)
			return acknowledged.BeatTarget
		}
	}
	return ""
}

// servePlatform serves POST /failover: the server that is named leads the next term after a while.
func (g *group) servePlatform(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", func(writer http.ResponseWriter, request *http.Request) {
		var call struct {
			InstanceID string `json:"instanceId"`
		}
		_ = json.NewDecoder(request.Body).Decode(&call)
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.record.add("platform: asked to promote %s", call.InstanceID)
		for _, one := range g.servers {
			if one.id == call.InstanceID && one.isUp {
				time.AfterFunc(promoteAfter, func() { g.promote(one, call.InstanceID) })
				return
			}
		}
		writer.WriteHeader(http.StatusConflict)
	})
	g.platform = &http.Server{Handler: mux}
	g.running.Go(func() { _ = g.platform.Serve(listener) })
	return nil
}

func (g *group) promote(target *server, id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if target.id != id || !target.isUp || target.primary && target.term == g.term {
		return
	}
	g.term = max(g.term+1, target.termHeld)
	for _, other := range g.servers {
		if other != target && other.primary {
			other.primary = false // it loses the lead in that moment
		}
	}
	target.primary, target.paused, target.term, target.termHeld = true, false, g.term, g.term
	g.record.add("%s leads in term %d", id, g.term)
	for _, other := range g.servers {
		other.follow()
	}
}
