package detour

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/exchange"
)

const (
	relayedBody      = "a booking that was made"
	unframedHead     = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	unframedAnswer   = unframedHead + relayedBody
	unfinishedChunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n17\r\n" + relayedBody + "\r\n"
)

// lengthAnswer is an answer with its length.
func lengthAnswer(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// startAnswering starts a back end that reads a request and sends an answer on each connection, and then
// ends the connection.
func startAnswering(t testing.TB, answer string) string {
	t.Helper()
	return startBackend(t, func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, answer)
		}
		_ = conn.Close()
	})
}

// startCutting starts a server in front of a router that ends each connection in order once it has passed
// a number of the router's bytes on, as the kernel does for a process that dies.
func startCutting(t *testing.T, router Peer, bytes int64) Peer {
	t.Helper()
	address := startBackend(t, func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		behind, err := net.Dial("tcp4", router.Addr.String())
		if err != nil {
			return
		}
		defer func() { _ = behind.Close() }()
		go func() { _, _ = io.Copy(behind, conn) }()
		_, _ = io.CopyN(conn, behind, bytes)
	})
	return Peer{Addr: netip.MustParseAddrPort(address), Near: true}
}

// startUnframed starts a router of a build that knows no framing.
func startUnframed(t testing.TB) Peer { return startIgnoring(t, "Relay-Framing") }

// startWithoutReceipts starts a router of a build that frames and knows no receipts.
func startWithoutReceipts(t *testing.T) Peer { return startIgnoring(t, "Relay-Receipt") }

// startIgnoring starts a router of a build that does not know a header of those that ask for connections.
func startIgnoring(t testing.TB, header string) Peer {
	t.Helper()
	h := startHelper(t)
	connect := h.server.Handler(http.NotFoundHandler())
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(header)
		connect.ServeHTTP(w, r)
	}))
	t.Cleanup(front.Close)
	return Peer{Addr: netip.MustParseAddrPort(strings.TrimPrefix(front.URL, "http://")), Near: true}
}

