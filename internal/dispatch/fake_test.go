package dispatch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answerChunks is the number of chunks in every answer of fakeEngines.
const answerChunks = 5

func chunkText(number int) string { return fmt.Sprintf("t%d ", number) }

func wholeAnswer() string {
	var text strings.Builder
	for number := 1; number <= answerChunks; number++ {
		text.WriteString(chunkText(number))
	}
	return text.String()
}

// damage is a fault of one connection at the event with the sequence number.
type damage struct {
	kind     string
	sequence uint64
}

// fakeEngines is a fleet of engines at addresses "a", "b", ...; damage affects
// the first connection only, unless always is set.
type fakeEngines struct {
	mutex        sync.Mutex
	damage       damage
	always       bool
	connections  int
	incarnations map[string]int
	streams      map[ident.Stream][]protocol.StreamEvent
	generated    []protocol.GenerateRequest
	cancelled    []ident.Stream
	refuse       map[string]error
	// frozen is the address of an engine that accepts connections and sends nothing.
	frozen string
}

func newFakeEngines(d damage) *fakeEngines {
	return &fakeEngines{damage: d, incarnations: map[string]int{}, streams: map[ident.Stream][]protocol.StreamEvent{}, refuse: map[string]error{}}
}

func (f *fakeEngines) incarnation(address string) ident.Incarnation {
	return ident.Incarnation(fmt.Sprintf("%s%d", address, f.incarnations[address]))
}

func refusal(kind protocol.RefusalKind, incarnation ident.Incarnation) error {
	cause := &engine.RefusedError{Refusal: protocol.Refusal{Kind: kind, Ran: fault.RanNo, Incarnation: incarnation}}
	return fault.Wrap(cause, fault.BackendRefused, "refused")
}

func (f *fakeEngines) Generate(ctx context.Context, address string, request protocol.GenerateRequest) (engine.EventStream, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.generated = append(f.generated, request)
	if err := f.refuse[address]; err != nil {
		return nil, err
	}
	if request.ExpectedIncarnation != f.incarnation(address) {
		return nil, refusal(protocol.RefusalMismatch, f.incarnation(address))
	}
	stream := ident.Stream(fmt.Sprintf("%s/%s/%d", request.ExpectedIncarnation, request.RequestID, request.Attempt))
	event := protocol.StreamEvent{Kind: protocol.EventStart, RequestID: request.RequestID, Attempt: request.Attempt, Incarnation: request.ExpectedIncarnation, Stream: stream, Usage: &protocol.Usage{PromptTokens: 8, CachedTokens: 4}}
	events := []protocol.StreamEvent{event}
	event.Usage = nil
	for number := strings.Count(request.Continued, "t") + 1; number <= answerChunks; number++ {
		event.Kind, event.Text, event.Tokens = protocol.EventChunk, chunkText(number), 1
		event.Sequence++
		events = append(events, event)
	}
	event.Kind, event.Text, event.Tokens, event.FinishReason = protocol.EventEnd, "", 0, "stop"
	event.Sequence++
	f.streams[stream] = append(events, event)
	return f.connect(ctx, address, f.streams[stream], 0), nil
}

func (f *fakeEngines) Resume(ctx context.Context, address string, target engine.ResumeTarget) (engine.EventStream, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.frozen == address {
		f.mutex.Unlock()
		<-ctx.Done()
		f.mutex.Lock()
		return nil, fault.Wrap(ctx.Err(), fault.BackendLost, "no answer").WithRan(fault.RanUnknown)
	}
	events, known := f.streams[target.Stream]
	if !known || target.Incarnation != f.incarnation(address) {
		return nil, refusal(protocol.RefusalUnknownStream, f.incarnation(address))
	}
	return f.connect(ctx, address, events, target.From), nil
}

func (f *fakeEngines) Cancel(_ context.Context, _ string, stream ident.Stream) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cancelled = append(f.cancelled, stream)
	return nil
}

func (f *fakeEngines) cancels() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.cancelled)
}

// connect opens a connection; the caller holds the mutex.
func (f *fakeEngines) connect(ctx context.Context, address string, events []protocol.StreamEvent, from uint64) engine.EventStream {
	f.connections++
	connection := &fakeStream{closed: make(chan struct{}), ctx: ctx}
	events = append([]protocol.StreamEvent(nil), events[min(int(from), len(events)):]...)
	if f.connections == 1 || f.always {
		events = f.applyDamage(address, connection, events)
	}
	connection.events = events
	return connection
}

