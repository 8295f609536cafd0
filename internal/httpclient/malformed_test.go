package httpclient_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/answer"
	"github.com/fieldpond/fieldpond/internal/httpclient"
)

// net/http accepts answers that are none by the grammar; they must not count, nor promise that nothing was sent.
func TestMalformedAnswersAreErrors(t *testing.T) {
	tests := []struct {
		name, sent string
		cause      answer.Cause
	}{
		{"status 000", "HTTP/1.1 000 Broken\r\nContent-Length: 4\r\n\r\nbody", answer.CauseStatus},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n", answer.CauseStatus},
		{"status 999", "HTTP/1.1 999 Broken\r\nContent-Length: 4\r\n\r\nbody", answer.CauseStatus},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", answer.CauseVersion},
		{"blank in a name", "HTTP/1.1 200 OK\r\nNa me: x\r\nContent-Length: 4\r\n\r\nbody", answer.CauseName},
		{"blank at the end of the length's name", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", answer.CauseName},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := serveScript(t, func(connection net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(connection))
				_, _ = io.WriteString(connection, tt.sent)
			})
			request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
			is.NoErr(err)
			_, err = httpclient.New(httpclient.Options{}).Do(request)
			var failed *httpclient.Error
			is.True(errors.As(err, &failed) && failed.Sent)
			var malformed *answer.MalformedError
			is.True(errors.As(err, &malformed))
			is.Equal(malformed.Cause, tt.cause)
		})
	}
}
