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

// Admin calls go over a Unix socket on the controller's own machine, which only the user of the process may open. They are for operators
// on that machine; callers on the network can't reach them.

// GiveUpPath is the path of the admin call that takes a GiveUpRequest.
const GiveUpPath = "/service/give-up"

// GiveUpRequest asks to give up the commits that the lost copies of a service may have held. The operator types the name of the service
// twice: Confirmation must equal Service.
type GiveUpRequest struct {
	Service      string `json:"service"`
	Confirmation string `json:"typedAgain"`
	By           string `json:"by"`
}

const (
	adminMode    = 0o600
	adminTimeout = 5 * time.Second
)

var errNotConfirmed = eris.New("the name that was typed again is another one")

// check returns an error if a field is missing or the confirmation doesn't match.
func (r GiveUpRequest) check() error {
	switch {
	case r.Service == "":
		return eris.New("no service is named")
	case r.Confirmation != r.Service:
		return errNotConfirmed
	case r.By == "":
		return eris.New("it isn't said who asks")
	}
	return nil
}

// listenAdmin listens on a Unix socket at the path. It replaces a socket file that an earlier process left behind.
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

// serveAdmin serves admin calls until the process ends.
func (p *process) serveAdmin(handler *controlHandler) error {
	if p.options.AdminSocket == "" {
		return nil
	}
	listener, err := listenAdmin(p.options.AdminSocket)
	if err != nil {
		return err
	}
	routes := http.NewServeMux()
	routes.HandleFunc("POST "+GiveUpPath, handler.handleGiveUp)
	server := &http.Server{Handler: routes, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}
	context.AfterFunc(p.ctx, func() { _ = server.Close() })
	p.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.options.Log.WithError(err).Warn("admin socket: serving failed")
		}
	})
	return nil
}

func (h *controlHandler) handleGiveUp(writer http.ResponseWriter, request *http.Request) {
	body, complete := readBody(writer, request, maxHeartbeatBody)
	if !complete {
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
	call := h.ids.next()
	h.submit(writer, request, call, controller.GiveUp{Call: call, Service: asked.Service, By: asked.By, At: time.Now()})
}
