// Command eiderexport hands a router's counters to Prometheus: it asks the router's admin socket each time it is asked
// itself. It is a program of its own, so that the library costs routers nothing.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/common/expfmt"

	"eiderway/proxy"
)

const answerIn = 2 * time.Second // a router answers by then

// router is a collector that asks a router. What it tells is not described before: it depends on what is on there.
type router struct{ socket string }

func (router) Describe(chan<- *prometheus.Desc) {}

func (r router) Collect(out chan<- prometheus.Metric) {
	counters, err := r.ask()
	if err != nil {
		out <- prometheus.NewInvalidMetric(prometheus.NewDesc("eiderway_up", "The router's admin socket answers.", nil, nil), err)
		return
	}
	for _, c := range counters {
		var names, values []string
		for i := 0; i+1 < len(c.Labels); i += 2 {
			names, values = append(names, c.Labels[i]), append(values, c.Labels[i+1])
		}
		out <- prometheus.MustNewConstMetric(prometheus.NewDesc(c.Name, c.Help, names, nil), prometheus.CounterValue, float64(c.Value), values...)
	}
}

func (r router) ask() (counters []proxy.Counter, err error) {
	nc, err := net.DialTimeout("unix", r.socket, answerIn)
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(answerIn))
	if _, err := fmt.Fprintln(nc, "counters"); err != nil {
		return nil, err
	}
	return counters, json.NewDecoder(nc).Decode(&counters)
}

func main() {
	var cli struct {
		Socket string `help:"The router's admin socket." required:"" type:"path"`
		Listen string `help:"Serve /metrics on this address; without it the counters are printed once."`
	}
	k := kong.Parse(&cli, kong.Name("eiderexport"), kong.Description("Hands a router's counters to Prometheus."))
	r := prometheus.NewRegistry()
	r.MustRegister(router{cli.Socket})
	if cli.Listen == "" {
		families, err := r.Gather()
		k.FatalIfErrorf(err)
		for _, f := range families {
			_, err := expfmt.MetricFamilyToText(os.Stdout, f)
			k.FatalIfErrorf(err)
		}
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	s := &http.Server{Addr: cli.Listen, Handler: mux, ReadHeaderTimeout: answerIn}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, func() { s.Close() })
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		k.FatalIfErrorf(err)
	}
}
