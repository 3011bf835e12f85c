package host

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"eiderway/control/configuration"
	"eiderway/control/controller"
	"eiderway/control/registry"
)

const (
	// answerBackstop ends a call that the controller has left open. It answers within callWait; this is for its faults.
	answerBackstop = 2 * time.Second
	// maxHeartbeat bounds the body of a heartbeat or a leave in bytes: some ten times what instances send.
	maxHeartbeat = 4096
	// maxDiscarded bounds what is read of a body that is too large, in bytes.
	maxDiscarded = 16 << 20
	// orderBytesAtOnce bounds the bytes of the orders that are held in memory at a time. Operators have up to eight under
	// way, most of them far smaller than the largest that is taken.
	orderBytesAtOnce = 4 * configuration.MaxBody
)

// How long callers that are turned away are asked to pause, in seconds: none where another controller or a moment
// later will do, one where this controller is overloaded.
const (
	retryAtOnce = 0
	retryLater  = 1
)

// front takes the calls of operators and instances and hands them to the controller.
type front struct {
	inbox    *mailbox
	numbers  *callNumbers
	replies  *pending[controller.Reply]
	counters *counters
	held     atomic.Int64 // bytes that the orders in memory may take
	backstop time.Duration
}

func newFront(inbox *mailbox, numbers *callNumbers, replies *pending[controller.Reply], counters *counters) *front {
	return &front{
		inbox:    inbox,
		numbers:  numbers,
		replies:  replies,
		counters: counters,
		backstop: answerBackstop,
	}
}

// operation is what a path asks for.
type operation int

const (
	unknownOperation operation = iota
	replaceConfiguration
	fetchConfiguration
	instanceHeartbeat
	instanceLeave
)

// target is an operation with the instance that the path names.
type target struct {
	operation  operation
	instanceID string
}

// targetOf reads a path as it came, escapes included.
func targetOf(path string) target {
	switch path {
	case "/config/replace":
		return target{operation: replaceConfiguration}
	case "/config/fetch":
		return target{operation: fetchConfiguration}
	}
	rest, found := strings.CutPrefix(path, "/instances/")
	if !found {
		return target{}
	}
	escaped, action, _ := strings.Cut(rest, "/")
	id, err := url.PathUnescape(escaped)
	if err != nil || id == "" {
		return target{}
	}
	switch action {
	case "heartbeat":
		return target{operation: instanceHeartbeat, instanceID: id}
	case "leave":
		return target{operation: instanceLeave, instanceID: id}
	}
	return target{}
}

func (t target) method() string {
	if t.operation == fetchConfiguration {
		return http.MethodGet
	}
	return http.MethodPost
}

// ServeHTTP answers one call.
func (f *front) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	asked := targetOf(request.URL.EscapedPath())
	if asked.operation == unknownOperation {
		writeError(writer, http.StatusNotFound, "there is nothing at this path")
		return
	}
	if request.Method != asked.method() {
		writer.Header().Set("Allow", asked.method())
		writeError(writer, http.StatusMethodNotAllowed, "this path takes "+asked.method())
		return
	}
	switch asked.operation {
	case replaceConfiguration:
		f.replace(writer, request)
	case fetchConfiguration:
		f.counters.fetches.Add(1)
		call := f.numbers.next()
		f.ask(writer, request, call, controller.FetchConfiguration{Call: call})
	case instanceHeartbeat:
		f.heartbeat(writer, request, asked.instanceID)
	case instanceLeave:
		f.leave(writer, request, asked.instanceID)
	}
}

func (f *front) replace(writer http.ResponseWriter, request *http.Request) {
	f.counters.orders.Add(1)
	size := request.ContentLength
	if size < 0 || size > configuration.MaxBody {
		size = configuration.MaxBody // unknown, or refused before it is read
	}
	defer f.held.Add(-size)
	if f.held.Add(size) > orderBytesAtOnce {
		f.overloaded(writer)
		return
	}
	body, whole := readBody(writer, request, configuration.MaxBody)
	if !whole {
		return
	}
	call := f.numbers.next()
	f.ask(writer, request, call, controller.ReplaceConfiguration{Call: call, Body: body})
}

func (f *front) heartbeat(writer http.ResponseWriter, request *http.Request, id string) {
	f.counters.heartbeats.Add(1)
	body, whole := readBody(writer, request, maxHeartbeat)
	if !whole {
		return
	}
	beat, err := registry.ParseHeartbeat(id, body)
	if err != nil {
		writeError(writer, http.StatusBadRequest, err.Error())
		return
	}
	call := f.numbers.next()
	f.ask(writer, request, call, controller.Heartbeat{Call: call, Heartbeat: beat})
}

