package router

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// callerServer serves HTTP on one listener and can be stopped without cutting
// a request.
type callerServer struct {
	server   *http.Server
	listener *drainingListener
	open     *connections
	// rejectNewRequests makes the handler refuse every new request, not run.
	rejectNewRequests func()
	// serveError receives the error with which serving ended.
	serveError chan error
}

// listenForCallers opens the listener; serve has to be called next.
func listenForCallers(address string, server *http.Server, rejectNewRequests func()) (*callerServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "opening the listener %s", address)
	}
	open := newConnections()
	server.ConnState = open.trackState
	return &callerServer{
		server:            server,
		listener:          &drainingListener{TCPListener: listener.(*net.TCPListener)},
		open:              open,
		rejectNewRequests: rejectNewRequests,
		serveError:        make(chan error, 1),
	}, nil
}

// serve begins to serve.
func (c *callerServer) serve() {
	go func() { c.serveError <- c.server.Serve(c.listener) }()
}

// stop ends in this order, so that no request is cut: connections from before
// the stop are closed by an answer or when idle; callers that still come are
// refused, not run, so that they stay away; the listener closes at a pause
// between arrivals; what it accepted last is known to the server; and every
// open request is answered. It returns early if ctx ends.
func (c *callerServer) stop(ctx context.Context) error {
	c.open.drain(ctx)
	c.rejectNewRequests()
	if err := c.listener.closeWhenQuiet(); err != nil {
		return errors.Wrap(err, "ending the listener")
	}
	select {
	case <-c.serveError:
	case <-ctx.Done():
	}
	return c.server.Shutdown(ctx)
}
