// Package metrics exposes the metrics of a process in the text format of Prometheus. They are gathered on request only, so metrics that
// nobody reads cost no more than a listening socket.
package metrics

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
)

// Kind is the type of a metric.
type Kind int

const (
	// Counter never falls while the process runs.
	Counter Kind = iota
	// Gauge may rise and fall.
	Gauge
)

// Sample is the value of a metric at the time of a request.
type Sample struct {
	Name  string // without the prefix that all metrics share
	Help  string
	Kind  Kind
	Value float64
	Label string // value of the "of" label: what the sample belongs to, such as a service; "" for the whole process
}

// NewGauge returns a gauge of the whole process.
func NewGauge(name, help string, value float64) Sample {
	return Sample{Name: name, Help: help, Kind: Gauge, Value: value}
}

// NewLabeledGauge returns a gauge of a part of the process, such as a service, which the label names.
func NewLabeledGauge(name, help, label string, value float64) Sample {
	return Sample{Name: name, Help: help, Kind: Gauge, Value: value, Label: label}
}

// BoolValue returns the value of a gauge for a condition: 1 if it holds, else 0.
func BoolValue(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// Source returns the current samples. It must be safe for concurrent use.
type Source func() []Sample

const (
	prefix       = "eidersystem_"
	labelName    = "of"
	serveTimeout = 2 * time.Second
)

// Endpoint is where metrics are exposed: a port of the machine's own address, and a path.
type Endpoint struct {
	Port uint16
	Path string
}

// ParseEndpoint parses PORT/PATH, such as 9464/metrics.
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, found := strings.Cut(text, "/")
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || !found || path == "" {
		return Endpoint{}, eris.Errorf("metrics: %q: want PORT/PATH, such as 9464/metrics", text)
	}
	return Endpoint{Port: uint16(number), Path: "/" + path}, nil
}

// Serve exposes the metrics at the address until the context ends. It returns once it listens.
func Serve(ctx context.Context, ip string, endpoint Endpoint, source Source) error {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", netip.AddrPortFrom(address, endpoint.Port).String())
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	server := &http.Server{Handler: handler(endpoint.Path, source), ReadHeaderTimeout: serveTimeout, WriteTimeout: serveTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

func handler(path string, source Source) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{source})
	routes := http.NewServeMux()
	routes.Handle("GET "+path, promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true}))
	return routes
}

// collector passes the samples of a source to Prometheus. It describes no metrics in advance, since their set changes at run time.
type collector struct{ source Source }

// Describe implements prometheus.Collector.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	for _, sample := range c.source() {
		var labels, values []string
		if sample.Label != "" {
			labels, values = []string{labelName}, []string{sample.Label}
		}
		kind := prometheus.CounterValue
		if sample.Kind == Gauge {
			kind = prometheus.GaugeValue
		}
		description := prometheus.NewDesc(prefix+sample.Name, sample.Help, labels, nil)
		out <- prometheus.MustNewConstMetric(description, kind, sample.Value, values...)
	}
}
