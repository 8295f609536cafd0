package forward_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// fakeReleases returns first for the first choice of a request, later for further ones.
type fakeReleases struct {
	mutex    sync.Mutex
	first    backend.Releases
	later    backend.Releases
	requests []canary.ChooseRequest
	// revoked is a release that is no longer allowed after the placement.
	revoked  ident.Release
	declined int
	sent     []ident.Release
	samples  []canary.Sample
}

// Choose implements forward.Releases.
func (f *fakeReleases) Choose(_ time.Time, chooseRequest canary.ChooseRequest) backend.Releases {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requests = append(f.requests, chooseRequest)
	if chooseRequest.First {
		return f.first
	}
	return f.later
}

// StillAllowed implements forward.Releases.
func (f *fakeReleases) StillAllowed(_ ident.Service, _ *backend.Releases, release ident.Release) bool {
	return f.revoked == "" || release != f.revoked
}

// Declined implements forward.Releases.
func (f *fakeReleases) Declined(ident.Service) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.declined++
}

// Sent implements forward.Releases.
func (f *fakeReleases) Sent(_ time.Time, _ ident.Service, to backend.Record) canary.Run {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sent = append(f.sent, to.Release)
	return canary.Run{}
}

// Ended implements forward.Releases.
func (f *fakeReleases) Ended(_ time.Time, _ canary.Run, sample canary.Sample) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.samples = append(f.samples, sample)
}

// newReleaseFixture returns a fixture with three engines of an old release and, if target is
// set, one of a new one.
func newReleaseFixture(releases *fakeReleases, target bool, answers ...answer) *fixture {
	b := newFixture(answers...)
	records := b.backends.Records()
	for index := range records {
		records[index].Release = "v1"
	}
	if target {
		added := records[0]
		added.Instance, added.Release = "new", "v2"
		records = append(records, added)
	}
	b.backends.ApplyList(time.Now(), records)
	b.forwarder = forward.New(forward.Config{
		Freshness: catalog.Freshness{Keyed: 4 * time.Second, Denial: time.Second}, Slack: fixtureSlack,
		Retries: admission.WindowConfig{Window: 10 * time.Second, Share: 0.2},
	}, forward.Dependencies{
		Holder: b.holder, Backends: b.backends, Caller: b.caller, Record: b.record, Routers: func() int { return 1 }, Sharers: func() int { return 1 },
		Caches: b.caches, Releases: releases,
	})
	return b
}

var (
	onlyNew = backend.Releases{Only: "v2", MaxBackends: 1}
	notNew  = backend.Releases{Excluded: []ident.Release{"v2"}}
)

// The first attempt goes to the target release, or to others if that has no back end; a retry
// goes where the rule for retries allows.
func TestAttemptsGoOnlyToAllowedReleases(t *testing.T) {
	tests := []struct {
		name         string
		target       bool
		first, later backend.Releases
		answers      []answer
		sent         []ident.Release
		requests     []canary.ChooseRequest
		declined     int
		status       int
	}{
		{
			"the target answers", true, onlyNew, notNew, []answer{genuine(200, "ok")},
			[]ident.Release{"v2"}, []canary.ChooseRequest{{Service: "s", Route: "safe", First: true}}, 0, 200,
		},
		{
			"the target fails, and the retry goes elsewhere", true, onlyNew, notNew,
			[]answer{genuine(500, "no"), genuine(200, "ok")}, []ident.Release{"v2", "v1"},
			[]canary.ChooseRequest{{Service: "s", Route: "safe", First: true}, {Service: "s", Route: "safe", Excluded: 1}}, 0, 200,
		},
		{
			"the target has no back end", false, onlyNew, notNew, []answer{genuine(200, "ok")},
			[]ident.Release{"v1"}, []canary.ChooseRequest{{Service: "s", Route: "safe", First: true}, {Service: "s", Route: "safe"}}, 1, 200,
		},
		{
			"the target is forbidden", true, notNew, notNew, []answer{genuine(200, "ok")},
			[]ident.Release{"v1"}, []canary.ChooseRequest{{Service: "s", Route: "safe", First: true}}, 0, 200,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			releases := &fakeReleases{first: tt.first, later: tt.later}
			b := newReleaseFixture(releases, tt.target, tt.answers...)
			sink := b.forward(t, request("safe"))
			is.Equal(sink.status, tt.status)
			is.Equal(releases.sent, tt.sent)
			is.Equal(releases.requests, tt.requests)
			is.Equal(releases.declined, tt.declined)
			is.Equal(len(releases.samples), len(tt.sent)) // one sample per attempt
		})
	}
}

// A choice of the target must be declined if the client left before anything was sent.
func TestClientThatLeftUsesNoReleaseGrant(t *testing.T) {
	is := is.New(t)
	releases := &fakeReleases{first: onlyNew, later: notNew}
	b := newReleaseFixture(releases, true, genuine(200, "ok"))
	wanted := request("safe")
	wanted.ClientGone = func() bool { return true }
	b.forward(t, wanted)
	is.Equal(len(releases.requests), 1)
	is.Equal(len(releases.sent), 0)
	is.Equal(releases.declined, 1)
}

