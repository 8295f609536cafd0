package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/fieldpond/fieldpond/internal/exchange"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// backEnd serves each connection with a function of the test.
type backEnd struct {
	listener net.Listener
	accepted atomic.Int64
}

func listen(t *testing.T, serve func(connection net.Conn, reader *bufio.Reader)) *backEnd {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &backEnd{listener: listener}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			server.accepted.Add(1)
			go func() {
				defer func() { _ = connection.Close() }()
				serve(connection, bufio.NewReader(connection))
			}()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return server
}

func (b *backEnd) address() string { return b.listener.Addr().String() }

// readRequest reads one request and its body.
func readRequest(reader *bufio.Reader) (*http.Request, string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(request.Body)
	return request, string(body), err
}

// respondWith sends the same bytes for each request until the client closes.
func respondWith(answer string) func(net.Conn, *bufio.Reader) {
	return func(connection net.Conn, reader *bufio.Reader) {
		for {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			if _, err := io.WriteString(connection, answer); err != nil {
				return
			}
		}
	}
}

func requestWithID(id string) *exchange.Request {
	return &exchange.Request{
		Method: http.MethodPost, Target: "/a?b=c", Host: "h.example", Body: []byte("body"),
		Header:  http.Header{"Id": {id}, "Connection": {"close"}},
		Matches: func(header http.Header) bool { return header.Get("Id") == id },
	}
}

const completeAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

func TestCompleteAnswerKeepsConnection(t *testing.T) {
	is := is.New(t)
	server := listen(t, respondWith(completeAnswer))
	pool := exchange.NewPool(exchange.Options{})
	defer pool.CloseIdle(true)
	for range 3 {
		response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		is.NoErr(response.Body.Close())
	}
	is.Equal(pool.Opened(), uint64(1))
}

func TestRequestIsWrittenAsGiven(t *testing.T) {
	is := is.New(t)
	seen := make(chan *http.Request, 1)
	server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
		request, body, err := readRequest(reader)
		if err != nil || body != "body" {
			return
		}
		seen <- request
		_, _ = io.WriteString(connection, completeAnswer)
	})
	pool := exchange.NewPool(exchange.Options{})
	defer pool.CloseIdle(true)
	response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	request := <-seen
	is.Equal(request.RequestURI, "/a?b=c")
	is.Equal(request.Host, "h.example")
	is.True(!request.Close) // the Connection header is not forwarded
}

func TestInvalidAnswersAreErrors(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"no answer", ""},
		{"malformed answer", "garbage\r\n\r\n"},
		{"cut off in the header", "HTTP/1.1 200 OK\r\nId: 1\r\n"},
		{"cut off in the body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok"},
		{"cut off in a chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"},
		{"chunks without a last one", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
		{"only answers to other requests", "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nno"},
		{"answer to another request without a length", "HTTP/1.1 200 OK\r\nId: 7\r\n\r\nno"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
				_, _, _ = readRequest(reader)
				_, _ = io.WriteString(connection, c.answer)
			})
			pool := exchange.NewPool(exchange.Options{})
			defer pool.CloseIdle(true)
			response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			} else {
				var failed *exchange.Error
				is.True(errors.As(err, &failed))
				is.True(failed.Sent)
			}
			is.True(err != nil)
		})
	}
}

func TestExcessAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	server := listen(t, respondWith("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nno"+completeAnswer))
	pool := exchange.NewPool(exchange.Options{})
	defer pool.CloseIdle(true)
	for range 2 {
		response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		is.NoErr(response.Body.Close())
	}
	is.Equal(pool.Opened(), uint64(2)) // a connection with an excess answer is not reused
}

func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	stray := make(chan struct{})
	server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, _, err := readRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(connection, completeAnswer)
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(connection, completeAnswer)
		stray <- struct{}{}
		_, _, _ = readRequest(reader)
	})
	pool := exchange.NewPool(exchange.Options{})
	defer pool.CloseIdle(true)
	for range 2 {
		response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		<-stray
	}
	is.Equal(pool.Opened(), uint64(2))
}

func TestEarlyAnswerClosesConnection(t *testing.T) {
	is := is.New(t)
	server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(connection, completeAnswer)
		_, _ = io.Copy(io.Discard, reader)
	})
	pool := exchange.NewPool(exchange.Options{})
	defer pool.CloseIdle(true)
	long := requestWithID("1")
	long.Body = []byte(strings.Repeat("x", 32<<20)) // more than the socket buffers hold
	for range 2 {
		response, err := pool.Do(t.Context(), server.address(), long)
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	is.Equal(pool.Opened(), uint64(2))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	server := listen(t, respondWith(completeAnswer))
	address := server.address()
	_ = server.listener.Close()
	_, err := exchange.NewPool(exchange.Options{}).Do(t.Context(), address, requestWithID("1"))
	var failed *exchange.Error
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent)
}

// Guards against sending a request that is withdrawn while its connection is opened.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 1)
	server := listen(t, func(_ net.Conn, reader *bufio.Reader) {
		if _, _, err := readRequest(reader); err == nil {
			arrived <- struct{}{}
		}
	})
	pool := exchange.NewPool(exchange.Options{})
	_, err := pool.Do(t.Context(), server.address(), &exchange.Request{Method: "GET", Target: "/", Host: "h", Withdrawn: func() bool { return true }})
	var failed *exchange.Error
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent)
	is.True(errors.Is(err, exchange.ErrWithdrawn))
	select {
	case <-arrived:
		t.Error("the request arrived")
	case <-time.After(50 * time.Millisecond):
	}
}

func TestConnectionsToAnAddressAreBounded(t *testing.T) {
	is := is.New(t)
	server := listen(t, respondWith(completeAnswer))
	pool := exchange.NewPool(exchange.Options{})
	defer pool.CloseIdle(true)
	bounded := requestWithID("1")
	bounded.MaxConnections = 1
	first, err := pool.Do(t.Context(), server.address(), bounded)
	is.NoErr(err)
	_, err = pool.Do(t.Context(), server.address(), bounded)
	is.True(errors.Is(err, exchange.ErrConnectionLimit))
	is.NoErr(first.Body.Close())
	second, err := pool.Do(t.Context(), server.address(), bounded)
	is.NoErr(err)
	is.NoErr(second.Body.Close())
}

func TestCancelledExchangeClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok")
		_, _ = reader.ReadByte()
		close(closed)
	})
	pool := exchange.NewPool(exchange.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	response, err := pool.Do(ctx, server.address(), requestWithID("1"))
	is.NoErr(err)
	cancel()
	<-closed
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
	_ = response.Body.Close()
}

func TestAnswerEndedByConnectionClose(t *testing.T) {
	cases := []struct {
		name  string
		reset bool
	}{{"closed", false}, {"reset", true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
				_, _, _ = readRequest(reader)
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok")
				if c.reset {
					time.Sleep(5 * time.Millisecond)
					_ = connection.(*net.TCPConn).SetLinger(0)
				}
			})
			pool := exchange.NewPool(exchange.Options{})
			response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.Equal(string(body), "ok")
			is.Equal(err != nil, c.reset) // a reset is not a proven end
			is.NoErr(response.Body.Close())
		})
	}
}

func TestIdleConnectionsAreDroppedBeforePeerTimeout(t *testing.T) {
	is := is.New(t)
	server := listen(t, respondWith("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok"))
	pool := exchange.NewPool(exchange.Options{})
	response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	time.Sleep(850 * time.Millisecond) // within the margin before the advertised second
	response, err = pool.Do(t.Context(), server.address(), requestWithID("1"))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(pool.Opened(), uint64(2))
}
