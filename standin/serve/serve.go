// Package serve runs the HTTP server of a stand-in until its context ends.
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

// Options configures Run and Serve.
type Options struct {
	// Name is the stand-in's name in log lines.
	Name string
	// Listen is the address to listen on, for example "127.0.0.1:7000".
	Listen string
	// Grace limits the wait for running requests at shutdown.
	Grace time.Duration
	// BeforeStop, if set, is called after ctx ends, before the listener closes.
	BeforeStop func()
}

// Run serves handler until ctx ends, then waits for running requests. It
// returns an error if it cannot listen or Grace expires.
func Run(ctx context.Context, handler http.Handler, options Options) error {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return fault.Wrap(err, fault.InvalidSettings, "cannot listen on %q", options.Listen).
			WithRemedy("choose a free address with --listen")
	}
	return Serve(ctx, listener, handler, options)
}

// Serve is Run with an open listener, which it closes.
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
	return shutdown(server, options)
}

func shutdown(server *http.Server, options Options) error {
	grace, cancel := context.WithTimeout(context.Background(), options.Grace)
	defer cancel()
	if err := server.Shutdown(grace); err != nil {
		_ = server.Close()
		return fault.Wrap(errors.Wrap(err, "shut down"), fault.Timeout, "%s aborted running requests at the end of its grace period", options.Name).
			WithRemedy("raise the grace period, or find out what kept the requests open")
	}
	log.Info(options.Name + " stopped")
	return nil
}
