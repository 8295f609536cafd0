package forward

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/memory"
)

// reservationSink records the memory that is reserved for answers at each write.
type reservationSink struct {
	held     *memory.Budget
	reserved []int64
	bytes    int
}

// Head implements Sink.
func (s *reservationSink) Head(int, http.Header, int64) {}

// Write implements Sink.
func (s *reservationSink) Write(data []byte) error {
	s.bytes += len(data)
	s.reserved = append(s.reserved, s.held.Used())
	return nil
}

// Flush implements Sink.
func (s *reservationSink) Flush() error { return nil }

// Abort implements Sink.
func (s *reservationSink) Abort() {}

// Refuse implements Sink.
func (s *reservationSink) Refuse(*fault.Fault) {}

// The beginning of an answer that is too long to be held must not stay in memory while the rest is passed on.
func TestLongAnswerHoldsNoMemory(t *testing.T) {
	is := is.New(t)
	const size = 4 << 20
	forwarder := &Forwarder{held: memory.NewBudget(1 << 20), Dependencies: Dependencies{Record: func(Step) {}}}
	sink := &reservationSink{held: forwarder.held}
	current := &attempt{run: &run{
		forwarder: forwarder, sink: sink, request: &Request{}, route: &catalog.Route{}, view: catalog.View{Snapshot: catalog.NewSnapshot(catalog.Content{})},
	}}
	held := forwarder.held.NewBuffer()
	body := io.LimitReader(zeros{}, size)
	whole, err := held.Fill(body, maxBufferedBytes)
	is.NoErr(err)
	is.True(!whole)
	failed := current.sendUnbuffered(&Reply{Status: http.StatusOK, Body: io.NopCloser(body), Length: size}, &held)
	is.True(failed == nil)
	is.Equal(sink.bytes, size)
	is.True(sink.reserved[0] > 0)
	is.Equal(sink.reserved[1], int64(0))
}

// zeros is an endless body.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}
