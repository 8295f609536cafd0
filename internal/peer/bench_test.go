package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// countingListener counts the bytes of every connection it accepts.
type countingListener struct {
	net.Listener
	read, written, accepted atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	l.accepted.Add(1)
	return &countingConnection{connection, l}, err
}

type countingConnection struct {
	net.Conn
	listener *countingListener
}

// Read implements net.Conn.
func (c *countingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.listener.read.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countingConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.listener.written.Add(int64(count))
	return count, err
}

type empty struct{}

// BenchmarkCallBytes reports the bytes of a call with an empty body on an open connection,
// without TCP/IP headers.
func BenchmarkCallBytes(b *testing.B) {
	is := is.New(b)
	server, err := NewServer(testKey, 0)
	is.NoErr(err)
	is.NoErr(Handle(server, "directory.message", func(context.Context, empty) (empty, error) { return empty{}, nil }))
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &countingListener{Listener: plain}
	listening := &http.Server{Handler: server}
	go func() { _ = listening.Serve(listener) }()
	defer listening.Close()
	client, err := NewClient(testKey, 0)
	is.NoErr(err)
	defer client.Close()
	calls := 0
	b.ReportAllocs()
	for b.Loop() {
		calls++
		if err := client.Call(context.Background(), plain.Addr().String(), "directory.message", empty{}, &empty{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(listener.read.Load())/float64(calls), "request-B")
	b.ReportMetric(float64(listener.written.Load())/float64(calls), "reply-B")
	b.ReportMetric(float64(listener.accepted.Load())/float64(calls), "connections/call")
}
