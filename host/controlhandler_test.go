package host

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/control/configuration"
	"eiderway/control/controller"
	"eiderway/control/feed"
	"eiderway/control/replication"
)

const validHeartbeat = `{"targetService":"s","address":"10.0.0.1:80","zone":"z","configRevision":"v1","slotCount":7,` +
	`"operState":"ready","warmupLeftMs":0,"dbRole":"replica","callSeq":4}`

// echoInput replies to each kind of call with a body that shows what the controller received.
func echoInput(input controller.Input) controller.Effects {
	reply := func(call controller.CallID, status int, body string) controller.Effects {
		return controller.Effects{Replies: []controller.Reply{{Call: call, Status: status, Body: []byte(body)}}}
	}
	switch in := input.(type) {
	case controller.ReplaceConfiguration:
		return reply(in.Call, http.StatusOK, `{"order":"`+string(in.Body)+`"}`)
	case controller.FetchConfiguration:
		return reply(in.Call, http.StatusOK, `{"fetch":true}`)
	case controller.Heartbeat:
		return reply(in.Call, http.StatusOK, `{"beat":"`+in.Heartbeat.InstanceID+`"}`)
	case controller.InstanceLeave:
		return reply(in.Call, http.StatusNoContent, "")
	}
	return controller.Effects{}
}

func TestCallsReachTheController(t *testing.T) {
	r := newRig(t, rigOptions{answer: echoInput})
	for _, example := range []struct {
		method, path, body string
		status             int
		answer             string
	}{
		{"POST", "/config/replace", "x", 200, `{"order":"x"}`},
		{"GET", "/config/fetch", "", 200, `{"fetch":true}`},
		{"POST", "/instances/i-1/heartbeat", validHeartbeat, 200, `{"beat":"i-1"}`},
		{"POST", "/instances/i%2F1/heartbeat", validHeartbeat, 200, `{"beat":"i/1"}`},
		{"POST", "/instances/i-1/leave", "", 204, ""},
		{"GET", "/config/replace", "", 405, ""},
		{"POST", "/config/fetch", "", 405, ""},
		{"GET", "/instances/i-1/heartbeat", "", 405, ""},
		{"GET", "/", "", 404, ""},
		{"POST", "/config/replace/", "x", 404, ""},
		{"POST", "/instances//heartbeat", validHeartbeat, 404, ""},
		{"POST", "/instances/i-1/dance", validHeartbeat, 404, ""},
		{"POST", "/instances/i-1/heartbeat", "{", 400, ""},
		{"POST", "/instances/i-1/heartbeat", strings.Repeat(" ", maxHeartbeatBody+1), 413, ""},
	} {
		t.Run(example.method+example.path, func(t *testing.T) {
			is := is.New(t)
			answer := call(t, example.method, r.url+example.path, strings.NewReader(example.body))
			is.Equal(answer.status, example.status)
			if example.status < 300 {
				is.Equal(answer.body, example.answer)
			}
		})
	}
}

func TestRedirectAndRefusalCarryTheirHeaders(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: func(input controller.Input) controller.Effects {
		switch in := input.(type) {
		case controller.InstanceLeave:
			return controller.Effects{Replies: []controller.Reply{{Call: in.Call, Status: 307, Redirect: "10.0.0.4:8080"}}}
		case controller.FetchConfiguration:
			return controller.Effects{Replies: []controller.Reply{{Call: in.Call, Status: 503, Body: []byte(`{}`)}}}
		}
		return controller.Effects{}
	}})

	moved := call(t, "POST", r.url+"/instances/i%2F1/leave", nil)
	is.Equal(moved.status, 307)
	is.Equal(moved.header.Get("Location"), "http://10.0.0.4:8080/instances/i%2F1/leave")

	refused := call(t, "GET", r.url+"/config/fetch", nil)
	is.Equal(refused.status, 503)
	is.Equal(refused.header.Get("Retry-After"), "0")
	is.Equal(refused.header.Get("Content-Type"), "application/json")
}

func TestOversizedConfigurationIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: echoInput})
	large := strings.Repeat("x", configuration.MaxBody+1)
	is.Equal(call(t, "POST", r.url+"/config/replace", strings.NewReader(large)).status, 413)

	unannounced := io.MultiReader(strings.NewReader(large)) // sent in chunks
	request, err := http.NewRequest("POST", r.url+"/config/replace", unannounced)
	is.NoErr(err)
	response, err := plainClient(t).Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, 413)
	is.Equal(len(r.controller.inputs), 0) // neither reached the controller
}

// begin opens a connection and sends the text.
func begin(t *testing.T, address, text string) net.Conn {
	t.Helper()
	is := is.New(t)
	is.Helper()
	connection, err := net.Dial("tcp4", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = connection.Close() })
	is.NoErr(connection.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(connection, text)
	is.NoErr(err)
	return connection
}

