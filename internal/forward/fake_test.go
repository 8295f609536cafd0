package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/promptcache"
)

// answer is what the fake caller does with one attempt.
type answer func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error)

// fakeCaller answers attempts in turn; the last answer is repeated.
type fakeCaller struct {
	mutex    sync.Mutex
	answers  []answer
	attempts []forward.Attempt
}

// Send implements forward.Caller.
func (c *fakeCaller) Send(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
	c.mutex.Lock()
	c.attempts = append(c.attempts, *attempt)
	next := c.answers[min(len(c.attempts), len(c.answers))-1]
	c.mutex.Unlock()
	return next(ctx, attempt)
}

func (c *fakeCaller) sent() []forward.Attempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]forward.Attempt(nil), c.attempts...)
}

var errReset = errors.New("connection reset")

func reply(verdict forward.Execution, status int, body io.Reader) answer {
	return func(context.Context, *forward.Attempt) (*forward.Reply, error) {
		return &forward.Reply{
			Status: status, Header: http.Header{"Seal": {fmt.Sprint(status)}}, Length: -1,
			Body: io.NopCloser(body), Execution: verdict,
		}, nil
	}
}

func genuine(status int, body string) answer {
	return func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
		return reply(forward.Genuine, status, strings.NewReader(body))(ctx, attempt)
	}
}

func refusing(verdict forward.Execution) answer {
	return func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
		return reply(verdict, http.StatusServiceUnavailable, strings.NewReader("no"))(ctx, attempt)
	}
}

// breaking gives the body and then breaks off.
func breaking(body string) answer {
	return func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
		broken := io.MultiReader(strings.NewReader(body), failingReader{})
		return reply(forward.Genuine, http.StatusOK, broken)(ctx, attempt)
	}
}

type failingReader struct{}

// Read implements io.Reader.
func (failingReader) Read([]byte) (int, error) { return 0, errReset }

func failing(sent bool) answer {
	return func(context.Context, *forward.Attempt) (*forward.Reply, error) {
		return nil, &exchange.Error{Sent: sent, Cause: errReset}
	}
}

// hanging gives the body and then nothing until it is given up.
func hanging(body string) answer {
	return func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
		if body == "" {
			<-ctx.Done()
			return nil, &exchange.Error{Sent: true, Cause: context.Cause(ctx)}
		}
		stuck := io.MultiReader(strings.NewReader(body), &waitingReader{ctx: ctx})
		return reply(forward.Genuine, http.StatusOK, stuck)(ctx, attempt)
	}
}

// waitingReader waits until its attempt is given up.
type waitingReader struct{ ctx context.Context }

// Read implements io.Reader.
func (r *waitingReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, context.Cause(r.ctx)
}

// fakeSink takes the final answer.
type fakeSink struct {
	status  int
	header  http.Header
	body    bytes.Buffer
	refusal *fault.Fault
	aborted bool
	finals  int
	at      time.Time
}

// Head implements forward.Sink.
func (s *fakeSink) Head(status int, header http.Header, _ int64) {
	s.status, s.header = status, header
	s.finals++
}

// Write implements forward.Sink.
func (s *fakeSink) Write(data []byte) error {
	s.body.Write(data)
	return nil
}

// Flush implements forward.Sink.
func (s *fakeSink) Flush() error { return nil }

// Abort implements forward.Sink.
func (s *fakeSink) Abort() { s.aborted = true }

// Refuse implements forward.Sink.
func (s *fakeSink) Refuse(refusal *fault.Fault) {
	s.refusal = refusal
	s.finals++
	s.at = time.Now()
}

// bench is a forwarder over fakes.
type bench struct {
	caller    *fakeCaller
	holder    *catalog.Holder
	backends  *backend.Registry
	caches    *promptcache.Index
	forwarder *forward.Forwarder
	steps     []forward.Step
	// routers is the number of routers that the forwarder is told, lists the
	// number of lists made by relist.
	routers, lists int
	mutex          sync.Mutex
}

// cacheStore is the store of kept prompt caches of the configuration.
var cacheStore = netip.MustParseAddrPort("10.9.9.9:1")

