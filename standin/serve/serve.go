// Package serve runs the HTTP listener of a stand-in until it is told to stop.
package serve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/fault"
)

const readHeaderTimeout = 10 * time.Second

// Options tells how to run.
type Options struct {
	// Name is what the log line calls the stand-in.
	Name string
	// Listen is the address to listen on, for example "127.0.0.1:7000".
	Listen string
	// Grace bounds the wait for running exchanges after the stop.
	Grace time.Duration
	// BeforeStop, if set, is called once ctx is done, before the listener
	// closes.
	BeforeStop func()
}

// Run serves handler until ctx is done, lets running exchanges finish and
// returns. It returns an error if it cannot listen or the grace runs out.
func Run(ctx context.Context, handler http.Handler, options Options) error {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return fault.Wrap(err, fault.InvalidSettings, "cannot listen on %q", options.Listen).
			WithRemedy("choose a free address with --listen")
	}
	return Serve(ctx, listener, handler, options)
}

// Serve is Run on a listener that is already open, and closes it.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, options Options) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	log.WithField("address", listener.Addr().String()).Info(options.Name + " listening")
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return fault.Wrap(err, fault.Internal, "the listener failed")
	case <-ctx.Done():
	}
	if options.BeforeStop != nil {
		options.BeforeStop()
	}
	return stop(server, options)
}

func stop(server *http.Server, options Options) error {
	grace, cancel := context.WithTimeout(context.Background(), options.Grace)
	defer cancel()
	if err := server.Shutdown(grace); err != nil {
		_ = server.Close()
		return fault.Wrap(errors.Wrap(err, "shut down"), fault.Timeout, "%s cut running exchanges at the end of its grace", options.Name).
			WithRemedy("raise the grace, or see what kept the exchanges open")
	}
	log.Info(options.Name + " stopped")
	return nil
}
