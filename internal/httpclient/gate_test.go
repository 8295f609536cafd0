package httpclient

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// Guards against a write after an exchange was reported as unsent, on a connection
// with earlier writes.
func TestSealStopsLateWrites(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	gate := &gatedConnection{Conn: near}
	_, err := gate.Write([]byte("earlier"))
	is.NoErr(err)

	var tracker sentTracker
	tracker.gotConnection(httptrace.GotConnInfo{Conn: gate, Reused: true})
	is.True(!tracker.sealAll())
	_, err = gate.Write([]byte("late"))
	is.Equal(err, errSealed)

	var opaque sentTracker
	opaque.gotConnection(httptrace.GotConnInfo{Conn: near})
	is.True(opaque.sealAll()) // a connection that is not gated counts as sent
}
