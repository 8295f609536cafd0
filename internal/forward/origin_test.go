package forward_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/affinity"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// fakeStreams returns found for each stream, and records those that began.
type fakeStreams struct {
	found affinity.Result
	asked []affinity.Key
	// held is what the holders know, nil for nothing.
	held         affinity.Result
	askedHolders []affinity.Key
	began        map[affinity.Key]affinity.Origin
	onBegan      func()
	onFind       func()
}

// Began implements forward.Streams.
func (f *fakeStreams) Began(key affinity.Key, origin affinity.Origin, _ time.Duration) {
	f.began[key] = origin
	if f.onBegan != nil {
		f.onBegan()
	}
}

// Find implements forward.Streams.
func (f *fakeStreams) Find(_ context.Context, key affinity.Key, _ ident.Service) affinity.Result {
	f.asked = append(f.asked, key)
	if f.onFind != nil {
		f.onFind()
	}
	return f.found
}

// AskHolders implements forward.Streams.
func (f *fakeStreams) AskHolders(_ context.Context, key affinity.Key, _ ident.Service) affinity.Result {
	f.askedHolders = append(f.askedHolders, key)
	if f.held == nil {
		return affinity.Unknown{Complete: true}
	}
	return f.held
}

// newStreamFixture returns a fixture with an engine of each of some releases, in this order.
func newStreamFixture(streams *fakeStreams, releases []ident.Release, answers ...answer) *fixture {
	b := newFixture(answers...)
	streams.began = map[affinity.Key]affinity.Origin{}
	b.forwarder.Streams = streams
	records := b.backends.Records()
	for index := range records {
		records[index].Release = releases[index%len(releases)]
	}
	b.backends = backend.NewRegistry(backend.Config{Zone: "z"})
	b.backends.ApplyList(time.Now(), records)
	b.forwarder.Backends = b.backends
	return b
}

// takenUp returns a request that continues the stream of the request first after event 1.
func takenUp(first ident.Request) *forward.Request {
	wanted := request("resumable")
	wanted.ID, wanted.LastEventID, wanted.Resumes = "r2", "1", first
	return wanted
}

var found = func(release ident.Release) affinity.Result {
	return affinity.Found{Origin: affinity.Origin{Service: "s", Release: release}, TTL: time.Minute}
}

// Guards against a stream that goes on at another release within one answer.
func TestBrokenStreamGoesOnAtItsRelease(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newStreamFixture(&fakeStreams{}, []ident.Release{"v1", "v2", "v1"}, breaking(one), genuine(200, two))
			sink := b.forward(t, request("resumable"))
			sent := b.caller.sent()
			if first := sent[0].Target.Release; first == "v2" {
				// No other engine has this release.
				is.Equal(len(sent), 1)
				is.True(sink.aborted)
				is.Equal(sink.body.String(), one)
				return
			}
			is.Equal(len(sent), 2)
			is.Equal(sent[1].Target.Release, sent[0].Target.Release)
			is.Equal(sink.body.String(), one+two)
		})
	}
}

func TestStreamWithoutEventsGoesOnAtAnyRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newStreamFixture(&fakeStreams{}, []ident.Release{"v1", "v2", "v3"}, breaking(""), genuine(200, one))
		sink := b.forward(t, request("resumable"))
		is.Equal(sink.body.String(), one)
		sent := b.caller.sent()
		is.True(sent[0].Target.Release != sent[1].Target.Release)
	})
}

// Guards against streams that a client takes up at a router that did not begin them.
func TestStreamTakenUpGoesToItsRelease(t *testing.T) {
	for _, release := range []ident.Release{"v1", "v2", "v3"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			streams := &fakeStreams{found: found(release)}
			b := newStreamFixture(streams, []ident.Release{"v1", "v2", "v3"}, genuine(200, two))
			sink := b.forward(t, takenUp("r1"))
			is.Equal(sink.status, http.StatusOK)
			is.Equal(b.caller.sent()[0].Target.Release, release)
			key := affinity.KeyOf("tenant", "h", "/resumable/1", "r1")
			is.Equal(streams.asked, []affinity.Key{key})
			// The record stays that of the first request, however often the stream is taken up.
			is.Equal(streams.began, map[affinity.Key]affinity.Origin{key: {Service: "s", Release: release}})
		})
	}
}

func TestStreamThatCannotGoOnIsRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		found  affinity.Result
		change func(*forward.Request)
		// comesBack is whether the client is told when to come back.
		comesBack bool
	}{
		{"its release has no back end", found("v9"), func(*forward.Request) {}, false},
		{"no router knows it", affinity.Unknown{Complete: true}, func(*forward.Request) {}, false},
		{"not all routers answered", affinity.Unknown{}, func(*forward.Request) {}, true},
		{"its id was used twice", affinity.Conflicting{}, func(*forward.Request) {}, false},
		{"another service began it", affinity.Found{Origin: affinity.Origin{Service: "other", Release: "v1"}}, func(*forward.Request) {}, false},
		{"the request names none", found("v1"), func(wanted *forward.Request) { wanted.Resumes = "" }, false},
		{"the request names a long one", affinity.Unknown{Complete: true}, func(wanted *forward.Request) {
			wanted.Resumes = ident.Request(strings.Repeat("x", 10_000))
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newStreamFixture(&fakeStreams{found: tt.found}, []ident.Release{"v1", "v2"}, genuine(200, two))
				wanted := takenUp("r1")
				tt.change(wanted)
				begun := time.Now()
				sink := b.forward(t, wanted)
				is.Equal(time.Since(begun), time.Duration(0))
				is.Equal(len(b.caller.sent()), 0)
				is.Equal(sink.refusal.Kind, fault.StreamNotContinued)
				is.Equal(sink.refusal.Kind.Status(), http.StatusServiceUnavailable)
				is.Equal(sink.refusal.Ran, fault.RanNo)
				is.Equal(sink.refusal.RetryAfter > 0, tt.comesBack)
			})
		})
	}
}

// A router that knows one release may be out of step: others may have begun the stream at a new one.
func TestOnlyReleaseOfTheListIsConfirmedByOthers(t *testing.T) {
	unknown, unanswered := affinity.Unknown{Complete: true}, affinity.Unknown{}
	tests := []struct {
		name string
		held affinity.Result
		// age is that of the list.
		age    time.Duration
		goesOn bool
	}{
		{"no holder has a record", unknown, 0, true},
		{"no holder has a record, and the list is older", unknown, 2 * time.Second, true},
		{"it began at the release", found("v1"), 0, true},
		{"it began at another release", found("v2"), 0, false},
		{"it began at different releases", affinity.Conflicting{}, 0, false},
		{"a holder knows of another release", affinity.Unknown{Complete: true, Several: true}, 0, false},
		{"no router answers", unanswered, 0, true},
		{"no router answers, and the list is older", unanswered, 2 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newStreamFixture(&fakeStreams{held: tt.held}, []ident.Release{"v1"}, genuine(200, two))
				time.Sleep(tt.age)
				sink := b.forward(t, takenUp("r1"))
				is.Equal(len(b.caller.sent()) == 1, tt.goesOn)
				if tt.goesOn {
					is.Equal(sink.body.String(), two)
					return
				}
				is.Equal(sink.refusal.Kind, fault.StreamNotContinued)
				is.Equal(sink.refusal.Ran, fault.RanNo)
			})
		})
	}
}

// Guards against work for records while one release serves.
func TestOneReleaseNeedsNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		streams := &fakeStreams{}
		b := newStreamFixture(streams, []ident.Release{"v1"}, genuine(200, one), genuine(200, two))
		b.forward(t, request("resumable"))
		sink := b.forward(t, takenUp(""))
		is.Equal(sink.body.String(), two)
		is.Equal(len(streams.began)+len(streams.asked), 0)
	})
}

// Guards against streams that are refused while the store is away, since their clients name none.
func TestStreamThatNamesNoneGoesOnWithAnOldList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		streams := &fakeStreams{found: found("v1")}
		b := newStreamFixture(streams, []ident.Release{"v1"}, genuine(200, two))
		time.Sleep(backend.ReleaseSettleTime + 100*time.Millisecond)
		sink := b.forward(t, takenUp(""))
		is.Equal(sink.body.String(), two)
		is.Equal(len(streams.asked), 1)
	})
}

