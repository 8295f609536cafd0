package exchange_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/exchange"
)

// longUploadBytes exceed what the kernel buffers of a connection.
const longUploadBytes = 8 << 20

const unframedPart = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"

// answerAndReset answers a request of which it has read only the beginning, and resets the connection.
func answerAndReset(reset chan<- struct{}) func(net.Conn, *bufio.Reader) {
	return func(connection net.Conn, reader *bufio.Reader) {
		_, _ = reader.Peek(1)
		_, _ = io.WriteString(connection, unframedPart)
		// The answer must arrive first: a reset drops what is not sent yet.
		time.Sleep(5 * time.Millisecond)
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
		close(reset)
	}
}

// The kernel tells a reset once. Where the goroutine that writes the request learns of it, the one that reads
// the answer meets an end of the connection that looks orderly.
func TestResetDuringAnUploadIsNoEndOfAnAnswer(t *testing.T) {
	is := is.New(t)
	reset := make(chan struct{})
	server := listen(t, answerAndReset(reset))
	pool := exchange.NewPool(exchange.Options{})
	request := requestWithID("1")
	request.Body = make([]byte, longUploadBytes)
	response, err := pool.Do(t.Context(), server.address(), request)
	is.NoErr(err)
	<-reset
	// Nothing is read meanwhile, so that the write of the request meets the reset.
	time.Sleep(100 * time.Millisecond)
	body, err := io.ReadAll(response.Body)
	is.Equal(string(body), "part")
	is.True(err != nil)
	is.NoErr(response.Body.Close())
}

// Where an answer without a length ends in order while its request is still sent, it is whole only if the back
// end reads the request to its end: a process that dies before may end its side in order too.
func TestEndOfAnEarlyAnswer(t *testing.T) {
	tests := []struct {
		name string
		// then is what the back end does after it has ended its side; received is closed once the client has read
		// the answer.
		then  func(connection *net.TCPConn, reader *bufio.Reader, received <-chan struct{})
		whole bool
	}{
		{"the rest is read", func(_ *net.TCPConn, reader *bufio.Reader, _ <-chan struct{}) { _, _, _ = readRequest(reader) }, true},
		{"the rest is not read", func(_ *net.TCPConn, _ *bufio.Reader, received <-chan struct{}) { <-received }, false},
		{"the connection is closed", func(*net.TCPConn, *bufio.Reader, <-chan struct{}) {}, false},
		{"the connection is reset later", func(connection *net.TCPConn, _ *bufio.Reader, _ <-chan struct{}) {
			time.Sleep(20 * time.Millisecond)
			_ = connection.SetLinger(0)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			received := make(chan struct{})
			server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
				_, _ = reader.Peek(1)
				_, _ = io.WriteString(connection, unframedPart)
				_ = connection.(*net.TCPConn).CloseWrite()
				tt.then(connection.(*net.TCPConn), reader, received)
			})
			pool := exchange.NewPool(exchange.Options{})
			request := requestWithID("1")
			request.Body = make([]byte, longUploadBytes)
			response, err := pool.Do(t.Context(), server.address(), request)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			close(received)
			is.Equal(string(body), "part")
			is.Equal(err == nil, tt.whole)
			is.NoErr(response.Body.Close())
		})
	}
}
