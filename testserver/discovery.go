package testserver

// This file simulates the discovery service: it serves the list of the groups' nodes, also to long polls that wait for a change.

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Discovery serves a list of nodes over HTTP.
type Discovery struct {
	ln      net.Listener
	server  *http.Server
	mu      sync.Mutex
	rev     int64
	list    []Entry
	changed chan struct{} // closed when the list changes
	views   []*View

	interval   time.Duration // time per answer; answers are given one at a time; 0: no limit
	maxWaiting int           // calls that may queue for an answer: more are refused
	idleAt     time.Time     // when the queued calls will have been answered
	refused    int64
}

// LimitAnswers limits the answers a second and the calls that may queue for one. Further calls are refused with 503. Long
// polls count only once they are answered.
func (d *Discovery) LimitAnswers(answersPerSecond float64, maxWaiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.interval, d.maxWaiting = time.Duration(float64(time.Second)/answersPerSecond), maxWaiting
}

// Refused returns how many calls were refused because too many were queued.
func (d *Discovery) Refused() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

// waitForTurn queues a call and waits for its turn to be answered. It returns false if the queue is full.
func (d *Discovery) waitForTurn() bool {
	d.mu.Lock()
	now := time.Now()
	if d.interval > 0 && d.idleAt.Sub(now) > time.Duration(d.maxWaiting)*d.interval {
		d.refused++
		d.mu.Unlock()
		return false
	}
	if d.idleAt.Before(now) {
		d.idleAt = now
	}
	d.idleAt = d.idleAt.Add(d.interval)
	wait := d.idleAt.Sub(now)
	d.mu.Unlock()
	time.Sleep(wait)
	return true
}

// View is the discovery service as one router sees it, with its own address and its own endpoints for the nodes.
type View struct {
	d       *Discovery
	ln      net.Listener
	server  *http.Server
	rewrite func(Entry) Entry
	calls   atomic.Int64
	sentRev atomic.Int64 // newest revision that was sent
}

// Rev returns the newest revision of the list.
func (d *Discovery) Rev() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rev
}

// NewView starts a view. The function rewrite sets the endpoint of an entry to the one that the router is to use.
func (d *Discovery) NewView(rewrite func(Entry) Entry) (*View, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &View{d: d, ln: ln, rewrite: rewrite}
	v.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.calls.Add(1)
		d.answer(w, r, v)
	})}
	go v.server.Serve(ln)
	d.mu.Lock()
	d.views = append(d.views, v)
	d.mu.Unlock()
	return v, nil
}

// Addr returns the address that the view listens on.
func (v *View) Addr() string { return v.ln.Addr().String() }

// Calls returns the number of calls received.
func (v *View) Calls() int64 { return v.calls.Load() }

// SentRev returns the newest revision that was sent.
func (v *View) SentRev() int64 { return v.sentRev.Load() }

// List returns the list as JSON, as this router sees it.
func (v *View) List() json.RawMessage { return v.d.encodeList(v) }

// Entry is a node in the list, in the JSON format of the discovery service.
type Entry struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Group    int    `json:"pod_group"`
	State    string `json:"state"`
	Boot     int64  `json:"boot_ms"`
}

// NewDiscovery starts a discovery service that lists the nodes of the groups, all ready.
func NewDiscovery(groups ...*Group) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{ln: ln, rev: 1, changed: make(chan struct{})}
	for _, g := range groups {
		for _, n := range g.nodes {
			d.list = append(d.list, Entry{UID: n.Name, Endpoint: n.Addr(), Zone: cmp.Or(n.Zone, "a"), Group: g.Number, State: "Ready"})
		}
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(ln)
	return d, nil
}

// Addr returns the address that the service listens on.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Close stops the service and its views.
func (d *Discovery) Close() {
	d.server.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.views {
		v.server.Close()
	}
}

// Add adds a ready node to the list.
func (d *Discovery) Add(n *Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, Entry{UID: n.Name, Endpoint: n.Addr(), Zone: cmp.Or(n.Zone, "a"), Group: n.group.Number, State: "Ready",
		Boot: time.Now().UnixMilli()})
	d.publish()
}

// publish makes a new revision of the list and wakes the long polls. The caller holds d.mu.
func (d *Discovery) publish() {
	d.rev++
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetState changes the state of a node: Ready, Terminating or Gone.
func (d *Discovery) SetState(uid, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.list {
		if d.list[i].UID == uid {
			d.list[i].State = state
		}
	}
	d.publish()
}

// List returns the list as JSON, in the form that a router's configuration takes.
func (d *Discovery) List() json.RawMessage { return d.encodeList(nil) }

// encodeList returns the list as JSON, as the view shows it if there is one.
func (d *Discovery) encodeList(v *View) json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := slices.Clone(d.list)
	if v != nil {
		for i := range list {
			list[i] = v.rewrite(list[i])
		}
	}
	text, _ := json.Marshal(map[string]any{"rev": d.rev, "all": true, "targets": list})
	return text
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) { d.answer(w, r, nil) }

// answer sends the list. A call that already has the newest revision is held for up to hold_ms until the list changes.
func (d *Discovery) answer(w http.ResponseWriter, r *http.Request, v *View) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	d.mu.Lock()
	rev, changed := d.rev, d.changed
	d.mu.Unlock()
	if rev <= from && hold > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(hold) * time.Millisecond):
			if !d.waitForTurn() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.Write([]byte(`{"rev":` + strconv.FormatInt(rev, 10) + `,"all":false,"targets":[]}`))
			return
		}
	}
	if !d.waitForTurn() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Write(d.encodeList(v))
	if v != nil {
		d.mu.Lock()
		v.sentRev.Store(d.rev)
		d.mu.Unlock()
	}
}
