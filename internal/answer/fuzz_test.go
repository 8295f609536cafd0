package answer_test

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"net/http"
	"slices"
	"testing"

	"github.com/fieldpond/fieldpond/internal/answer"
)

// What is accepted must be read in the same way by another reader: its status, fields, body, and where it ends.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200\r\n\r\nbody", "HTTP/1.0 204 No\r\nName: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", "HTTP/1.1 103 Early\r\nName: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nName: x\r\n\r\nmore",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbodymore",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, sent []byte, isHead bool) {
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		reader := bufio.NewReader(bytes.NewReader(sent))
		head, err := answer.ReadHead(reader, method)
		if err != nil {
			return
		}
		body, err := io.ReadAll(answer.NewBody(head, reader))
		if err != nil {
			return
		}
		otherReader := bufio.NewReader(bytes.NewReader(sent))
		other, err := http.ReadResponse(otherReader, &http.Request{Method: method})
		if err != nil {
			t.Fatalf("%q: another reader fails: %v", sent, err)
		}
		otherBody, err := io.ReadAll(other.Body)
		if err != nil || !bytes.Equal(body, otherBody) {
			t.Fatalf("%q: body %q, another reader has %q, %v", sent, body, otherBody, err)
		}
		if head.Status != other.StatusCode || !sameFields(head.Header, other.Header) {
			t.Fatalf("%q: status %d, fields %q, another reader has %d, %q", sent, head.Status, head.Header, other.StatusCode, other.Header)
		}
		rest, _ := io.ReadAll(reader)
		otherRest, _ := io.ReadAll(otherReader)
		if !bytes.Equal(rest, otherRest) {
			t.Fatalf("%q: %q follows, for another reader %q", sent, rest, otherRest)
		}
	})
}

// sameFields reports whether two headers have the same fields, but for those that net/http drops, adds or joins.
func sameFields(header, other http.Header) bool {
	header, other = header.Clone(), other.Clone()
	for _, name := range []string{"Cache-Control", "Pragma", "Content-Length", "Trailer"} {
		header.Del(name)
		other.Del(name)
	}
	return maps.EqualFunc(header, other, slices.Equal)
}
