package sse_test

import (
	"bytes"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/sse"
)

const testLimit = 64

func TestReaderEndsAndBounds(t *testing.T) {
	cases := []struct {
		name, stream string
		events       int
		last         string
		end          error
	}{
		{"whole", "id: 1\nevent: chunk\ndata: a\ndata: b\n\n", 1, "a\nb", io.EOF},
		{"carriage returns, comments, unknown fields", ": ping\r\n\r\nretry: 5\r\ndata:x\r\n\r\n", 1, "x", io.EOF},
		{"empty data is an event", "data\n\n", 1, "", io.EOF},
		{"cut inside an event", "data: a\n\ndata: b\n", 1, "a", io.ErrUnexpectedEOF},
		{"cut inside a line", "data: a\n\ndat", 1, "a", io.ErrUnexpectedEOF},
		{"line too long", "data: " + strings.Repeat("x", testLimit) + "\n\n", 0, "", sse.ErrTooLarge},
		{"event too long", strings.Repeat("data: 12345678\n", testLimit/8) + "\n", 0, "", sse.ErrTooLarge},
		{"comments do not count towards the limit", strings.Repeat(": a comment of some length\n\n", testLimit) + "data: y\n\n", 1, "y", io.EOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reader := sse.NewReader(strings.NewReader(c.stream), testLimit)
			var last string
			var events int
			event, err := reader.Next()
			for ; err == nil; event, err = reader.Next() {
				events, last = events+1, string(event.Data)
			}
			is.Equal(events, c.events)
			is.Equal(last, c.last)
			is.Equal(err, c.end)
			_, again := reader.Next()
			is.Equal(again, c.end) // the error is permanent
		})
	}
}

func TestWriterRefusesBrokenFraming(t *testing.T) {
	is := is.New(t)
	writer := sse.NewWriter(httptest.NewRecorder())
	is.Equal(writer.Write(sse.Event{ID: "1\ndata: forged"}), sse.ErrUnwritable)
	is.Equal(writer.Write(sse.Event{Data: []byte("a\rdata: forged")}), sse.ErrUnwritable)
}

// FuzzReader checks that no input panics or exceeds the limit, and that events
// survive a round trip through Writer and Reader.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		"id: 7\nevent: end\ndata: {\"kind\":\"end\"}\n\n", "data\n\n", ":\n\n", "data: a\r\ndata: b\r\n\r\n", "event: x\n\n", "data: a\x00\rb\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := sse.NewReader(bytes.NewReader(stream), testLimit)
		for {
			event, err := reader.Next()
			if err != nil {
				return
			}
			if len(event.ID)+len(event.Name)+len(event.Data) > testLimit {
				t.Fatalf("event with %d data bytes exceeds the limit", len(event.Data))
			}
			recorder := httptest.NewRecorder()
			if sse.NewWriter(recorder).Write(event) != nil {
				continue
			}
			again, err := sse.NewReader(recorder.Body, 4*testLimit).Next()
			if err != nil || again.ID != event.ID || again.Name != event.Name || !bytes.Equal(again.Data, event.Data) {
				t.Fatalf("round trip changed %q into %q (%v)", event, again, err)
			}
		}
	})
}
