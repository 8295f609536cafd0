package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned for a line or an event above the reader's limit. The
// stream cannot be read further.
var ErrTooLarge = errors.New("server-sent event above its size limit")

// readBufferBytes is the size of the read buffer; longer lines are joined in
// Reader.line.
const readBufferBytes = 4096

// Reader reads events from a stream. It is used by one goroutine.
type Reader struct {
	source *bufio.Reader
	// limit bounds one line and the fields of one event, in bytes.
	limit  int
	line   []byte
	failed error
}

// NewReader returns a reader whose lines and events may hold at most
// maxEventBytes bytes.
func NewReader(source io.Reader, maxEventBytes int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBufferBytes), limit: maxEventBytes}
}

// Next returns the next event that carries data, an id or a name. At the end
// of the stream it returns io.EOF after a whole event, and io.ErrUnexpectedEOF
// inside one; the incomplete event is dropped. After an error every call returns
// that error.
func (r *Reader) Next() (Event, error) {
	if r.failed != nil {
		return Event{}, r.failed
	}
	event, err := r.readEvent()
	r.failed = err
	return event, err
}

func (r *Reader) readEvent() (Event, error) {
	var assembled eventAssembly
	for {
		line, err := r.readLine()
		if err == io.EOF && (assembled.started || len(line) > 0) {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if assembled.started {
				return assembled.event, nil
			}
			continue
		}
		assembled.add(line)
		if assembled.size > r.limit {
			return Event{}, ErrTooLarge
		}
	}
}

// readLine returns the next line without its end. The bytes are valid until
// the next call. With io.EOF it returns the incomplete last line.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.source.ReadSlice('\n')
		if len(r.line)+len(part) > r.limit+len("\r\n") {
			return nil, ErrTooLarge
		}
		r.line = append(r.line, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return r.line, err
		}
		line := bytes.TrimSuffix(r.line, []byte("\n"))
		return bytes.TrimSuffix(line, []byte("\r")), nil
	}
}

// eventAssembly collects the fields of one event.
type eventAssembly struct {
	event   Event
	started bool
	hasData bool
	// size counts the bytes of the fields added so far.
	size int
}

// add adds one non-empty line. Comments and unknown fields are ignored.
func (a *eventAssembly) add(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		a.event.ID = string(value)
	case "event":
		a.event.Name = string(value)
	case "data":
		if a.hasData {
			a.event.Data = append(a.event.Data, '\n')
		}
		a.event.Data = append(a.event.Data, value...)
		a.hasData = true
	default:
		return
	}
	a.started = true
	a.size += len(line)
}
