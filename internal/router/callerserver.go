package router

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// callerServer serves HTTP on one listener and can be stopped without
// interrupting a request.
type callerServer struct {
	server   *http.Server
	listener *drainingListener
	open     *connections
	// rejectNewRequests makes the handler reject new requests without running them.
	rejectNewRequests func()
	// serveError receives the result of Serve.
	serveError chan error
}

// listenForCallers opens the listener; the caller must call serve next.
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

func (c *callerServer) serve() {
	go func() { c.serveError <- c.server.Serve(c.listener) }()
}

// stop stops without interrupting a request, in this order: existing connections
// close with an answer or when idle; new requests are rejected, so that callers
// use other routers; the listener closes at a pause between arrivals; the server
// has received its last connections; open requests finish. It returns early if
// ctx ends.
func (c *callerServer) stop(ctx context.Context) error {
	c.open.drain(ctx)
	c.rejectNewRequests()
	if err := c.listener.closeWhenQuiet(); err != nil {
		return errors.Wrap(err, "closing the listener")
	}
	select {
	case <-c.serveError:
	case <-ctx.Done():
	}
	return c.server.Shutdown(ctx)
}
