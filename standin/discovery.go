package standin

// This file owns the discovery: it hands out the list of the groups' nodes, and news of it.

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
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
}

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
			d.list = append(d.list, Entry{UID: n.Name, Endpoint: n.Addr(), Zone: "a", Group: g.Number, State: "Ready"})
		}
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(ln)
	return d, nil
}

// Addr tells where it listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Close ends it.
func (d *Discovery) Close() { d.server.Close() }

// Set changes the state of a node: Ready, Terminating or Gone.
func (d *Discovery) Set(uid, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.list {
		if d.list[i].UID == uid {
			d.list[i].State = state
		}
	}
	d.rev++
	close(d.news)
	d.news = make(chan struct{})
}

// List is the list as JSON, as a router's configuration has it.
func (d *Discovery) List() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"rev": d.rev, "all": true, "targets": d.list})
	return text
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
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
			w.Write([]byte(`{"rev":` + strconv.FormatInt(rev, 10) + `,"all":false,"targets":[]}`))
			return
		}
	}
	w.Write(d.List())
}