func (f *front) leave(writer http.ResponseWriter, request *http.Request, id string) {
	f.counters.leaves.Add(1)
	if _, whole := readBody(writer, request, maxHeartbeat); !whole {
		return
	}
	call := f.numbers.next()
	f.ask(writer, request, call, controller.InstanceLeave{Call: call, InstanceID: id})
}

// ask hands the input in and waits for its end: an answer, a caller that has gone, or the backstop.
func (f *front) ask(writer http.ResponseWriter, request *http.Request, call controller.CallID, input controller.Input) {
	replies := f.replies.open(call)
	if !f.inbox.offer(input) {
		f.replies.drop(call)
		f.overloaded(writer)
		return
	}
	backstop := time.NewTimer(f.backstop)
	defer backstop.Stop()
	select {
	case reply := <-replies:
		writeReply(writer, request, reply)
	case <-request.Context().Done():
		f.counters.abandoned.Add(1)
		f.abandon(call)
	case <-backstop.C:
		f.giveUp(writer, request, call, replies)
	case <-f.inbox.ended:
		f.giveUp(writer, request, call, replies)
	}
}

// giveUp answers a call itself, unless the controller's answer has come in this moment.
func (f *front) giveUp(writer http.ResponseWriter, request *http.Request, call controller.CallID, replies <-chan controller.Reply) {
	if !f.abandon(call) {
		writeReply(writer, request, <-replies)
		return
	}
	f.counters.unanswered.Add(1)
	unavailable(writer, "no answer in time; ask again")
}

// abandon ends a call without its answer, and tells whether it was still open.
func (f *front) abandon(call controller.CallID) bool {
	open := f.replies.drop(call)
	if open {
		f.inbox.post(controller.Abandon{Call: call})
	}
	return open
}

func unavailable(writer http.ResponseWriter, text string) {
	writer.Header().Set("Retry-After", strconv.Itoa(retryAtOnce))
	writeError(writer, http.StatusServiceUnavailable, text)
}

func (f *front) overloaded(writer http.ResponseWriter) {
	f.counters.overloaded.Add(1)
	writer.Header().Set("Retry-After", strconv.Itoa(retryLater))
	writeError(writer, http.StatusServiceUnavailable, "too much waits here; ask another controller")
}

// readBody reads a whole body of at most limit bytes. Of a part nothing is made: then the caller is answered, if it is
// still there, with a status that says nothing about the content.
func readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, bool) {
	body, err := readUpTo(request, limit)
	if err != nil {
		writer.Header().Set("Connection", "close")
		writeError(writer, http.StatusRequestTimeout, "the body did not come whole")
		return nil, false
	}
	// The time for reading is over with the body; from here on the caller only waits.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
	if int64(len(body)) > limit || request.ContentLength > limit {
		writer.Header().Set("Connection", "close")
		writeError(writer, http.StatusRequestEntityTooLarge, "the body is too large")
		return nil, false
	}
	return body, true
}

// readUpTo returns the body, or its first limit + 1 bytes. The rest is read and dropped, within a bound: a connection
// that is closed with unread bytes is reset, and the caller would not see the answer.
func readUpTo(request *http.Request, limit int64) ([]byte, error) {
	var body []byte
	if request.ContentLength <= limit {
		var err error
		if body, err = io.ReadAll(io.LimitReader(request.Body, limit+1)); err != nil {
			return nil, err
		}
	}
	_, err := io.CopyN(io.Discard, request.Body, maxDiscarded)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body, err
}

func writeReply(writer http.ResponseWriter, request *http.Request, reply controller.Reply) {
	if reply.Redirect != "" {
		writer.Header().Set("Location", "http://"+reply.Redirect+request.URL.RequestURI())
	}
	if reply.Status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", strconv.Itoa(retryAtOnce))
	}
	writeBody(writer, reply.Status, reply.Body)
}

// writeError answers with a JSON object that holds a text without need of escapes beyond those of quotes.
func writeError(writer http.ResponseWriter, status int, text string) {
	writeBody(writer, status, []byte(`{"error":`+strconv.QuoteToASCII(text)+`}`))
}

func writeBody(writer http.ResponseWriter, status int, body []byte) {
	header := writer.Header()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if len(body) > 0 {
		header.Set("Content-Type", "application/json")
	}
	writer.WriteHeader(status)
	_, _ = writer.Write(body) // a caller that has gone needs no answer
}
