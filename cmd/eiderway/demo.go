package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"eiderway/proxy"
	"eiderway/testing/loopback"
	"eiderway/testserver"
)

type demo struct {
	For     time.Duration `help:"How long the load lasts." default:"3s"`
	Clients int           `help:"Clients." default:"8"`
	Seed    int64         `help:"Of the load." default:"1"`
}

const demoWait = 5 * time.Second // for an answer, or for the router to start

// demoSettings are those of the platform's side: one router, a group, no txn types but the classed ones.
const demoSettings = `{"balancers": 1, "me": 0, "myZone": "a", "zones": ["a"], "membershipMode": "subscribe", "grades": [],
 "extra": {"needsByClass": [], "lagAllowed": [], "whenBehind": "none"},
 "limits": {"connectTimeout": 250, "idleClose": 15000, "mayCancel": true, "probes": true, "sendCap": 8},
 "telemetry": {"how": "probe", "names": ["x0", "x1"]},
 "invariants": {"coldFrom": 0.2, "warmAfter": 18000, "overloadFactor": 2.5, "fall": 1500}}`

// demoLoad is what its clients send: a share in a hundred, and a statement of a number.
var demoLoad = []struct {
	share int
	text  string
}{{40, "SELECT body FROM objects WHERE oid = '%d'"}, {20, "SELECT count(*) FROM objects"},
	{10, "WITH o AS (SELECT * FROM objects WHERE oid = '%d') SELECT body FROM o"}, {5, "SELECT random() FROM objects LIMIT 1 -- %d"},
	{15, "INSERT INTO objects (oid, body) VALUES ('%d', 'new')"}, {5, "SELECT nextval('tickets') /* %d */"},
	{5, "SELECT body FROM objects WHERE oid = '%d' FOR UPDATE"}}

// Run starts a discovery, a primary with two replicas, and a router, all on loopback, and shows what is served where.
func (d *demo) Run() error {
	group, err := testserver.NewGroup(0, 2)
	if err != nil {
		return err
	}
	defer group.Close()
	group.Lag = 20 * time.Millisecond
	group.Writes = func(text string) bool {
		return strings.HasPrefix(text, "INSERT") || strings.Contains(text, "nextval") || strings.Contains(text, "FOR UPDATE")
	}
	list, err := testserver.NewDiscovery(group)
	if err != nil {
		return err
	}
	defer list.Close()
	dir, err := os.MkdirTemp("", "eiderway-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	cfg, err := d.configure(dir, list)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- proxy.Run(ctx, cfg, log) }()
	fmt.Printf("a router on %s, a primary and two replicas behind it; %d clients for %s\n", cfg.Listen, d.Clients, d.For)
	served, failed, err := d.load(cfg.Listen)
	stop()
	if err := errors.Join(err, <-done); err != nil {
		return err
	}
	d.report(group, served, failed)
	if wrong := testserver.Misplaced(group.History(), group.Writes); len(wrong) > 0 {
		return fmt.Errorf("%d writes were sent to replicas, the first: %s", len(wrong), wrong[0].Text)
	}
	if failed > 0 || served == 0 {
		return fmt.Errorf("%d statements were served, %d were not", served, failed)
	}
	fmt.Println("no write was sent to a replica, every statement was answered")
	return nil
}

func (d *demo) configure(dir string, list *testserver.Discovery) (*proxy.Config, error) {
	port, err := loopback.ReservePort() // until the program ends
	if err != nil {
		return nil, err
	}
	addr := port.Address()
	text, err := json.Marshal(map[string]any{"name": "demo", "listen": addr, "discovery": list.Addr(), "seed": "1",
		"known": list.List(), "settings": json.RawMessage(demoSettings)})
	if err != nil {
		return nil, err
	}
	path, own := filepath.Join(dir, "config.json"), filepath.Join(dir, "eiderway.yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(own, []byte("classing: {}\n"), 0o600); err != nil {
		return nil, err
	}
	cfg, err := proxy.ReadConfig(path)
	if err != nil {
		return nil, err
	}
	return cfg, cfg.ReadOwn(own)
}

// load has the clients ask until the time is up.
func (d *demo) load(addr string) (served, failed int, err error) {
	var g errgroup.Group
	ok, bad := make([]int, d.Clients), make([]int, d.Clients)
	end := time.Now().Add(d.For)
	for i := range d.Clients {
		g.Go(func() error {
			rng := rand.New(rand.NewSource(d.Seed + int64(i)))
			c, err := testserver.Dial(addr, demoWait)
			for try := time.Now().Add(demoWait); err != nil && time.Now().Before(try); {
				time.Sleep(10 * time.Millisecond) // the router is starting
				c, err = testserver.Dial(addr, demoWait)
			}
			if err != nil {
				return err
			}
			defer c.Close()
			for time.Now().Before(end) {
				text := d.pick(rng)
				a, err := c.Ask(text, demoWait)
				if err != nil {
					return err
				}
				if a.Code == "" {
					ok[i]++
				} else if bad[i]++; bad[i] == 1 {
					fmt.Printf("%s: %s %s\n", text, a.Code, a.Text)
				}
			}
			return nil
		})
	}
	err = g.Wait()
	for i := range ok {
		served, failed = served+ok[i], failed+bad[i]
	}
	return served, failed, err
}

func (d *demo) pick(rng *rand.Rand) string {
	n := rng.Intn(100)
	for _, l := range demoLoad {
		if n -= l.share; n < 0 {
			if strings.Contains(l.text, "%d") {
				return fmt.Sprintf(l.text, rng.Intn(1000))
			}
			return l.text
		}
	}
	return "SELECT 1"
}

// report shows what ran where, by the beginning of the statement.
func (d *demo) report(group *testserver.Group, served, failed int) {
	ran := map[string]map[string]int{}
	for _, r := range group.History() {
		form := strings.NewReplacer("0", "", "1", "", "2", "", "3", "", "4", "", "5", "", "6", "", "7", "", "8", "", "9", "").Replace(r.Text)
		if ran[form] == nil {
			ran[form] = map[string]int{}
		}
		ran[form][r.Node]++
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprint(table, "STATEMENT")
	for i, n := range group.Nodes() {
		fmt.Fprintf(table, "\t%s", map[bool]string{true: "primary", false: "replica " + n.Name}[i == 0])
	}
	fmt.Fprintln(table)
	var forms []string
	for f := range ran {
		forms = append(forms, f)
	}
	slices.Sort(forms)
	for _, f := range forms {
		fmt.Fprint(table, f)
		for _, n := range group.Nodes() {
			fmt.Fprintf(table, "\t%d", ran[f][n.Name])
		}
		fmt.Fprintln(table)
	}
	table.Flush()
	fmt.Printf("%d statements served, %d not\n", served, failed)
}
