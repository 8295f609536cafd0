package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/fieldpond/fieldpond/internal/memory"
)

// Events must arrive unchanged and in order, whatever an engine sends and in whatever pieces, and hold no memory
// afterwards.
func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{
		"", "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", ": comment\n\ndata\n\n", "id: x\n\n\n\n", "data: " + strings.Repeat("x", 5000) + "\n\nid: 2\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		for _, source := range []io.Reader{bytes.NewReader(stream), iotest.OneByteReader(bytes.NewReader(stream))} {
			held := memory.NewBudget(64 << 10)
			events := newEventReader(source, held)
			var passed []byte
			var err error
			for err == nil {
				var next event
				next, err = events.next()
				passed = append(passed, next.raw...)
			}
			if !bytes.HasPrefix(stream, passed) {
				t.Errorf("%q was passed on of %q", passed, stream)
			}
			if err == io.EOF && len(passed) != len(stream) {
				t.Errorf("%d of %d bytes were passed on, though the stream seems whole", len(passed), len(stream))
			}
			events.close()
			if held.Used() != 0 {
				t.Errorf("%d bytes stay reserved", held.Used())
			}
		}
	})
}
