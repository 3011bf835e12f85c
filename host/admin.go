package host

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"eiderway/control/controller"
)

// Admin calls go over a socket file on the controller's own machine, which only its user may open. They are for operators at that machine; no
// caller over the network reaches them.

// GiveUpPath is the path of an admin call.
const GiveUpPath = "/service/give-up"

// GiveUpRequest asks to give up what the lost copies of a service may have held. The name stands twice, as a person typed it.
type GiveUpRequest struct {
	Service      string `json:"service"`
	Confirmation string `json:"typedAgain"`
	By           string `json:"by"`
}

const (
	adminMode    = 0o600
	adminTimeout = 5 * time.Second
)

var errTypedOtherwise = eris.New("the name that was typed again is another one")

// check tells what is wrong with a request.
func (r GiveUpRequest) check() error {
	switch {
	case r.Service == "":
		return eris.New("no service is named")
	case r.Confirmation != r.Service:
		return errTypedOtherwise
	case r.By == "":
		return eris.New("it isn't said who asks")
	}
	return nil
}

// listenAdmin makes the socket file. One that an earlier process left behind is replaced.
func listenAdmin(path string) (net.Listener, error) {
	if info, err := os.Lstat(path); err == nil && info.Mode().Type() == os.ModeSocket {
		_ = os.Remove(path)
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, eris.Wrap(err, "admin socket")
	}
	if err := os.Chmod(path, adminMode); err != nil {
		_ = listener.Close()
		return nil, eris.Wrap(err, "admin socket")
	}
	return listener, nil
}

// serveAdmin answers admin calls until the process ends.
func (p *process) serveAdmin(front *front) error {
	if p.options.AdminSocket == "" {
		return nil
	}
	listener, err := listenAdmin(p.options.AdminSocket)
	if err != nil {
		return err
	}
	routes := http.NewServeMux()
	routes.HandleFunc("POST "+GiveUpPath, front.giveUpCopies)
	server := &http.Server{Handler: routes, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}
	context.AfterFunc(p.ctx, func() { _ = server.Close() })
	p.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.options.Log.WithError(err).Warn("admin socket")
		}
	})
	return nil
}

func (f *front) giveUpCopies(writer http.ResponseWriter, request *http.Request) {
	body, whole := readBody(writer, request, maxHeartbeat)
	if !whole {
		return
	}
	var asked GiveUpRequest
	if err := json.Unmarshal(body, &asked); err != nil {
		writeError(writer, http.StatusBadRequest, err.Error())
		return
	}
	if err := asked.check(); err != nil {
		writeError(writer, http.StatusBadRequest, err.Error())
		return
	}
	call := f.numbers.next()
	f.ask(writer, request, call, controller.GiveUp{Call: call, Service: asked.Service, By: asked.By, At: time.Now()})
}
