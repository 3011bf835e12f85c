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
	// answerBackstop ends a call that the controller has not answered. A controller without faults answers within callTimeout.
	answerBackstop = 2 * time.Second
	// maxHeartbeatBody bounds the body of a heartbeat or a leave in bytes: about ten times what instances send.
	maxHeartbeatBody = 4096
	// maxDiscarded is how many bytes of an oversized body are read and dropped.
	maxDiscarded = 16 << 20
	// maxOrderBytes bounds the bytes of orders (new configurations) in memory at a time. Operators have up to eight in progress, most of
	// them far smaller than the largest that is accepted.
	maxOrderBytes = 4 * configuration.MaxBody
)

// Seconds in the Retry-After header of refused calls: none where a retry at once, here or at another controller, may succeed; one where
// this controller is overloaded.
const (
	retryAtOnce = 0
	retryLater  = 1
)

// controlHandler serves the HTTP calls of operators and instances: it passes them to the controller and returns its replies.
type controlHandler struct {
	inbox      *mailbox
	ids        *callIDs
	replies    *pending[controller.Reply]
	counters   *counters
	orderBytes atomic.Int64 // upper bound on the bytes of orders in memory
	backstop   time.Duration
}

func newControlHandler(inbox *mailbox, ids *callIDs, replies *pending[controller.Reply], counters *counters) *controlHandler {
	return &controlHandler{
		inbox:    inbox,
		ids:      ids,
		replies:  replies,
		counters: counters,
		backstop: answerBackstop,
	}
}

// operation identifies what a path requests.
type operation int

const (
	unknownOperation operation = iota
	replaceConfiguration
	fetchConfiguration
	instanceHeartbeat
	instanceLeave
)

// target is the operation and the instance that a path names.
type target struct {
	operation  operation
	instanceID string
}

// parsePath parses a path that is still escaped, so that an instance ID may contain an escaped slash.
func parsePath(path string) target {
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

// ServeHTTP implements http.Handler.
func (h *controlHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	requested := parsePath(request.URL.EscapedPath())
	if requested.operation == unknownOperation {
		writeError(writer, http.StatusNotFound, "there is nothing at this path")
		return
	}
	if request.Method != requested.method() {
		writer.Header().Set("Allow", requested.method())
		writeError(writer, http.StatusMethodNotAllowed, "this path takes "+requested.method())
		return
	}
	switch requested.operation {
	case replaceConfiguration:
		h.replace(writer, request)
	case fetchConfiguration:
		h.counters.fetches.Add(1)
		call := h.ids.next()
		h.submit(writer, request, call, controller.FetchConfiguration{Call: call})
	case instanceHeartbeat:
		h.heartbeat(writer, request, requested.instanceID)
	case instanceLeave:
		h.leave(writer, request, requested.instanceID)
	}
}

func (h *controlHandler) replace(writer http.ResponseWriter, request *http.Request) {
	h.counters.orders.Add(1)
	size := request.ContentLength
	if size < 0 || size > configuration.MaxBody {
		size = configuration.MaxBody // unknown, or too large and rejected before it is read
	}
	defer h.orderBytes.Add(-size)
	if h.orderBytes.Add(size) > maxOrderBytes {
		h.writeOverloaded(writer)
		return
	}
	body, complete := readBody(writer, request, configuration.MaxBody)
	if !complete {
		return
	}
	call := h.ids.next()
	h.submit(writer, request, call, controller.ReplaceConfiguration{Call: call, Body: body})
}

func (h *controlHandler) heartbeat(writer http.ResponseWriter, request *http.Request, id string) {
	h.counters.heartbeats.Add(1)
	body, complete := readBody(writer, request, maxHeartbeatBody)
	if !complete {
		return
	}
	beat, err := registry.ParseHeartbeat(id, body)
	if err != nil {
		writeError(writer, http.StatusBadRequest, err.Error())
		return
	}
	call := h.ids.next()
	h.submit(writer, request, call, controller.Heartbeat{Call: call, Heartbeat: beat})
}

func (h *controlHandler) leave(writer http.ResponseWriter, request *http.Request, id string) {
	h.counters.leaves.Add(1)
	if _, complete := readBody(writer, request, maxHeartbeatBody); !complete {
		return
	}
	call := h.ids.next()
	h.submit(writer, request, call, controller.InstanceLeave{Call: call, InstanceID: id})
}

// submit passes the input to the controller and waits until the reply comes, the caller disconnects, the backstop fires or the mailbox
// closes.
func (h *controlHandler) submit(writer http.ResponseWriter, request *http.Request, call controller.CallID, input controller.Input) {
	replies := h.replies.open(call)
	if !h.inbox.offer(input) {
		h.replies.drop(call)
		h.writeOverloaded(writer)
		return
	}
	backstop := time.NewTimer(h.backstop)
	defer backstop.Stop()
	select {
	case reply := <-replies:
		writeReply(writer, request, reply)
	case <-request.Context().Done():
		h.counters.abandoned.Add(1)
		h.abandon(call)
	case <-backstop.C:
		h.expire(writer, request, call, replies)
	case <-h.inbox.ended:
		h.expire(writer, request, call, replies)
	}
}

// expire answers a call with 503, unless the controller's reply has arrived at the same moment.
func (h *controlHandler) expire(writer http.ResponseWriter, request *http.Request, call controller.CallID, replies <-chan controller.Reply) {
	if !h.abandon(call) {
		writeReply(writer, request, <-replies)
		return
	}
	h.counters.unanswered.Add(1)
	writeUnavailable(writer, "no answer in time; ask again")
}

// abandon ends a call without a reply, and reports whether it was still open.
func (h *controlHandler) abandon(call controller.CallID) bool {
	open := h.replies.drop(call)
	if open {
		h.inbox.post(controller.Abandon{Call: call})
	}
	return open
}

func writeUnavailable(writer http.ResponseWriter, text string) {
	writer.Header().Set("Retry-After", strconv.Itoa(retryAtOnce))
	writeError(writer, http.StatusServiceUnavailable, text)
}

func (h *controlHandler) writeOverloaded(writer http.ResponseWriter) {
	h.counters.overloaded.Add(1)
	writer.Header().Set("Retry-After", strconv.Itoa(retryLater))
	writeError(writer, http.StatusServiceUnavailable, "too much waits here; ask another controller")
}

// readBody reads a complete body of at most limit bytes. A truncated body is never processed: the caller, if it is still connected, gets a
// status that says nothing about the content.
func readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, bool) {
	body, err := readUpTo(request, limit)
	if err != nil {
		writer.Header().Set("Connection", "close")
		writeError(writer, http.StatusRequestTimeout, "the body did not come whole")
		return nil, false
	}
	// The read deadline covers the body only; from here on the caller waits for the reply.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
	if int64(len(body)) > limit || request.ContentLength > limit {
		writer.Header().Set("Connection", "close")
		writeError(writer, http.StatusRequestEntityTooLarge, "the body is too large")
		return nil, false
	}
	return body, true
}

// readUpTo returns at most the first limit+1 bytes of the body. It reads and drops up to maxDiscarded bytes of the rest: a connection that
// is closed with unread bytes is reset, and the caller would not see the answer.
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

// writeError answers with a JSON object that holds the text, which must need no escapes other than those of quotes.
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
	_, _ = writer.Write(body) // fails only if the caller has disconnected
}
