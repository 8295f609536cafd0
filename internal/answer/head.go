package answer

import (
	"bufio"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
)

const (
	// headBytes is the first size of a buffer for a head, maxKeptBytes the largest that is kept.
	headBytes    = 1 << 10
	maxKeptBytes = 8 << 10
)

// headBuffers keeps buffers for heads.
var headBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, headBytes)
	return &buffer
}}

// ReadHead reads the head of an answer to a request with a method. It returns a *MalformedError at the first byte
// that no answer has there, io.EOF if there is no byte, and io.ErrUnexpectedEOF if the head does not end. The length
// of a head is the caller's to bound.
func ReadHead(reader *bufio.Reader, method string) (*Head, error) {
	buffer := headBuffers.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= maxKeptBytes {
			*buffer = (*buffer)[:0]
			headBuffers.Put(buffer)
		}
	}()
	var scanned scanner
	var err error
	if *buffer, err = scanned.readAll(reader, *buffer); err != nil {
		return nil, err
	}
	return parse(&scanned, string(*buffer), method)
}

// readAll appends the bytes up to the end of what is scanned to a buffer.
func (s *scanner) readAll(reader *bufio.Reader, buffer []byte) ([]byte, error) {
	for s.state != ended {
		if _, err := reader.Peek(1); err != nil {
			if err == io.EOF && len(buffer) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return buffer, err
		}
		// Never fails: that many bytes are buffered.
		data, _ := reader.Peek(reader.Buffered())
		count, err := s.scan(data)
		if err != nil {
			return buffer, err
		}
		buffer = append(buffer, data[:count]...)
		_, _ = reader.Discard(count)
	}
	return buffer, nil
}

const lineEnd = "\r\n"

// parse returns the head that was scanned.
func parse(scanned *scanner, text, method string) (*Head, error) {
	_, fields, _ := strings.Cut(text, lineEnd)
	head := &Head{Status: scanned.status, Header: parseFields(fields)}
	if err := head.parseFraming(scanned.minor); err != nil {
		return nil, err
	}
	if method == http.MethodHead || head.IsInterim() || head.Status == http.StatusNoContent || head.Status == http.StatusNotModified {
		head.Length, head.Chunked = 0, false
	}
	connection := head.Header["Connection"]
	head.Close = hasToken(connection, "close") || scanned.minor == '0' && !hasToken(connection, "keep-alive")
	return head, nil
}

// parseFields returns the fields of lines that were scanned, up to the empty one.
func parseFields(lines string) http.Header {
	count := strings.Count(lines, lineEnd) - 1
	header := make(http.Header, count)
	values := make([]string, count)
	for ; count > 0; count-- {
		line, rest, _ := strings.Cut(lines, lineEnd)
		lines = rest
		name, value, _ := strings.Cut(line, ":")
		name, value = textproto.CanonicalMIMEHeaderKey(name), strings.Trim(value, " \t")
		if known := header[name]; known != nil {
			header[name] = append(known, value)
			continue
		}
		values[0] = value
		header[name], values = values[:1:1], values[1:]
	}
	return header
}

// parseFraming sets how the body ends, which the fields must tell in one way.
func (h *Head) parseFraming(minor byte) error {
	codings, lengths := h.Header["Transfer-Encoding"], h.Header["Content-Length"]
	delete(h.Header, "Transfer-Encoding")
	delete(h.Header, "Trailer")
	h.Length = -1
	if codings != nil {
		h.Chunked = true
		if minor == '0' || lengths != nil || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return malformed(CauseFraming)
		}
	}
	for _, text := range lengths {
		length, err := strconv.ParseUint(text, 10, 63)
		if err != nil || text != lengths[0] {
			return malformed(CauseFraming)
		}
		h.Length = int64(length)
	}
	return nil
}
