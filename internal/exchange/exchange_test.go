package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
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

// lender is a detour that lends direct connections, none at first.
type lender struct{ lends bool }

// Dial implements exchange.Detour.
func (l *lender) Dial(ctx context.Context, address string, direct exchange.DialFunc) (exchange.Opened, error) {
	conn, err := direct(ctx, address)
	return exchange.Opened{Conn: conn}, err
}

// Borrow implements exchange.Detour.
func (l *lender) Borrow(ctx context.Context, address string) (exchange.Opened, error) {
	if !l.lends {
		return exchange.Opened{}, errors.New("none to spare")
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	return exchange.Opened{Conn: conn, Through: netip.MustParseAddrPort("127.0.0.1:1")}, err
}

// Lost implements exchange.Detour.
func (l *lender) Lost(string) bool { return false }

// ObserveAnswer implements exchange.Detour.
func (l *lender) ObserveAnswer() {}

// ObserveSilent implements exchange.Detour.
func (l *lender) ObserveSilent(netip.AddrPort) {}

// A router whose connections are all in use borrows one for a single exchange, which does not count as its
// own.
func TestConnectionAboveLimitIsBorrowed(t *testing.T) {
	is := is.New(t)
	server := listen(t, respondWith(completeAnswer))
	others := &lender{}
	pool := exchange.NewPool(exchange.Options{Detour: others})
	defer pool.CloseIdle(true)
	bounded := requestWithID("1")
	bounded.MaxConnections = 1
	own, err := pool.Do(t.Context(), server.address(), bounded)
	is.NoErr(err)
	_, err = pool.Do(t.Context(), server.address(), bounded)
	is.True(errors.Is(err, exchange.ErrConnectionLimit))
	others.lends = true
	for range 2 {
		borrowed, err := pool.Do(t.Context(), server.address(), bounded)
		is.NoErr(err)
		is.True(borrowed.Through.IsValid())
		_, err = io.ReadAll(borrowed.Body)
		is.NoErr(err)
		is.NoErr(borrowed.Body.Close())
	}
	is.NoErr(own.Body.Close())
	again, err := pool.Do(t.Context(), server.address(), bounded)
	is.NoErr(err)
	is.True(!again.Through.IsValid())
	is.NoErr(again.Body.Close())
}

// What a router lends counts as its own until it is returned, and a part is kept.
func TestLentConnectionsCountAsOwn(t *testing.T) {
	is := is.New(t)
	server := listen(t, respondWith(completeAnswer))
	pool := exchange.NewPool(exchange.Options{})
	defer pool.CloseIdle(true)
	is.True(pool.Lend(server.address(), 3, 1))
	is.True(pool.Lend(server.address(), 3, 1))
	is.True(!pool.Lend(server.address(), 3, 1)) // the last one is kept
	bounded := requestWithID("1")
	bounded.MaxConnections = 2
	_, err := pool.Do(t.Context(), server.address(), bounded)
	is.True(errors.Is(err, exchange.ErrConnectionLimit))
	pool.Return(server.address())
	response, err := pool.Do(t.Context(), server.address(), bounded)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	pool.Return(server.address())
	is.True(pool.Lend(server.address(), 2, 1))
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
