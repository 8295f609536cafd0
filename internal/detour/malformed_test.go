package detour

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// What is no answer of HTTP/1 must not be taken for a router that is connected to a back end.
func TestMalformedAnswersOfRoutersAreRefused(t *testing.T) {
	const address = "10.0.0.1:80"
	const sound = "HTTP/1.1 200 OK\r\nRelayed-To: " + address + "\r\n\r\n"
	tests := []struct {
		name, sent string
		taken      bool
	}{
		{"sound", sound, true},
		{"version", strings.Replace(sound, "1.1", "9.9", 1), false},
		{"two blanks before the status", strings.Replace(sound, " 200", "  200", 1), false},
		{"blank in a name", strings.Replace(sound, "\r\n\r\n", "\r\nNa me: x\r\n\r\n", 1), false},
		{"blank at the end of a name", strings.Replace(sound, "\r\n\r\n", "\r\nRelay-Framing : chunked\r\n\r\n", 1), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn := &answering{Reader: bytes.NewReader([]byte(tt.sent))}
			_, err := ask(conn, bufio.NewReader(conn), http.MethodConnect, address)
			is.New(t).Equal(err == nil, tt.taken)
		})
	}
}
