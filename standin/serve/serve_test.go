package serve_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/standin/serve"
)

// TestShutdownWaitsForRunningRequests starts the shutdown during a request that
// ends only after BeforeStop was called.
func TestShutdownWaitsForRunningRequests(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	stopping := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		stop()
		<-stopping
		_, _ = io.WriteString(w, "whole")
	})
	served := make(chan error, 1)
	go func() {
		served <- serve.Serve(ctx, listener, handler, serve.Options{
			Name: "test", Grace: time.Minute, BeforeStop: func() { close(stopping) },
		})
	}()
	response, err := http.Get("http://" + listener.Addr().String())
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(string(body), "whole")
	is.NoErr(<-served)
}

func TestInvalidListenAddress(t *testing.T) {
	err := serve.Run(t.Context(), http.NotFoundHandler(), serve.Options{Listen: "nowhere"})
	is.New(t).True(fault.Is(err, fault.InvalidSettings))
}
