package testserver

// This file owns the discovery: it hands out the list of the groups' nodes, and news of it.

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
	ln     net.Listener
	server *http.Server
	mu     sync.Mutex
	rev    int64
	list   []Entry
	news   chan struct{} // closed when the list changes
	faces  []*View

	every   time.Duration // an answer takes it as long, one after the other; 0: no time
	places  int           // calls that may wait for that: more are refused
	free    time.Time     // when it is done with those that wait
	refused int64
}

// LimitAnswers has it bear few callers: so many answers a second, and calls that wait for one. More are refused with 503. Watches
// cost nothing until they are answered.
func (d *Discovery) LimitAnswers(answers float64, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.every, d.places = time.Duration(float64(time.Second)/answers), waiting
}

// Refused tells how many calls were.
func (d *Discovery) Refused() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

// turn waits for a call's place; false: there is none.
func (d *Discovery) turn() bool {
	d.mu.Lock()
	now := time.Now()
	if d.every > 0 && d.free.Sub(now) > time.Duration(d.places)*d.every {
		d.refused++
		d.mu.Unlock()
		return false
	}
	if d.free.Before(now) {
		d.free = now
	}
	d.free = d.free.Add(d.every)
	wait := d.free.Sub(now)
	d.mu.Unlock()
	time.Sleep(wait)
	return true
}

// View is the discovery as one router sees it: at an address of its own, with endpoints of its own.
type View struct {
	d      *Discovery
	ln     net.Listener
	server *http.Server
	seen   func(Entry) Entry
	calls  atomic.Int64
	told   atomic.Int64 // the newest revision that went out
}

// Rev tells the newest revision.
func (d *Discovery) Rev() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rev
}

// NewView opens one. seen gives an entry the endpoint that the router is to use.
func (d *Discovery) NewView(seen func(Entry) Entry) (*View, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &View{d: d, ln: ln, seen: seen}
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		d.answer(w, r, f)
	})}
	go f.server.Serve(ln)
	d.mu.Lock()
	d.faces = append(d.faces, f)
	d.mu.Unlock()
	return f, nil
}

// Addr tells where it listens, Calls how many calls have come, SentRev the newest revision that went out.
func (f *View) Addr() string { return f.ln.Addr().String() }

func (f *View) Calls() int64 { return f.calls.Load() }

func (f *View) SentRev() int64 { return f.told.Load() }

// List is the list as JSON, as this router sees it.
func (f *View) List() json.RawMessage { return f.d.listed(f) }

// Entry is a node in the list, in discovery's form.
type Entry struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Group    int    `json:"pod_group"`
	State    string `json:"state"`
	Boot     int64  `json:"boot_ms"`
}

// NewDiscovery starts one with the nodes of groups.
func NewDiscovery(groups ...*Group) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{ln: ln, rev: 1, news: make(chan struct{})}
	for _, g := range groups {
		for _, n := range g.nodes {
			d.list = append(d.list, Entry{UID: n.Name, Endpoint: n.Addr(), Zone: cmp.Or(n.Zone, "a"), Group: g.Number, State: "Ready"})
		}
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(ln)
	return d, nil
}

// Addr tells where it listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Close ends it.
func (d *Discovery) Close() {
	d.server.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.faces {
		f.server.Close()
	}
}

// Add lists another node, which is ready.
func (d *Discovery) Add(n *Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, Entry{UID: n.Name, Endpoint: n.Addr(), Zone: cmp.Or(n.Zone, "a"), Group: n.group.Number, State: "Ready",
		Boot: time.Now().UnixMilli()})
	d.changed()
}

// changed makes a new revision of the list. Its lock is held.
func (d *Discovery) changed() {
	d.rev++
	close(d.news)
	d.news = make(chan struct{})
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
	d.changed()
}

// List is the list as JSON, as a router's configuration has it.
func (d *Discovery) List() json.RawMessage { return d.listed(nil) }

func (d *Discovery) listed(f *View) json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := slices.Clone(d.list)
	if f != nil {
		for i := range list {
			list[i] = f.seen(list[i])
		}
	}
	text, _ := json.Marshal(map[string]any{"rev": d.rev, "all": true, "targets": list})
	return text
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) { d.answer(w, r, nil) }

func (d *Discovery) answer(w http.ResponseWriter, r *http.Request, f *View) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	d.mu.Lock()
	rev, news := d.rev, d.news
	d.mu.Unlock()
	if rev <= from && hold > 0 {
		select {
		case <-news:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(hold) * time.Millisecond):
			if !d.turn() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.Write([]byte(`{"rev":` + strconv.FormatInt(rev, 10) + `,"all":false,"targets":[]}`))
			return
		}
	}
	if !d.turn() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Write(d.listed(f))
	if f != nil {
		d.mu.Lock()
		f.told.Store(d.rev)
		d.mu.Unlock()
	}
}
