package inbound_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/inbound"
)

// fields returns a number of fields with short names.
func fields(count int) string {
	var text strings.Builder
	for number := range count {
		fmt.Fprintf(&text, "a%d:\r\n", number)
	}
	return text.String()
}

// A header above its limit must be refused while it is read, whatever it consists of.
func TestHeadAboveItsLimitIsRefused(t *testing.T) {
	const limit = 8 << 10
	begin := "GET / HTTP/1.1\r\nHost: h\r\n"
	long := strings.Repeat("x", 4*limit)
	tests := []struct {
		name, text string
		want       int
	}{
		{"within the limit", begin + "Name: " + long[:limit-64] + "\r\n\r\n", http.StatusOK},
		{"a field", begin + "Name: " + long, http.StatusRequestHeaderFieldsTooLarge},
		{"fields", begin + fields(limit), http.StatusRequestHeaderFieldsTooLarge},
		{"a target", "GET /" + long, http.StatusRequestHeaderFieldsTooLarge},
		{"a continued field", begin + "Name: x\r\n" + strings.Repeat(" x\r\n", limit), http.StatusRequestHeaderFieldsTooLarge},
		{"behind a request", getRequest("/") + begin + "Name: " + long, http.StatusRequestHeaderFieldsTooLarge},
		{"behind a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n\r\n\r\n" + begin + "Name: " + long, http.StatusRequestHeaderFieldsTooLarge},
		{"behind empty lines", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\n\r\n" + begin + "Name: " + long, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, inbound.Config{Limits: func() inbound.Limits { return inbound.Limits{HeaderBytes: limit} }})
			conn, err := net.Dial("tcp4", s.addr.String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			go func() { _, _ = io.WriteString(conn, tt.text) }()
			reader := bufio.NewReader(conn)
			rsp, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			if strings.HasPrefix(tt.name, "behind") {
				_, _ = io.Copy(io.Discard, rsp.Body)
				rsp, err = http.ReadResponse(reader, nil)
				is.NoErr(err)
			}
			is.Equal(rsp.StatusCode, tt.want)
			is.Equal(rsp.Close, tt.want != http.StatusOK)
			is.Equal(s.clients.Counts().HeadsRefused > 0, tt.want != http.StatusOK)
		})
	}
}

// Heads of many connections must not take more memory than they may together, whether they are unfinished, belong to
// requests that are served or came behind another request.
func TestHeadsAreRefusedForWantOfMemory(t *testing.T) {
	const largeFields = 1000
	tests := []struct{ name, text string }{
		{"unfinished", "GET /hold HTTP/1.1\r\nHost: h\r\n" + fields(largeFields)},
		{"being served", "GET /hold HTTP/1.1\r\nHost: h\r\n" + fields(largeFields) + "\r\n"},
		{"behind a request", getRequest("/") + "GET /hold HTTP/1.1\r\nHost: h\r\n" + fields(400) + "\r\n"},
		{"behind a request in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hold HTTP/1.1\r\nHost: h\r\n" + fields(400) + "\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, inbound.Config{MaxHeadMemory: 256 << 10})
			var conns []net.Conn
			for range 8 {
				conns = append(conns, dial(t, s.addr, tt.text))
			}
			eventually(t, "some are refused", func() bool { return s.clients.Counts().HeadsRefused > 0 })
			// Ordinary heads need no reservation.
			is.Equal(answer(t, dial(t, s.addr, getRequest("/"))).StatusCode, http.StatusOK)
			refused := dial(t, s.addr, "GET / HTTP/1.1\r\nHost: h\r\n"+fields(2*largeFields)+"\r\n")
			rsp := answer(t, refused)
			is.Equal(rsp.StatusCode, http.StatusServiceUnavailable)
			is.Equal(rsp.Header.Get("Retry-After"), "0.3")
			is.True(rsp.Close)
			for _, conn := range append(conns, refused) {
				is.NoErr(conn.Close())
			}
			// The memory is free again.
			eventually(t, "a large head is read", func() bool {
				conn := dial(t, s.addr, "GET / HTTP/1.1\r\nHost: h\r\n"+fields(largeFields)+"\r\n")
				defer func() { _ = conn.Close() }()
				return answer(t, conn).StatusCode == http.StatusOK
			})
		})
	}
}

// Lines of bodies must not count as fields: ordinary clients would be refused while others use up the memory.
func TestBodiesCountForNoHead(t *testing.T) {
	lines := strings.Repeat("line\n", 600)
	tests := []struct{ name, text string }{
		{"with a length", fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(lines), lines)},
		{"in chunks", fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(lines), lines)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, inbound.Config{MaxHeadMemory: 1})
			conn := dial(t, s.addr, "")
			for range 3 {
				_, err := io.WriteString(conn, tt.text)
				is.NoErr(err)
				is.Equal(answer(t, conn).StatusCode, http.StatusOK)
			}
		})
	}
}
