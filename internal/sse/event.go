// Package sse reads and writes server-sent events (the WHATWG event stream
// format) with bounded memory. Lines end in LF or CRLF.
package sse

// Event is one server-sent event.
type Event struct {
	// ID is the "id" field; a client sends the last one when it reconnects.
	ID string
	// Name is the "event" field; empty means "message".
	Name string
	// Data is the "data" field, lines joined by LF.
	Data []byte
}
