package sse

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// ContentType is the media type of an event stream.
const ContentType = "text/event-stream"

// ErrUnwritable is returned for an event whose fields would break the framing.
var ErrUnwritable = errors.New("server-sent event field holds a line end or NUL")

// Writer writes events to a response, flushing each. It is used by one
// goroutine.
type Writer struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	buffer     bytes.Buffer
}

// NewWriter sets the headers of an event stream on response and returns its
// writer. The status is sent with the first event.
func NewWriter(response http.ResponseWriter) *Writer {
	response.Header().Set("Content-Type", ContentType)
	response.Header().Set("Cache-Control", "no-store")
	return &Writer{response: response, controller: http.NewResponseController(response)}
}

// Write sends one event and flushes it. Data may hold LF, but not CR.
func (w *Writer) Write(event Event) error {
	if strings.ContainsAny(event.ID+event.Name, "\r\n\x00") || bytes.ContainsRune(event.Data, '\r') {
		return ErrUnwritable
	}
	w.buffer.Reset()
	w.field("id", event.ID)
	w.field("event", event.Name)
	for line := range bytes.SplitSeq(event.Data, []byte("\n")) {
		w.buffer.WriteString("data: ")
		w.buffer.Write(line)
		w.buffer.WriteByte('\n')
	}
	w.buffer.WriteByte('\n')
	if _, err := w.response.Write(w.buffer.Bytes()); err != nil {
		return errors.Wrap(err, "write server-sent event")
	}
	return errors.Wrap(w.controller.Flush(), "flush server-sent event")
}

func (w *Writer) field(name, value string) {
	if value == "" {
		return
	}
	w.buffer.WriteString(name)
	w.buffer.WriteString(": ")
	w.buffer.WriteString(value)
	w.buffer.WriteByte('\n')
}
