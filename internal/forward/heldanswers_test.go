package forward

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Answers that are each below the limit of one must not fill the memory together; what does not fit is passed
// on as it arrives.
func TestAnswersHeldTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	const limit, size = 100 << 10, 30 << 10
	held := &heldAnswers{limit: limit}
	var buffers []*heldBuffer
	whole := 0
	for range 10 {
		buffer := &heldBuffer{held: held}
		isWhole, err := buffer.readFrom(strings.NewReader(strings.Repeat("x", size)), maxBufferedBytes)
		is.NoErr(err)
		if isWhole {
			whole++
			is.Equal(len(buffer.data), size)
		}
		is.True(len(buffer.data) > 0) // the beginning is passed on first
		buffers = append(buffers, buffer)
	}
	is.True(whole > 0 && whole < 10)
	memory := 0
	for _, buffer := range buffers {
		memory += cap(buffer.data)
	}
	is.True(memory <= limit+10*unreservedBytes)
	for _, buffer := range buffers {
		buffer.free()
	}
	is.Equal(held.bytes.Load(), int64(0))
}

// Small answers must be held whole while others use up the memory.
func TestSmallAnswersNeedNoReservation(t *testing.T) {
	is := is.New(t)
	held := &heldAnswers{limit: 1}
	buffer := &heldBuffer{held: held}
	defer buffer.free()
	whole, err := buffer.readFrom(strings.NewReader(strings.Repeat("x", unreservedBytes-1)), maxBufferedBytes)
	is.NoErr(err)
	is.True(whole)
	events := newEventReader(strings.NewReader("id: 1\n"+strings.Repeat("x", unreservedBytes/2)+"\n\n"), held)
	defer events.close()
	_, err = events.next()
	is.NoErr(err)
}

// An answer must be read up to its limit, and what breaks off must stay an error.
func TestHeldAnswerEnds(t *testing.T) {
	errBroken := errors.New("broken")
	tests := []struct {
		name  string
		size  int
		err   error
		whole bool
	}{
		{"empty", 0, io.EOF, true},
		{"at the limit", 9000, io.EOF, true},
		{"above the limit", 9001, io.EOF, false},
		{"broken off", 100, errBroken, false},
		{"broken off above the limit", 20_000, errBroken, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			buffer := &heldBuffer{held: &heldAnswers{limit: 1 << 20}}
			body := io.MultiReader(strings.NewReader(strings.Repeat("x", tt.size)), failing{tt.err})
			whole, err := buffer.readFrom(body, 9000)
			is.Equal(whole, tt.whole)
			if tt.err == errBroken && tt.size <= 9000 {
				is.Equal(err, errBroken)
			} else {
				is.NoErr(err)
				is.True(len(buffer.data) >= min(tt.size, 9001))
			}
			buffer.free()
			is.Equal(buffer.held.bytes.Load(), int64(0))
		})
	}
}

// failing fails all reads.
type failing struct{ err error }

// Read implements io.Reader.
func (f failing) Read([]byte) (int, error) { return 0, f.err }

// Events of many streams that are each below the limit of one must not fill the memory together.
func TestEventsHeldTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	const limit, size = 200 << 10, 60 << 10
	held := &heldAnswers{limit: limit}
	event := "data: " + strings.Repeat("x", size) + "\n\n"
	var readers []*eventReader
	whole := 0
	for range 10 {
		reader := newEventReader(strings.NewReader(event), held)
		readers = append(readers, reader)
		next, err := reader.next()
		if err == nil {
			whole++
			is.Equal(string(next.raw), event)
			continue
		}
		is.Equal(err, errEventTooLarge)
	}
	is.True(whole > 0 && whole < 10)
	for _, reader := range readers {
		reader.close()
	}
	is.Equal(held.bytes.Load(), int64(0))
}

// After a large event, the memory for it must be free for those of other streams.
func TestLargeEventHoldsNoMemoryAfterwards(t *testing.T) {
	is := is.New(t)
	held := &heldAnswers{limit: 1 << 20}
	large, small := "data: "+strings.Repeat("x", 100<<10)+"\n\n", "data: x\n\n"
	events := newEventReader(strings.NewReader(large+small+large), held)
	for _, want := range []string{large, small, large} {
		next, err := events.next()
		is.NoErr(err)
		is.Equal(string(next.raw), want)
		is.True(held.bytes.Load() >= int64(cap(next.raw)-unreservedBytes)) // counted as allocated
		is.True(held.bytes.Load() > 0 == (want == large))
	}
	events.close()
	is.Equal(held.bytes.Load(), int64(0))
}
