package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"eiderway/control/failover"
	"eiderway/wire"
)

// slowThing is the thing whose read takes long; all others are read at once.
const slowThing = "slow"

// readServer is a server of a service in which nothing is written: it answers reads and STATUS, and sends heartbeats.
type readServer struct {
	deployment *deployment
	id         string
	address    string
	zone       string
	primary    bool
	work       time.Duration // of a read of slowThing
	listener   net.Listener
	stopped    chan struct{}

	mutex   sync.Mutex
	callSeq int
	ran     []readRun
}

// readRun is a read that the server ran.
type readRun struct {
	id        string
	began     time.Time
	ended     time.Time
	delivered bool // the answer was written to a connection that was still open
}

func startReadServer(d *deployment, id, address, zone string, primary bool, work time.Duration, beats func(*readServer)) (*readServer, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &readServer{
		deployment: d, id: id, address: address, zone: zone, primary: primary, work: work,
		listener: listener, stopped: make(chan struct{}),
	}
	go s.accept()
	go beats(s)
	return s, nil
}

func (s *readServer) stop() {
	close(s.stopped)
	_ = s.listener.Close()
}

func (s *readServer) accept() {
	for {
		network, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(network)
	}
}

func (s *readServer) serve(network net.Conn) {
	defer network.Close()
	reader := wire.NewReader(network)
	line, err := reader.ReadLine()
	if err != nil {
		return
	}
	connect, err := wire.ParseConnect(line)
	if err != nil || connect.Database != serviceName || connect.InstanceID != "" && connect.InstanceID != s.id {
		_, _ = network.Write(wire.AppendError(nil, wire.WrongNode, s.id))
		return
	}
	_, _ = network.Write(wire.AppendReady(nil, wire.Idle, s.position()))
	for {
		line, err := reader.ReadLine()
		if err != nil {
			return
		}
		request, err := wire.ParseRequest(line)
		if err != nil || request.Quit {
			return
		}
		if _, err := network.Write(wire.AppendAnswer(nil, s.answer(request))); err != nil {
			return
		}
		s.noteDelivered(request.ID)
	}
}

func (s *readServer) position() string {
	return wire.FormatPosition(failover.Position{Term: 1, Number: 1})
}

func (s *readServer) answer(request wire.Request) wire.Answer {
	answer := wire.Completed(wire.Idle)
	answer.Position = s.position()
	statement, err := wire.ParseInstanceStatement(request.Text)
	switch {
	case err != nil:
		return wire.Refusal(wire.Malformed, "", wire.Idle)
	case statement.Verb == wire.Fetch:
		run := readRun{id: request.ID, began: time.Now()}
		if statement.Key == slowThing {
			time.Sleep(s.work)
		}
		run.ended = time.Now()
		s.mutex.Lock()
		s.ran = append(s.ran, run)
		answer.Stamp = fmt.Sprintf("1.%s.%x", s.id, len(s.ran))
		s.mutex.Unlock()
		answer.Rows = []string{"row-" + statement.Key}
	case statement.Verb == wire.Status, statement.Verb == wire.Pause, statement.Verb == wire.Continue, statement.Verb == wire.StepDown:
		role := "replica"
		if s.primary {
			role = "primary"
		}
		answer.Rows = []string{role + " 1 1.1 1 0 0 1"}
	}
	return answer
}

func (s *readServer) noteDelivered(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for index := range s.ran {
		if s.ran[index].id == id {
			s.ran[index].delivered = true
		}
	}
}

// runOf returns the run of a read.
func (s *readServer) runOf(id string) (readRun, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, run := range s.ran {
		if run.id == id {
			return run, true
		}
	}
	return readRun{}, false
}

// beat sends heartbeats to the controllers, to the next one if one doesn't acknowledge it.
func (s *readServer) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		s.beatAnywhere(client, 0)
		select {
		case <-s.stopped:
			return
		case <-time.After(beatIntervalMs * time.Millisecond):
		}
	}
}

// beatAnywhere sends a heartbeat to one controller after the other until one acknowledges it.
func (s *readServer) beatAnywhere(client *http.Client, warmupLeft time.Duration) {
	for _, control := range s.deployment.controls() {
		if s.post(client, control, "heartbeat", s.nextBeat(warmupLeft)) {
			return
		}
	}
}

// nextBeat returns the body of the next heartbeat.
func (s *readServer) nextBeat(warmupLeft time.Duration) []byte {
	s.callSeq++
	role := "replica"
	if s.primary {
		role = "primary"
	}
	body, _ := json.Marshal(map[string]any{
		"targetService": serviceName, "address": s.address, "zone": s.zone, "configRevision": "v1", "slotCount": 7,
		"operState": "ready", "warmupLeftMs": warmupLeft.Milliseconds(), "dbRole": role, "callSeq": s.callSeq,
	})
	return body
}

// post sends a call of the server to a controller, follows redirects, and reports whether it was acknowledged.
func (s *readServer) post(client *http.Client, control, action string, body []byte) bool {
	answer, err := client.Post("http://"+control+"/instances/"+s.id+"/"+action, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return strings.HasPrefix(answer.Status, "2")
}