// A request that would wait too long at a release on trial must go to the others.
func TestRequestAvoidsOverloadedRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		releases := &fakeReleases{first: onlyNew, later: notNew}
		b := newReleaseFixture(releases, true, genuine(200, "id: 1\n\n"))
		b.lateEngines(150 * time.Millisecond)
		b.backends.PeerQueue(time.Now(), "new", 2000)
		wanted := request("resumable")
		wanted.ClientTimeout = 9 * time.Second
		wanted.Prompt = &forward.Prompt{Model: "m", Parts: []forward.Part{{ID: "y", Tokens: 20}, {ID: "z", Tokens: 5}}}
		sink := b.forward(t, wanted)
		is.True(sink.refusal == nil)
		is.Equal(releases.sent, []ident.Release{"v1"})
		is.Equal(releases.declined, 1)
		is.Equal(b.backends.InFlight(), 0)
	})
}

// A request must be refused rather than sent to a forbidden release.
func TestNoAttemptGoesToAForbiddenRelease(t *testing.T) {
	is := is.New(t)
	forbidden := backend.Releases{Excluded: []ident.Release{"v1", "v2"}}
	releases := &fakeReleases{first: forbidden, later: forbidden}
	b := newReleaseFixture(releases, true, genuine(200, "ok"))
	sink := b.forward(t, request("unsafe"))
	is.True(sink.refusal != nil)
	is.Equal(len(releases.sent), 0)
	firsts := 0
	for _, chooseRequest := range releases.requests {
		if chooseRequest.First {
			firsts++
		}
	}
	is.Equal(firsts, 1) // a request that waits is counted once
	is.True(len(releases.requests) > 1)
}

// Samples must reflect the outcome and time of attempts. The first-byte timeout is 210ms.
func TestReleaseSampleOfAttempt(t *testing.T) {
	slow := func(wait time.Duration) answer {
		return func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
			time.Sleep(wait)
			return genuine(200, "ok")(ctx, attempt)
		}
	}
	tests := []struct {
		name    string
		route   string
		answer  answer
		outcome canary.Outcome
		least   time.Duration
	}{
		{"a complete answer", "safe", genuine(200, "ok"), canary.Answered, 0},
		{"a late answer", "unsafe", slow(60 * time.Millisecond), canary.Answered, 60 * time.Millisecond},
		{"a client error", "safe", genuine(404, "no"), canary.Answered, 0},
		{"a failed answer", "safe", genuine(500, "no"), canary.Failed, 0},
		{"an invalid answer", "safe", reply(forward.InvalidAnswer, 503, strings.NewReader("no")), canary.Failed, 0},
		{"an answer that broke off", "safe", breaking("part"), canary.NoAnswer, 0},
		{"a refusal", "safe", refusing(forward.NotExecuted), canary.NoAnswer, 0},
		{"no answer in time", "safe", hanging(""), canary.Answered, 200 * time.Millisecond},
		{"no answer before the connection broke", "safe", failing(true), canary.NoAnswer, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			releases := &fakeReleases{first: onlyNew, later: notNew}
			b := newReleaseFixture(releases, true, tt.answer, genuine(200, "ok"))
			b.forward(t, request(tt.route))
			sample := releases.samples[0]
			is.Equal(sample.Route, tt.route)
			is.Equal(sample.Outcome, tt.outcome)
			is.True(sample.Elapsed >= tt.least)
			is.True(sample.Elapsed < 2*time.Second)
			is.True(sample.Predicted > 0) // also for requests without a model
		})
	}
}

// The time of a stream ends at its first event; the predicted time must count the whole prompt,
// since a new release's back end has nothing of it cached.
func TestElapsedTimeOfStreamEndsAtFirstEvent(t *testing.T) {
	is := is.New(t)
	releases := &fakeReleases{first: onlyNew, later: notNew}
	b := newReleaseFixture(releases, true, genuine(200, "id: 0\ndata: x\n\n"))
	wanted := request("stream")
	wanted.Prompt = &forward.Prompt{Model: "m", Parts: []forward.Part{{ID: "a", Tokens: 6000}, {ID: "b", Tokens: 1000}}}
	b.forward(t, wanted)
	is.Equal(len(releases.samples), 1)
	is.Equal(releases.samples[0].Outcome, canary.Answered)
	is.True(releases.samples[0].Predicted >= 7000*20*time.Microsecond)
}

// An order may become known between the choice of releases and the placement.
func TestAttemptAvoidsReleaseRevokedDuringPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		releases := &fakeReleases{first: onlyNew, later: notNew, revoked: "v2"}
		b := newReleaseFixture(releases, true, genuine(200, "x"))
		is.True(b.forward(t, request("safe")).refusal == nil)
		is.Equal(releases.sent, []ident.Release{"v1"})
		is.Equal(releases.declined, 1)
		is.Equal(b.backends.InFlight(), 0)
	})
}