var configuration = catalog.Content{
	Version: 3,
	Routes: []catalog.Route{
		{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: catalog.Safe, MaxAttempts: 2, Timeout: 2 * time.Second, Target: 300 * time.Millisecond, Split: []catalog.Share{{Service: "s", Weight: 1}}},
		{Name: "unsafe", Host: "h", PathPrefix: "/unsafe/", Kind: catalog.Unsafe, MaxAttempts: 2, Timeout: 2 * time.Second, Target: 300 * time.Millisecond, Split: []catalog.Share{{Service: "s", Weight: 1}}},
		{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: catalog.Streaming, MaxAttempts: 2, Timeout: 5 * time.Second, Target: 300 * time.Millisecond, GapTarget: 500 * time.Millisecond, Split: []catalog.Share{{Service: "s", Weight: 1}}},
		{Name: "resumable", Host: "h", PathPrefix: "/resumable/", Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2, Timeout: 9 * time.Second, Target: 300 * time.Millisecond, GapTarget: 500 * time.Millisecond, Split: []catalog.Share{{Service: "s", Weight: 1}}},
		{Name: "public", Host: "h", PathPrefix: "/public/", Kind: catalog.Safe, Public: true, MaxAttempts: 2, Timeout: time.Second, Target: 300 * time.Millisecond, Split: []catalog.Share{{Service: "s", Weight: 1}}},
	},
	Services: []catalog.Service{{Name: "s", MaxConnections: 100}, {Name: "store", CacheStore: cacheStore}},
	Keys: map[string]*catalog.Tenant{
		"key":    {Name: "tenant", Priority: 1},
		"walled": {Name: "isolated", Isolated: true},
	},
}

func newBench(answers ...answer) *bench {
	b := &bench{routers: 1, caches: promptcache.NewIndex(), caller: &fakeCaller{answers: answers}, holder: &catalog.Holder{}, backends: backend.NewRegistry(backend.Config{Zone: "z"})}
	b.holder.Adopt(catalog.NewSnapshot(configuration), time.Now())
	var records []backend.Record
	for _, name := range []ident.Incarnation{"a", "b", "c"} {
		records = append(records, backend.Record{
			Instance: name, Service: "s", Zone: "z", Slots: 4, Address: "10.0.0.1:1", Models: map[ident.Model]int{"m": 2},
		})
	}
	b.backends.ApplyList(time.Now(), records)
	b.forwarder = forward.New(forward.Config{
		Freshness: catalog.Freshness{Keyed: 4 * time.Second, Denial: time.Second},
		Retries:   admission.WindowConfig{Window: 10 * time.Second, Share: 0.2},
		Slack:     benchSlack,
	}, forward.Dependencies{
		Holder: b.holder, Backends: b.backends, Caller: b.caller, Record: b.record, Routers: func() int { return b.routers }, Sharers: func() int { return b.routers }, Caches: b.caches,
	})
	return b
}

// lateEngines lets the registry see answers of all engines that come later than
// predicted.
func (b *bench) lateEngines(by time.Duration) {
	now := time.Now()
	for key := range uint64(60) {
		choice, flight, found := b.backends.Pick(now, &backend.Query{Service: "s", Model: "m", HomeKey: key, OwnTokens: 1})
		if !found {
			continue
		}
		flight.ObserveBytes(now.Add(choice.Predicted + by))
		flight.End(now, backend.Answered)
	}
}

// benchSlack is granted to all routers of a bench together.
const benchSlack = 10

// relist lists other back ends than those that rest after refusals.
func (b *bench) relist() {
	b.lists++
	var records []backend.Record
	for index := range 3 {
		records = append(records, backend.Record{
			Instance: ident.Incarnation(fmt.Sprint("list-", b.lists, "-", index)), Service: "s", Zone: "z", Slots: 4,
			Address: "10.0.0.1:1", Models: map[ident.Model]int{"m": 2},
		})
	}
	b.backends.ApplyList(time.Now(), records)
}

func (b *bench) record(step forward.Step) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.steps = append(b.steps, step)
}

func request(route string) *forward.Request {
	return &forward.Request{
		ID: "r", Method: http.MethodPost, Target: "/" + route + "/1", Path: "/" + route + "/1", Host: "h",
		Header: http.Header{}, Key: "key", ClientTimeout: 20 * time.Second, ReceivedAt: time.Now(),
	}
}

// forward runs a request to its end.
func (b *bench) forward(t *testing.T, wanted *forward.Request) *fakeSink {
	t.Helper()
	sink := &fakeSink{}
	b.forwarder.Forward(t.Context(), wanted, sink)
	if sink.finals > 1 || (sink.finals == 0 && !sink.aborted) {
		t.Fatalf("%d final answers", sink.finals)
	}
	return sink
}