// applyDamage applies the damage to a connection's events.
func (f *fakeEngines) applyDamage(address string, connection *fakeStream, events []protocol.StreamEvent) []protocol.StreamEvent {
	if f.damage.kind == "one event a connection" {
		return events[:1]
	}
	for index, event := range events {
		if event.Sequence != f.damage.sequence {
			continue
		}
		odd := event
		odd.Text = "WRONG"
		rest := append([]protocol.StreamEvent(nil), events[index:]...)
		before := events[:index:index]
		switch f.damage.kind {
		case "none":
			return events
		case "cut", "gone":
			if f.damage.kind == "gone" {
				f.incarnations[address]++
			}
			return before
		case "stall", "frozen":
			if f.damage.kind == "frozen" {
				f.frozen = address
			}
			connection.stalls = true
			return before
		case "lost":
			return append(before, rest[1:]...)
		case "swap":
			if len(rest) > 1 {
				rest[0], rest[1] = rest[1], rest[0]
			}
			return append(before, rest...)
		case "repeat":
			return append(append(before, event, odd), rest[1:]...)
		case "crossed request":
			odd.RequestID = "another"
		case "late attempt":
			odd.Attempt += 7
		case "crossed incarnation":
			odd.Incarnation = "another"
		case "crossed stream":
			odd.Stream = "another"
			if index == 0 {
				return events
			}
		case "engine error":
			odd.Kind = protocol.EventError
			return append(before, odd)
		}
		return append(append(before, odd), rest...)
	}
	return events
}

type fakeStream struct {
	events []protocol.StreamEvent
	stalls bool
	ctx    context.Context
	closed chan struct{}
	once   sync.Once
}

func (s *fakeStream) Next() (protocol.StreamEvent, error) {
	if len(s.events) == 0 {
		if s.stalls {
			<-s.closed
			return protocol.StreamEvent{}, fault.New(fault.BackendLost, "closed").WithRan(fault.RanUnknown)
		}
		return protocol.StreamEvent{}, io.EOF
	}
	event := s.events[0]
	s.events = s.events[1:]
	return event, nil
}

func (s *fakeStream) Close() { s.once.Do(func() { close(s.closed) }) }

// fakePlacer offers engines in order, unless excluded; "a" serves the last of
// the permitted versions, all others the first.
type fakePlacer struct {
	engines  *fakeEngines
	offered  []ident.Engine
	released []Result
}

func (p *fakePlacer) Place(_ context.Context, job *Job) (Placement, error) {
	for _, name := range p.offered {
		if job.Excluded[name] {
			continue
		}
		p.engines.mutex.Lock()
		defer p.engines.mutex.Unlock()
		version := job.Versions[0]
		if name == "a" {
			version = job.Versions[len(job.Versions)-1]
		}
		return Placement{
			Engine: name, Address: string(name), Incarnation: p.engines.incarnation(string(name)),
			Model: job.Model, Version: version,
			Release: func(result Result) { p.released = append(p.released, result) },
		}, nil
	}
	return Placement{}, fault.New(fault.NoPermittedEngine, "none left")
}

type fakeBudget struct{ retries int }

func (b *fakeBudget) Allow(ident.Service) bool { b.retries--; return b.retries >= 0 }
func (b *fakeBudget) Success(ident.Service)    {}

// fakeChart counts terminal events.
type fakeChart struct{ ends int }

func (c *fakeChart) Fire(event Event) {
	switch event {
	case EventCompleted, EventRunFailed, EventGaveUp, EventCallerGone, EventClaimFailed:
		c.ends++
	}
}

type textSink struct {
	text   strings.Builder
	last   Position
	failAt int
	calls  int
}

func (s *textSink) Chunk(chunk Chunk) error {
	s.calls++
	if s.calls == s.failAt {
		return io.ErrClosedPipe
	}
	s.text.WriteString(chunk.Text)
	s.last = chunk.Position
	return nil
}

// fixture is a Dispatcher with fake dependencies.
type fixture struct {
	*Dispatcher
	engines *fakeEngines
	placer  *fakePlacer
	chart   *fakeChart
}

func newFixture(d damage, offered ...ident.Engine) *fixture {
	engines := newFakeEngines(d)
	r := &fixture{engines: engines, placer: &fakePlacer{engines: engines, offered: offered}, chart: &fakeChart{}}
	r.Dispatcher = New(Config{}, Dependencies{
		Engines: engines, Placer: r.placer, Budget: &fakeBudget{retries: 10},
		NewChart: func(bool) Chart { return r.chart },
	})
	return r
}

func testJob() *Job {
	return &Job{ID: "r1", Tenant: "graz", Service: "chat", Model: "m", Versions: []ident.ModelVersion{"v2", "v1"}, Prompt: "p", MaxTokens: 50, Resumable: true}
}
