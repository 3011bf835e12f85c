package host

import (
	"log"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of one connection of a caller. They cut those that send or read too slowly; callers themselves give up after a
// second, or some seconds with a large body.
const (
	headerTimeout = 3 * time.Second
	readTimeout   = 12 * time.Second // of a whole call; a large order over a slow link takes seconds
	writeTimeout  = 20 * time.Second // counted from the header, so beyond readTimeout and the wait for the answer
	idleTimeout   = 30 * time.Second // longer than instances pause between heartbeats
	maxHeader     = 16 << 10         // bytes
)

func newHTTPServer(handler http.Handler, logger logrus.FieldLogger) *http.Server {
	return &http.Server{
		Handler:                      closingOneCall(handler),
		ConnContext:                  noteOneCall,
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            headerTimeout,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeader,
		ErrorLog:                     log.New(lineWriter{logger}, "", 0),
	}
}

// closingOneCall has a connection that is for one call closed with its answer.
func closingOneCall(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if isForOneCall(request.Context()) {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// lineWriter passes the lines of the standard library's server on.
type lineWriter struct{ log logrus.FieldLogger }

// Write logs one line.
func (w lineWriter) Write(line []byte) (int, error) {
	w.log.Warn(strings.TrimSpace(string(line)))
	return len(line), nil
}