// fetch sends a request by way of a router, which is asked to relay it or to lend a connection, and returns
// the body of the answer.
func fetch(ctx context.Context, router Peer, address string, borrow bool) (string, error) {
	dialer := dialerOf(router)
	pool := exchange.NewPool(exchange.Options{Detour: &onlyThrough{Dialer: dialer, borrow: borrow}})
	defer pool.CloseIdle(true)
	response, err := pool.Do(ctx, address, &exchange.Request{Method: http.MethodGet, Target: "/", Host: "backend.example"})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// onlyThrough opens all connections through other routers.
type onlyThrough struct {
	*Dialer
	borrow bool
}

func (o *onlyThrough) Dial(ctx context.Context, address string, _ exchange.DialFunc) (exchange.Opened, error) {
	if o.borrow {
		return o.Borrow(ctx, address)
	}
	return o.Dialer.Dial(ctx, address, cutDial)
}

// relayWays are the ways in which a router relays.
var relayWays = []struct {
	name   string
	borrow bool
}{{"relayed", false}, {"lent", true}}

func lendAll(cfg *ServerConfig) {
	cfg.Lend = func(string) (func(), bool) { return func() {}, true }
}

// The end of a connection to a router that relays must not pass for the end of an answer: that router may
// have died.
func TestAnswerThatEndsWithItsRelayIsNotWhole(t *testing.T) {
	answers := []struct{ name, answer string }{
		{"unframed", unframedAnswer},
		{"unframed and empty", unframedHead},
		{"with a length", lengthAnswer(relayedBody)},
		{"in chunks", unfinishedChunks + "0\r\n\r\n"},
	}
	for _, way := range relayWays {
		for _, tt := range answers {
			t.Run(way.name+" "+tt.name, func(t *testing.T) {
				is := is.New(t)
				address := startAnswering(t, tt.answer)
				router := startHelper(t, lendAll).peer
				whole, err := fetch(t.Context(), router, address, way.borrow)
				is.NoErr(err)
				// All bytes of the router are passed on one by one less: from none to all but the last.
				for passed := int64(1); ; passed += 7 {
					body, err := fetch(t.Context(), startCutting(t, router, passed), address, way.borrow)
					if err == nil {
						is.Equal(body, whole)
						is.True(passed > int64(len(tt.answer)))
						break
					}
				}
			})
		}
	}
}

// An answer that a router passed on to its end must arrive whole, whatever its size and however slowly it
// is read.
func TestUnframedAnswersArriveWhole(t *testing.T) {
	tests := []struct {
		name string
		size int
	}{{"empty", 0}, {"one byte", 1}, {"a chunk", copyBytes}, {"70 kB", 70_000}, {"4 MB", 4 << 20}}
	for _, way := range relayWays {
		for _, tt := range tests {
			t.Run(way.name+" "+tt.name, func(t *testing.T) {
				is := is.New(t)
				body := strings.Repeat("x", tt.size)
				received, err := fetch(t.Context(), startHelper(t, lendAll).peer, startAnswering(t, unframedHead+body), way.borrow)
				is.NoErr(err)
				is.True(received == body)
			})
		}
	}
}

// Routers of two builds must understand each other, and what an older one can't tell must not be taken for
// the end of an answer.
func TestFramingBesideRoutersOfOlderBuilds(t *testing.T) {
	tests := []struct {
		name, answer string
		whole        bool
	}{
		{"unframed", unframedAnswer, false},
		{"with a length", lengthAnswer(relayedBody), true},
		{"in chunks", unfinishedChunks + "0\r\n\r\n", true},
		{"in chunks without the last", unfinishedChunks, false},
	}
	for _, tt := range tests {
		t.Run("older relay "+tt.name, func(t *testing.T) {
			is := is.New(t)
			body, err := fetch(t.Context(), startUnframed(t), startAnswering(t, tt.answer), false)
			is.Equal(err == nil, tt.whole)
			if tt.whole {
				is.Equal(body, relayedBody)
			}
		})
		t.Run("older asker "+tt.name, func(t *testing.T) {
			is := is.New(t)
			conn, reader := connectUnframed(t, startHelper(t).peer, startAnswering(t, tt.answer))
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: backend.example\r\n\r\n")
			is.NoErr(err)
			received, err := io.ReadAll(reader)
			is.NoErr(err)
			is.Equal(string(received), tt.answer)
		})
	}
}

// connectUnframed asks a router for a connection as older builds do.
func connectUnframed(t *testing.T, router Peer, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp4", router.Addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testWait))
	if _, err := io.WriteString(conn, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		t.Fatal(err)
	}
	if answer.StatusCode != http.StatusOK || answer.Header.Get("Relay-Framing") != "" {
		t.Fatalf("the router answered %d %v", answer.StatusCode, answer.Header)
	}
	return conn, reader
}

// The error must tell whether the back end or the router that relays it broke off.
func TestErrorTellsWhoBrokeOff(t *testing.T) {
	tests := []struct {
		name, sent string
		relay      bool
	}{
		{"the back end", "0005\r\nhello\r\n0\r\nRelay-End: reset\r\n\r\n", false},
		{"the router, amid a chunk", "0005\r\nhel", true},
		{"the router, between chunks", "0005\r\nhello\r\n", true},
		{"the router, after the last chunk", "0005\r\nhello\r\n0\r\n", true},
		{"a trailer that is not known", "0005\r\nhello\r\n0\r\nRelay-End: paused\r\n\r\n", true},
		{"a trailer without end", "0\r\n" + strings.Repeat("x", 2*headBytes), true},
		{"no chunk", "hello", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			through := netip.MustParseAddrPort("127.0.0.1:7340")
			reader := newFramedReader(bufio.NewReaderSize(strings.NewReader(tt.sent), headBytes), through)
			_, err := io.ReadAll(reader)
			var broken *exchange.RelayError
			is.Equal(errors.As(err, &broken), tt.relay)
			is.Equal(errors.Is(err, errBackendReset), !tt.relay)
			if tt.relay {
				is.Equal(broken.Through, through)
			}
			_, again := reader.Read(make([]byte, 1))
			is.Equal(again, err)
		})
	}
}

// A router that frames in a way that is not known must not be used.
func TestUnknownFramingIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := confirmedFraming(http.Header{"Relay-Framing": {"records"}})
	is.True(err != nil)
}

// Whatever answers at the address of a router must not fill the memory of the one that asks.
func TestEndlessAnswerOfARouterIsGivenUp(t *testing.T) {
	tests := []struct{ name, begin string }{
		{"first line", "HTTP/1.1 200 "},
		{"header", "HTTP/1.1 200 OK\r\nRelayed-To: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			router := startBackend(t, func(conn *net.TCPConn) {
				_, err := io.WriteString(conn, tt.begin)
				for err == nil {
					_, err = io.WriteString(conn, strings.Repeat("x", 1<<10))
				}
				_ = conn.Close()
			})
			dialer := dialerOf()
			_, err := dialer.through(t.Context(), netip.MustParseAddrPort(router), http.MethodConnect, "127.0.0.1:1")
			is.True(errors.Is(err, errAnswerTooLarge))
		})
	}
}
