package httpclient_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/httpclient"
)

// An answer without a length that a reset cuts off during a long upload must not look whole: the kernel reports the
// reset once, maybe to the write of the request.
func TestResetDuringAnUploadIsNoEndOfAnAnswer(t *testing.T) {
	const tries, uploadBytes = 300, 3 << 20
	is := is.New(t)
	address := serveScript(t, func(connection net.Conn) {
		_, _ = connection.Read(make([]byte, 1))
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = connection.(*net.TCPConn).SetLinger(0)
	})
	client := httpclient.New(httpclient.Options{})
	whole := 0
	for range tries {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, uploadBytes)))
		is.NoErr(err)
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		if body, err := httpclient.ReadBody(response, 1<<10); err == nil && string(body) == "part" {
			whole++
		}
	}
	is.Equal(whole, 0)
}

// The end of a connection ends an answer without a length only once the whole request was sent.
func TestEndOfAnEarlyAnswerIsNotProven(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	address := serveScript(t, func(connection net.Conn) {
		_, _ = connection.Read(make([]byte, 1))
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = connection.(*net.TCPConn).CloseWrite()
		<-ended
	})
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, 16<<20)))
	is.NoErr(err)
	response, err := httpclient.New(httpclient.Options{}).Do(request)
	is.NoErr(err)
	body, err := httpclient.ReadBody(response, 1<<10)
	close(ended)
	is.True(err != nil || string(body) != "part")
}
