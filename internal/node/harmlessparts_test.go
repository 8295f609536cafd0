package node

// Guards against the quarantine of parts of prompts that are only open when back ends crash for other
// reasons, and against its loss.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	longPart       = "long"
	longEvents     = 40
	longEventPause = 200 * time.Millisecond
)

// longBody is a stream with an event at each longEventPause, which breaks off when its engine crashes.
type longBody struct {
	ended <-chan struct{}
	sent  int
}

// Read implements io.Reader.
func (b *longBody) Read(buffer []byte) (int, error) {
	if b.sent == longEvents {
		return 0, io.EOF
	}
	select {
	case <-b.ended:
		return 0, &exchange.Error{Sent: true, Cause: io.ErrUnexpectedEOF}
	case <-time.After(longEventPause):
	}
	b.sent++
	return copy(buffer, fmt.Sprintf("id: %d\ndata: a\n\n", b.sent)), nil
}

// longReply is the answer to a prompt with longPart, nil for others.
func longReply(attempt *forward.Attempt, ended <-chan struct{}) *forward.Reply {
	prompt := attempt.Request.Prompt
	if prompt == nil || !strings.HasPrefix(prompt.Parts[max(len(prompt.Parts)-2, 0)].ID, longPart) {
		return nil
	}
	return &forward.Reply{Status: 200, Length: -1, Body: io.NopCloser(&longBody{ended: ended}), Execution: forward.Genuine}
}

// Engines crash for other reasons, beside parts that all clients have and beside one that a single client
// has in long streams.
func TestHarmlessPartsAreNotQuarantined(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		count int
		pause time.Duration
	}{
		{"a third at a time", 5, 1200 * time.Millisecond},
		{"one after the other", 1, 400 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l := newPartFleet(t)
			var working sync.WaitGroup
			l.startOthers(&working, 20*time.Millisecond)
			for client := range 6 {
				working.Go(func() { l.sendLong(client) })
			}
			for time.Now().Before(l.until()) {
				time.Sleep(tt.pause)
				l.f.crashAny(tt.count)
			}
			working.Wait()
			t.Logf("%d requests at the end, %d served, %d quarantined; %d crashes", l.others.Load(), l.served.Load(), l.held.Load(), l.f.allCrashes)
			if l.held.Load() > 0 {
				t.Error("a harmless part was quarantined")
			}
		})
	}
}

// sendLong sends long streams of one client until the end, one after the other.
func (l *partLoad) sendLong(client int) {
	for count := 0; time.Now().Before(l.until()); count++ {
		sink := l.f.sendPrompt(l.f.t.Context(), client+count, prompt{"key-a", []string{"first", longPart}, ""})
		if sink.refusal != nil && sink.refusal.Kind == fault.Quarantined {
			l.held.Add(1)
		}
	}
}

// crashAny crashes some engines at once.
func (f *crashFleet) crashAny(count int) {
	f.mu.Lock()
	var all []*crashEngine
	for _, engine := range f.engines {
		all = append(all, engine)
	}
	f.mu.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, engine := range all[:count] {
		f.crash(engine)
	}
}

// A quarantined part stays quarantined at routers that start anew, all at once, and while the store is
// down.
func TestQuarantineOfPartOutlivesRouters(t *testing.T) {
	t.Parallel()
	const bad = crashBody + " a"
	for _, tt := range []struct {
		name    string
		disturb func(f *crashFleet)
	}{
		{"all start anew", func(f *crashFleet) {
			f.stopRouters()
			for index := range 4 {
				f.startRouter(ident.Node(fmt.Sprint("new", index)))
			}
		}},
		{"one starts", func(f *crashFleet) { f.startRouter("new") }},
		{"the store is down", func(f *crashFleet) { f.table.down.Store(true) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l := newPartFleet(t)
			for count := range 8 {
				l.f.sendPrompt(t.Context(), count, prompt{"key-a", []string{"first", bad}, ""})
				l.f.sendPrompt(t.Context(), count, prompt{"key-a", []string{"first", "second"}, ""})
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(partPropagation)
			tt.disturb(l.f)
			from := time.Now()
			is := is.New(t)
			for count := range 10 {
				sink := l.f.sendPrompt(t.Context(), count, prompt{"key-a", []string{"first", bad}, ""})
				is.True(sink.refusal != nil)
				is.Equal(sink.refusal.Kind, fault.Quarantined)
				is.Equal(l.f.sendPrompt(t.Context(), count, prompt{"key-a", []string{"first", "second"}, ""}).status, 200)
			}
			is.Equal(l.f.arrivedAfter(bad, from), 0)
		})
	}
}
