package host

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// More callers want to keep their connections than may: each is answered all the same, and so is one that comes after them, such as an
// operator.
func TestKeptAliveConnectionsLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	counters := &counters{}
	limited := &limitedListener{Listener: inner, limit: 8, maxKept: 4, refused: &counters.connectionsRefused}
	server := newHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), quietLog())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(limited) }()
	const callers = 20
	for round := range 2 {
		closed := 0
		for range callers {
			client := &http.Client{Transport: &http.Transport{}}
			t.Cleanup(client.CloseIdleConnections)
			answer, err := client.Get("http://" + inner.Addr().String())
			is.NoErr(err)
			is.NoErr(answer.Body.Close())
			if answer.Close {
				closed++
			}
		}
		is.Equal(closed, callers-4*(1-round)) // four connections are kept, from the first round on
	}
	is.Equal(counters.connectionsRefused.Load(), uint64(0))
	is.NoErr(server.Close())
	receive(t, ended)
}
