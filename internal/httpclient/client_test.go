package httpclient_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/httpclient"
)

// serveScript accepts connections until the test ends and runs script with each;
// the connection is closed when script returns.
func serveScript(t *testing.T, script func(connection net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				script(connection)
			}()
		}
	}()
	return listener.Addr().String()
}

// answerFirstThenCut answers the first request of each connection and closes the
// connection after reading the second one. Requests other than warm-ups count as
// executed.
func answerFirstThenCut(executed *atomic.Int64) func(net.Conn) {
	return func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		for first := true; ; first = false {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if request.Header.Get("X-Warm") == "" {
				executed.Add(1)
			}
			if !first {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// Guards against a retry by the transport when the server closes a reused
// connection after it has read the request.
func TestNoTransparentRetry(t *testing.T) {
	for _, method := range []string{"GET", "POST", "DELETE", "OPTIONS"} {
		for _, body := range []string{"", "work"} {
			t.Run(method+" "+body, func(t *testing.T) {
				is := is.New(t)
				var executed atomic.Int64
				address := serveScript(t, answerFirstThenCut(&executed))
				client := httpclient.New(httpclient.Options{})
				warm, err := http.NewRequest("GET", "http://"+address+"/", nil)
				is.NoErr(err)
				warm.Header.Set("X-Warm", "yes")
				response, err := client.Do(warm)
				is.NoErr(err)
				_, err = httpclient.ReadBody(response, 1)
				is.NoErr(err)

				request, err := http.NewRequest(method, "http://"+address+"/", bytes.NewBufferString(body))
				is.NoErr(err)
				request.Header.Set("Idempotency-Key", "k-1")
				_, err = client.Do(request)
				var failed *httpclient.Error
				is.True(errors.As(err, &failed))
				is.True(failed.Sent)
				is.Equal(executed.Load(), int64(1))
			})
		}
	}
}

func TestSent(t *testing.T) {
	cut := func(read int) func(net.Conn) {
		return func(connection net.Conn) { _, _ = io.ReadFull(connection, make([]byte, read)) }
	}
	cases := []struct {
		name   string
		script func(net.Conn)
		cancel bool
		sent   bool
	}{
		{"cancelled before connecting", cut(0), true, false},
		{"cut off in the header", cut(10), false, true},
		{"cut off in the body", cut(5000), false, true},
		{"malformed answer", func(connection net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(connection))
			_, _ = io.WriteString(connection, "nonsense\r\n\r\n")
		}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.cancel {
				cancel()
			}
			address := serveScript(t, c.script)
			request, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/", bytes.NewReader(make([]byte, 1<<20)))
			is.NoErr(err)
			_, err = httpclient.New(httpclient.Options{}).Do(request)
			var failed *httpclient.Error
			is.True(errors.As(err, &failed))
			is.Equal(failed.Sent, c.sent)
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	request, err := http.NewRequest("POST", "http://"+listener.Addr().String()+"/", bytes.NewBufferString("x"))
	is.NoErr(err)
	_, err = httpclient.New(httpclient.Options{}).Do(request)
	var failed *httpclient.Error
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent)
}

func TestBodiesAreBounded(t *testing.T) {
	for _, length := range []int64{5, -1} { // with and without Content-Length
		is := is.New(t)
		response := &http.Response{ContentLength: length, Body: io.NopCloser(bytes.NewBufferString("12345"))}
		_, err := httpclient.ReadBody(response, 4)
		is.Equal(err, httpclient.ErrBodyTooLarge)
	}
	is.New(t).Equal(httpclient.RetryAfter(http.Header{"Retry-After": {"0.25"}}, time.Second), 250*time.Millisecond)
}