// Guards against a record that other routers get only after the client has the event.
func TestRecordIsSentBeforeTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		streams, sink := &fakeStreams{}, &fakeSink{}
		b := newStreamFixture(streams, []ident.Release{"v1", "v2"}, genuine(200, one+two))
		passed := -1
		streams.onBegan = func() { passed = sink.body.Len() }
		b.forwarder.Forward(t.Context(), request("resumable"), sink)
		is.Equal(passed, 0)
		is.Equal(len(streams.began), 1)
	})
}

// Guards against streams under way when a second release appears, of which no router has a record.
func TestStreamUnderWayIsRecordedWhenAnotherReleaseAppears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		streams := &fakeStreams{}
		b := newStreamFixture(streams, []ident.Release{"v1"})
		appear := func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
			list := append(b.backends.Records(), backend.Record{Instance: "new", Service: "s", Release: "v2", Slots: 1})
			body := &hookedReader{strings.NewReader(one), func() { b.backends.ApplyList(time.Now(), list) }, strings.NewReader(two)}
			return reply(forward.Genuine, http.StatusOK, body)(ctx, attempt)
		}
		b.caller.answers = []answer{appear}
		sink := b.forward(t, request("resumable"))
		is.Equal(sink.body.String(), one+two)
		is.Equal(streams.began[affinity.KeyOf("tenant", "h", "/resumable/1", "r")], affinity.Origin{Service: "s", Release: "v1"})
	})
}

// hookedReader reads first, calls between, and reads second.
type hookedReader struct {
	first   *strings.Reader
	between func()
	second  *strings.Reader
}

// Read implements io.Reader.
func (h *hookedReader) Read(p []byte) (int, error) {
	if h.first.Len() > 0 {
		return h.first.Read(p)
	}
	if h.between != nil {
		h.between()
		h.between = nil
	}
	return h.second.Read(p)
}

// Guards against takes-up that count as evidence for or against a release, or as first requests.
func TestStreamTakenUpIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		releases := &fakeReleases{}
		b := newStreamFixture(&fakeStreams{found: found("v1")}, []ident.Release{"v1", "v2"}, genuine(200, two))
		b.forwarder.Releases = releases
		b.forward(t, takenUp("r1"))
		is.Equal(releases.requests, []canary.ChooseRequest{{Service: "s", Route: "resumable", First: true, Continues: true, Release: "v1"}})
		is.Equal(len(releases.samples), 1)
		is.True(releases.samples[0].Continues)
	})
}

// Guards against a stream that goes on at the one release that a router lists which has just started.
func TestStreamWaitsForTheReleasesOfThePast(t *testing.T) {
	tests := []struct {
		name string
		past []ident.Release
		// known is whether the past becomes known while routers are asked.
		known, goesOn bool
		retryAfter    bool
	}{
		{"not known", nil, false, false, true},
		{"the same release", []ident.Release{"v2"}, true, true, false},
		{"another release", []ident.Release{"v1"}, true, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				streams := &fakeStreams{found: affinity.Unknown{Complete: true}}
				b := newStreamFixture(streams, []ident.Release{"v2"}, genuine(200, two))
				records := b.backends.Records()
				b.backends = backend.NewRegistry(backend.Config{Zone: "z", AwaitPastReleases: true})
				b.backends.ApplyList(time.Now(), records)
				b.forwarder.Backends = b.backends
				streams.onFind = func() {
					if tt.known {
						b.backends.ObservePastReleases(time.Now(), []backend.ServiceReleases{{Service: "s", Releases: tt.past}})
					}
				}
				sink := b.forward(t, takenUp("r1"))
				if tt.goesOn {
					is.Equal(sink.status, http.StatusOK)
					return
				}
				is.Equal(sink.refusal.Kind, fault.StreamNotContinued)
				is.Equal(sink.refusal.RetryAfter > 0, tt.retryAfter)
				is.Equal(len(b.caller.sent()), 0)
			})
		})
	}
}