func TestTruncatedBodyIsNotProcessed(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: echoInput})
	broken := begin(t, r.address, "POST /config/replace HTTP/1.1\r\nHost: c\r\nContent-Length: 100\r\n\r\nhalf")
	is.NoErr(broken.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(broken), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, 408) // says nothing about the content
	is.Equal(len(r.controller.inputs), 0)
}

func TestDisconnectedCallerIsAbandoned(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{})
	caller := begin(t, r.address, "POST /config/replace HTTP/1.1\r\nHost: c\r\nContent-Length: 1\r\n\r\nx")
	order := waitForInput[controller.ReplaceConfiguration](t, r.controller)
	is.NoErr(caller.Close())
	is.Equal(waitForInput[controller.Abandon](t, r.controller).Call, order.Call)
}

func TestUnansweredCallEndsAtBackstop(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{backstop: 20 * time.Millisecond})
	answer := call(t, "GET", r.url+"/config/fetch", nil)
	is.Equal(answer.status, 503)
	fetch := waitForInput[controller.FetchConfiguration](t, r.controller)
	is.Equal(waitForInput[controller.Abandon](t, r.controller).Call, fetch.Call)
}

func TestFullMailboxRejectsCallers(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{withoutLoop: true, limit: 2})
	r.internal.message(replication.Message{})
	r.internal.message(replication.Message{})
	answer := call(t, "GET", r.url+"/config/fetch", nil)
	is.Equal(answer.status, 503)
	is.Equal(answer.header.Get("Retry-After"), "1")

	r.internal.message(replication.Message{})
	is.Equal(r.counters.messagesDropped.Load(), uint64(1))
	_, answered := r.internal.watch(t.Context(), feed.WatchRequest{})
	is.True(!answered)

	r.loop.inbox.post(controller.Persisted{}) // post adds it despite the limit
	is.Equal(len(r.loop.inbox.take(nil)), 3)
}

func TestClosedMailboxAnswersWaitingCallers(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{})
	answers := make(chan callAnswer, 1)
	go func() { answers <- call(t, "GET", r.url+"/config/fetch", nil) }()
	waitForInput[controller.FetchConfiguration](t, r.controller)
	r.loop.inbox.close()
	is.Equal(receive(t, answers).status, 503)
	is.Equal(call(t, "GET", r.url+"/config/fetch", nil).status, 503)
}

func TestLateReplyIsDropped(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: func(input controller.Input) controller.Effects {
		if gone, ok := input.(controller.Abandon); ok {
			return controller.Effects{Replies: []controller.Reply{{Call: gone.Call, Status: 200}}}
		}
		return controller.Effects{}
	}, backstop: time.Millisecond})
	is.Equal(call(t, "GET", r.url+"/config/fetch", nil).status, 503)
	waitForInput[controller.Abandon](t, r.controller)
	r.stop()
	is.Equal(r.counters.lateReplies.Load(), uint64(1))
}

func TestWatchIsAnsweredOrAbandoned(t *testing.T) {
	is := is.New(t)
	r := newRig(t, rigOptions{answer: func(input controller.Input) controller.Effects {
		asked, ok := input.(controller.Watch)
		if !ok || asked.Request.Leaving {
			return controller.Effects{}
		}
		answer := controller.WatchReply{Call: asked.Call, Answer: feed.WatchAnswer{Lease: time.Second}}
		return controller.Effects{WatchReplies: []controller.WatchReply{answer}}
	}})
	answer, answered := r.internal.watch(t.Context(), feed.WatchRequest{})
	is.True(answered)
	is.Equal(answer.Lease, time.Second)
	waitForInput[controller.Watch](t, r.controller)

	gone, cancel := context.WithCancel(t.Context())
	cancel()
	_, answered = r.internal.watch(gone, feed.WatchRequest{Leaving: true})
	is.True(!answered)
	asked := waitForInput[controller.Watch](t, r.controller)
	is.Equal(waitForInput[controller.Abandon](t, r.controller).Call, asked.Call)
}

func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	counters := &counters{}
	limited := &limitedListener{Listener: inner, limit: 1, refused: &counters.connectionsRefused}
	defer limited.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			connection, err := limited.Accept()
			if err != nil {
				return
			}
			accepted <- connection
		}
	}()
	begin(t, inner.Addr().String(), "")
	first := receive(t, accepted)
	second := begin(t, inner.Addr().String(), "")
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil) // closed at once
	is.NoErr(first.Close())
	begin(t, inner.Addr().String(), "")
	is.NoErr(receive(t, accepted).Close())
}
