package load

import (
	"bufio"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// maxEventLine limits a line of a server-sent event, in bytes.
const maxEventLine = 1 << 20

// event is one server-sent event.
type event struct {
	id, name, data string
}

// eventReader reads server-sent events. An event without its closing empty
// line, as after an interrupted connection, is discarded.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(source io.Reader) *eventReader {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 4096), maxEventLine)
	return &eventReader{scanner: scanner}
}

// next returns the next event, or io.EOF at the end of the connection, whether
// or not the stream was complete.
func (r *eventReader) next() (event, error) {
	var found event
	for r.scanner.Scan() {
		line := r.scanner.Text()
		if line == "" {
			if found != (event{}) {
				return found, nil
			}
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			found.id = value
		case "event":
			found.name = value
		case "data":
			if found.data != "" {
				found.data += "\n"
			}
			found.data += value
		}
	}
	if err := r.scanner.Err(); err != nil {
		return event{}, errors.Wrap(err, "reading an event stream")
	}
	return event{}, io.EOF
}
