package metrics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestParseEndpoint(t *testing.T) {
	is := is.New(t)
	endpoint, err := ParseEndpoint("9464/metrics")
	is.NoErr(err)
	is.Equal(endpoint, Endpoint{Port: 9464, Path: "/metrics"})
	for _, wrong := range []string{"", "9464", "9464/", "/metrics", "0/metrics", "70000/metrics", "x/metrics"} {
		_, err := ParseEndpoint(wrong)
		is.True(err != nil) // wrong
	}
}

func TestSamplesAreServedAsText(t *testing.T) {
	is := is.New(t)
	source := func() []Sample {
		return []Sample{
			{Name: "orders_total", Help: "Orders taken.", Value: 3},
			{Name: "frozen", Help: "The service is frozen.", Kind: Gauge, Value: 1, Label: "db"},
		}
	}
	server := httptest.NewServer(handler("/metrics", source))
	defer server.Close()
	answer, err := http.Get(server.URL + "/metrics")
	is.NoErr(err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "# TYPE eidersystem_orders_total counter\neidersystem_orders_total 3\n"))
	is.True(strings.Contains(string(text), "# TYPE eidersystem_frozen gauge\neidersystem_frozen{of=\"db\"} 1\n"))
}
