package forward

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/memory"
)

// An event must not end, or get another id, in the middle of a line that is longer than the buffer.
func TestLongLinesAreNotSplit(t *testing.T) {
	const buffer = 2 << 10
	tests := []struct {
		name, line string
	}{
		{"a multiple of the buffer", "data: " + strings.Repeat("x", buffer-6)},
		{"twice the buffer", "data: " + strings.Repeat("x", 2*buffer-6)},
		{"its end looks like an id", "data: " + strings.Repeat("x", buffer-6) + "id: 9"},
		{"its end is a carriage return", "data: " + strings.Repeat("x", buffer-6) + "\r"},
		{"one byte more", "data: " + strings.Repeat("x", buffer-5)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first, second := tt.line+"\nid: 1\n\n", "id: 2\ndata: y\n\n"
			events := newEventReader(strings.NewReader(first+second), memory.NewBudget(1<<20))
			defer events.close()
			for id, want := range []string{first, second} {
				next, err := events.next()
				is.NoErr(err)
				is.Equal(string(next.raw), want)
				is.Equal(next.id, int64(id+1))
			}
			_, err := events.next()
			is.Equal(err, io.EOF)
		})
	}
}
