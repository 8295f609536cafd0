package engine

import (
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// maxFeedEvents bounds the cache events kept for late readers; a reader that
// requests older ones sees a gap in the sequence numbers.
const maxFeedEvents = 65536

// incarnationState is the streams and cache events of one incarnation. crashed is
// closed by the model goroutine when the incarnation crashes.
type incarnationState struct {
	id      ident.Incarnation
	crashed chan struct{}
	feed    *feed
	mutex   sync.Mutex
	streams map[ident.Stream]*streamLog
}

func newIncarnation(id ident.Incarnation) *incarnationState {
	return &incarnationState{
		id:      id,
		crashed: make(chan struct{}),
		feed:    &feed{},
		streams: map[ident.Stream]*streamLog{},
	}
}

// stream returns the log of a stream, or nil.
func (s *incarnationState) stream(name ident.Stream) *streamLog {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.streams[name]
}

func (s *incarnationState) streamFor(name ident.Stream, now time.Time) *streamLog {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.streams[name] == nil {
		s.streams[name] = &streamLog{idleSince: now}
	}
	return s.streams[name]
}

func (s *incarnationState) listStreams() map[ident.Stream]*streamLog {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.streams)
}

func (s *incarnationState) remove(name ident.Stream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.streams, name)
}

// broadcast wakes every waiter at once. Its zero value is ready.
type broadcast struct {
	mutex   sync.Mutex
	channel chan struct{}
}

// wait returns a channel that is closed by the next wake.
func (b *broadcast) wait() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.channel == nil {
		b.channel = make(chan struct{})
	}
	return b.channel
}

func (b *broadcast) wake() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.channel != nil {
		close(b.channel)
		b.channel = nil
	}
}

// streamLog keeps all events of one stream for its readers and for resume. Its
// length is bounded by the model's output limit.
type streamLog struct {
	changed   broadcast
	mutex     sync.Mutex
	events    []protocol.StreamEvent
	ended     bool
	readers   int
	idleSince time.Time
}

func (s *streamLog) append(event protocol.StreamEvent, now time.Time) {
	s.mutex.Lock()
	s.events = append(s.events, event)
	if event.Kind == protocol.EventEnd || event.Kind == protocol.EventError {
		s.ended = true
		s.idleSince = now
	}
	s.mutex.Unlock()
	s.changed.wake()
}

// from returns the events from a sequence number on, and whether the stream has
// ended.
func (s *streamLog) from(sequence uint64) ([]protocol.StreamEvent, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if sequence >= uint64(len(s.events)) {
		return nil, s.ended
	}
	return s.events[sequence:len(s.events):len(s.events)], s.ended
}

// attach adds a connected reader; detach removes it.
func (s *streamLog) attach() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers++
}

func (s *streamLog) detach(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers--
	s.idleSince = now
}

// idleFor returns whether the stream has ended and how long it has had no reader.
func (s *streamLog) idleFor(now time.Time) (ended bool, idle time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readers > 0 {
		return s.ended, 0
	}
	return s.ended, now.Sub(s.idleSince)
}

// feed keeps the newest published cache events.
type feed struct {
	changed broadcast
	mutex   sync.Mutex
	events  []protocol.CacheEvent
}

func (f *feed) append(events []protocol.CacheEvent) {
	f.mutex.Lock()
	f.events = append(f.events, events...)
	if excess := len(f.events) - maxFeedEvents; excess > 0 {
		f.events = f.events[excess:]
	}
	f.mutex.Unlock()
	f.changed.wake()
}

// after returns at most limit events with sequence numbers above sequence.
func (f *feed) after(sequence uint64, limit int) []protocol.CacheEvent {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	first := sort.Search(len(f.events), func(i int) bool { return f.events[i].Sequence > sequence })
	last := min(first+limit, len(f.events))
	return append([]protocol.CacheEvent(nil), f.events[first:last]...)
}
