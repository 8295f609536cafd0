package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/memory"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// minEventBytes is the size of the first buffer for events.
	minEventBytes = 512
)

var (
	errEventTooLarge  = errors.New("an event of the stream is too large")
	errEventTruncated = errors.New("the stream ended partway through an event")
)

// eventReader reads a stream of events as complete, unchanged blocks of bytes.
type eventReader struct {
	source *bufio.Reader
	block  memory.Buffer
}

// newEventReader returns a reader whose owner calls close at the end.
func newEventReader(source io.Reader, held *memory.Budget) *eventReader {
	return &eventReader{source: bufio.NewReaderSize(source, 2<<10), block: held.NewBuffer()}
}

func (r *eventReader) close() { r.block.Free() }

// event is one block of a stream, with the blank line that ends it. Its bytes
// are valid until the next call of next.
type event struct {
	raw []byte
	// id is the number in the event's id line; hasID is false if there is none.
	id    int64
	hasID bool
	// hasContent is whether a line is not a comment.
	hasContent bool
}

// next returns the next complete event. It returns io.EOF only if the stream
// ended between two events.
func (r *eventReader) next() (event, error) {
	if r.block.Reserved() > 0 {
		r.block.Free()
	}
	r.block.Data = r.block.Data[:0]
	var read event
	// inLine is whether the next bytes continue a line.
	inLine := false
	for {
		line, err := r.source.ReadSlice('\n')
		if !r.add(line) {
			return event{}, errEventTooLarge
		}
		read.hasContent = read.hasContent || !inLine && len(line) > 0 && isContent(line[0])
		if err == bufio.ErrBufferFull {
			inLine = true
			continue
		}
		if err == io.EOF && len(r.block.Data) > 0 {
			return event{}, errEventTruncated
		}
		if err != nil {
			return event{}, err
		}
		if inLine {
			inLine = false
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			read.raw = r.block.Data
			return read, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			read.id, read.hasID = number, err == nil
		}
	}
}

// isContent reports whether a line that begins with a byte is neither a comment nor empty.
func isContent(first byte) bool { return first != ':' && first != '\r' && first != '\n' }

// add adds a part of a line to the block, and reports whether the limits allow that.
func (r *eventReader) add(part []byte) bool {
	size := len(r.block.Data) + len(part)
	if size > maxEventBytes || size > cap(r.block.Data) && !r.block.Grow(max(size, minEventBytes)) {
		return false
	}
	r.block.Data = append(r.block.Data, part...)
	return true
}

// buffered reports whether another event may already have arrived.
func (r *eventReader) buffered() bool { return r.source.Buffered() > 0 }
