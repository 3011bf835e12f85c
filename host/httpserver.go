package host

import (
	"log"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits of one HTTP connection. They disconnect callers that send or read too slowly; callers themselves give up after a second, or some
// seconds with a large body.
const (
	headerTimeout  = 3 * time.Second
	readTimeout    = 12 * time.Second // of a whole call; a large order over a slow link takes seconds
	writeTimeout   = 20 * time.Second // counted from the end of the header, so longer than readTimeout and the wait for the reply
	idleTimeout    = 30 * time.Second // longer than instances pause between heartbeats
	maxHeaderBytes = 16 << 10         // bytes
)

func newHTTPServer(handler http.Handler, logger logrus.FieldLogger) *http.Server {
	return &http.Server{
		Handler:                      closeAfterOneCall(handler),
		ConnContext:                  markOneCall,
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            headerTimeout,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ErrorLog:                     log.New(lineWriter{logger}, "", 0),
	}
}

// closeAfterOneCall closes connections that are marked for one call after their first answer.
func closeAfterOneCall(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if isForOneCall(request.Context()) {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// lineWriter forwards the log lines of http.Server to the logger.
type lineWriter struct{ log logrus.FieldLogger }

// Write logs one line.
func (w lineWriter) Write(line []byte) (int, error) {
	w.log.Warn(strings.TrimSpace(string(line)))
	return len(line), nil
}
