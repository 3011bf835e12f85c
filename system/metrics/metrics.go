// Package metrics serves a process's own figures as text, in the format that Prometheus reads. Nothing is gathered until somebody
// asks, so figures that nobody reads cost a listening socket.
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

// Kind says how a figure behaves.
type Kind int

const (
	// Counter only rises within one life of the process.
	Counter Kind = iota
	// Gauge may rise and fall.
	Gauge
)

// Sample is one figure at the moment of asking.
type Sample struct {
	Name  string // without the prefix that all figures have
	Help  string
	Kind  Kind
	Value float64
	Label string // value of the "of" label: what the sample belongs to, such as a service; "" for the whole process
}

// NewGauge gives a figure of the process that may rise and fall.
func NewGauge(name, help string, value float64) Sample {
	return Sample{Name: name, Help: help, Kind: Gauge, Value: value}
}

// NewLabeledGauge gives a figure of a part of the process, such as a service.
func NewLabeledGauge(name, help, label string, value float64) Sample {
	return Sample{Name: name, Help: help, Kind: Gauge, Value: value, Label: label}
}

// BoolValue is the value of a figure that only says whether something holds.
func BoolValue(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// Source gives the figures of the moment. It is called from any goroutine.
type Source func() []Sample

const (
	prefix     = "eidersystem_"
	ofLabel    = "of"
	answerTime = 2 * time.Second
)

// Endpoint is where figures are served: PORT/PATH of the machine's own address.
type Endpoint struct {
	Port uint16
	Path string
}

// ParseEndpoint reads PORT/PATH, such as 9464/metrics.
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, found := strings.Cut(text, "/")
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || !found || path == "" {
		return Endpoint{}, eris.Errorf("metrics: %q: PORT/PATH such as 9464/metrics would do", text)
	}
	return Endpoint{Port: uint16(number), Path: "/" + path}, nil
}

// Serve serves the figures at the address until the context ends. It returns once it listens.
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
	server := &http.Server{Handler: handler(endpoint.Path, source), ReadHeaderTimeout: answerTime, WriteTimeout: answerTime}
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

// collector passes a source's figures on. They aren't described before: which there are depends on the moment.
type collector struct{ source Source }

// Describe implements prometheus.Collector.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	for _, figure := range c.source() {
		var labels, values []string
		if figure.Label != "" {
			labels, values = []string{ofLabel}, []string{figure.Label}
		}
		kind := prometheus.CounterValue
		if figure.Kind == Gauge {
			kind = prometheus.GaugeValue
		}
		description := prometheus.NewDesc(prefix+figure.Name, figure.Help, labels, nil)
		out <- prometheus.MustNewConstMetric(description, kind, figure.Value, values...)
	}
}
