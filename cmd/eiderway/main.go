// Command eiderway is a router: it splits reads and writes of a database cluster between primaries and
// replicas.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"eiderway/proxy"
)

var version = "dev" // set by the linker in releases

type serve struct {
	Config   string `help:"Configuration file (JSON)." env:"PROXY_CONFIG" required:"" type:"path"`
	Settings string `help:"Our own settings (YAML)." env:"EIDERWAY_SETTINGS" type:"path"`
	Level    string `help:"Least level of log lines." enum:"debug,info,warn,error" default:"info"`
}

func (s *serve) Run() error {
	log := logrus.New()
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return err
	}
	log.SetLevel(level)
	cfg, err := proxy.ReadConfig(s.Config)
	if err != nil {
		return err
	}
	if err := cfg.ReadOwn(s.Settings); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return proxy.Run(ctx, cfg, log)
}

type check struct {
	Config   string `arg:"" help:"Configuration file (JSON)." env:"PROXY_CONFIG" type:"path"`
	Settings string `help:"Our own settings (YAML)." env:"EIDERWAY_SETTINGS" type:"path"`
}

func (c *check) Run() error {
	cfg, err := proxy.ReadConfig(c.Config)
	if err != nil {
		return err
	}
	if err := cfg.ReadOwn(c.Settings); err != nil {
		return err
	}
	fmt.Printf("%s: router %s on %s, %d nodes known\n", c.Config, cfg.Name, cfg.Listen, len(cfg.Known.Targets))
	return nil
}

type showVersion struct{}

func (showVersion) Run() error {
	fmt.Println("eiderway", version)
	if info, ok := debug.ReadBuildInfo(); ok {
		fmt.Println(info.GoVersion)
	}
	return nil
}

func main() {
	var cli struct {
		Serve   serve       `cmd:"" help:"Run a router until SIGTERM; SIGUSR1 prints its counters."`
		Check   check       `cmd:"" help:"Read a configuration, say what is wrong with it, and end."`
		Class   class       `cmd:"" help:"Tell what statements are; fails where a -- expect: line in the file is not met."`
		Shapes  shapes      `cmd:"" help:"Ask a router for the shapes of statements that it knows."`
		Peers   peers       `cmd:"" help:"Ask a router for its peers, and what is believed of nodes."`
		Key     key         `cmd:"" help:"Keys of instances that speak to each other."`
		Lease   leaseCmd    `cmd:"" help:"Tasks that one router of the tier does at a time."`
		Drain   drainCmd    `cmd:"" help:"Have a router's clients leave, in its turn, and tell how far that is."`
		Zone    zoneCmd     `cmd:"" help:"Zones that all routers leave and return to together."`
		Demo    demo        `cmd:"" help:"Run a small cluster of stand-ins and a router on loopback, and show what is served where."`
		Version showVersion `cmd:"" help:"Show the version."`
	}
	k := kong.Parse(&cli, kong.Name("eiderway"),
		kong.Description("A read and write splitter for replicated database clusters."))
	err := k.Run()
	if e := (exit{}); errors.As(err, &e) {
		fmt.Fprintln(os.Stderr, "eiderway:", e.text)
		os.Exit(e.code)
	}
	k.FatalIfErrorf(err)
}
