package forward_test

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/promptcache"
)

func TestRequestIsRefusedBeforeAnyAttempt(t *testing.T) {
	cases := []struct {
		name    string
		change  func(b *fixture, wanted *forward.Request)
		age     time.Duration
		kind    fault.Kind
		returns bool
	}{
		{"no route", func(_ *fixture, wanted *forward.Request) { wanted.Path = "/none/" }, 0, fault.UnknownRoute, false},
		{"no route in an old configuration", func(_ *fixture, wanted *forward.Request) { wanted.Path = "/none/" }, 2 * time.Second, fault.NotReady, true},
		{"unknown key", func(_ *fixture, wanted *forward.Request) { wanted.Key = "x" }, 0, fault.Unauthorized, false},
		{"no key", func(_ *fixture, wanted *forward.Request) { wanted.Key = "" }, 0, fault.Unauthorized, false},
		{"unknown key in an old configuration", func(_ *fixture, wanted *forward.Request) { wanted.Key = "x" }, 2 * time.Second, fault.NotReady, true},
		{"a known key that may have been revoked", func(*fixture, *forward.Request) {}, 5 * time.Second, fault.NotReady, true},
		{"no back end", func(b *fixture, _ *forward.Request) { b.backends.ApplyList(time.Now(), nil) }, 0, fault.NoPermittedEngine, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(genuine(200, "ok"))
				time.Sleep(c.age)
				wanted := request("safe")
				c.change(b, wanted)
				sink := b.forward(t, wanted)
				is.True(sink.refusal != nil)
				is.Equal(sink.refusal.Kind, c.kind)
				is.Equal(sink.refusal.Ran, fault.RanNo)
				is.Equal(sink.refusal.RetryAfter > 0, c.returns)
				is.Equal(len(b.caller.sent()), 0)
				is.True(sink.at.Sub(wanted.ReceivedAt) <= 100*time.Millisecond) // refused at once
			})
		})
	}
}

func TestRequestWithoutConfigurationIsRefused(t *testing.T) {
	is := is.New(t)
	forwarder := forward.New(forward.Config{}, forward.Dependencies{
		Holder: &catalog.Holder{}, Backends: backend.NewRegistry(backend.Config{}),
		Caller: &fakeCaller{}, Record: func(forward.Step) {},
	})
	sink := &fakeSink{}
	forwarder.Forward(t.Context(), request("safe"), sink)
	is.Equal(sink.refusal.Kind, fault.NotReady)
}

func TestPublicRouteNeedsNoConfirmedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(genuine(200, "ok"))
		time.Sleep(time.Minute)
		wanted := request("public")
		wanted.Key = ""
		is.Equal(b.forward(t, wanted).status, 200)
		is.Equal(b.caller.sent()[0].Tenant, ident.Tenant(""))
	})
}

// A key that is revoked while its request waits must not be used any more.
func TestKeyIsConfirmedBeforeEachAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var b *fixture
		b = newFixture(func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
			without := configuration
			without.Version++
			without.Keys = map[string]*catalog.Tenant{}
			b.holder.Adopt(catalog.NewSnapshot(without), time.Now())
			return failing(true)(ctx, attempt)
		}, genuine(200, "ok"))
		sink := b.forward(t, request("safe"))
		is.True(sink.refusal != nil)
		is.Equal(len(b.caller.sent()), 1)
	})
}

func TestFinalAnswerOfAttempts(t *testing.T) {
	cases := []struct {
		name    string
		route   string
		answers []answer
		sends   int
		// status is that of the final answer, kind that of a refusal.
		status int
		kind   fault.Kind
		ran    fault.Ran
	}{
		{"answered", "unsafe", []answer{genuine(200, "ok")}, 1, 200, "", ""},
		{"a failure of the back end is passed on", "unsafe", []answer{genuine(500, "no")}, 1, 500, "", ""},
		{"a client's mistake is passed on", "safe", []answer{genuine(409, "no")}, 1, 409, "", ""},
		{"a safe request is retried after a failure", "safe", []answer{genuine(500, "no"), genuine(200, "ok")}, 2, 200, "", ""},
		{"both fail", "safe", []answer{genuine(500, "no"), genuine(501, "no")}, 2, 501, "", ""},
		{"an unsafe request never runs twice", "unsafe", []answer{failing(true), genuine(200, "ok")}, 1, 0, fault.OutcomeUnknown, fault.RanUnknown},
		{"an unsafe answer that breaks off", "unsafe", []answer{breaking("half")}, 1, 0, fault.OutcomeUnknown, fault.RanUnknown},
		{"an unsafe answer that is invalid", "unsafe", []answer{refusing(forward.InvalidAnswer)}, 1, 0, fault.OutcomeUnknown, fault.RanUnknown},
		{"an unsafe request that was not sent", "unsafe", []answer{failing(false), genuine(200, "ok")}, 2, 200, "", ""},
		{"an unsafe request that was refused", "unsafe", []answer{refusing(forward.NotExecuted), genuine(200, "ok")}, 2, 200, "", ""},
		{"another instance has the address", "unsafe", []answer{refusing(forward.OtherInstance), genuine(200, "ok")}, 2, 200, "", ""},
		{"the weights have another version", "unsafe", []answer{refusing(forward.OtherVersion), genuine(200, "ok")}, 2, 200, "", ""},
		{"all refuse", "unsafe", []answer{refusing(forward.NotExecuted)}, 3, 0, fault.NoPermittedEngine, fault.RanNo},
		{"a safe answer that breaks off", "safe", []answer{breaking("half"), genuine(200, "ok")}, 2, 200, "", ""},
		{"a safe request runs on two back ends at most", "safe", []answer{failing(true)}, 2, 0, fault.BackendLost, fault.RanUnknown},
		{"refused after it may have run", "safe", []answer{failing(true), refusing(forward.NotExecuted)}, 3, 0, fault.BackendLost, fault.RanUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(c.answers...)
				wanted := request(c.route)
				sink := b.forward(t, wanted)
				is.Equal(len(b.caller.sent()), c.sends)
				if c.kind == "" {
					is.Equal(sink.status, c.status)
					is.True(sink.refusal == nil)
					return
				}
				is.True(sink.refusal != nil)
				is.Equal(sink.refusal.Kind, c.kind)
				is.Equal(sink.refusal.Ran, c.ran)
				if c.ran != fault.RanNo {
					status := c.kind.Status()
					is.True(status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests)
				}
			})
		})
	}
}

func TestNoBackendGetsARequestTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(refusing(forward.NotExecuted))
		b.forward(t, request("safe"))
		tried := map[ident.Incarnation]bool{}
		for _, attempt := range b.caller.sent() {
			is.True(!tried[attempt.Target.Instance])
			tried[attempt.Target.Instance] = true
		}
	})
}

func TestSilentBackendIsReplacedByAnother(t *testing.T) {
	cases := []struct {
		route  string
		sends  int
		status int
		within time.Duration
	}{
		{"safe", 2, 200, 300 * time.Millisecond},
		{"resumable", 2, 200, time.Second},
		{"unsafe", 1, 0, 2*time.Second + time.Millisecond},
		{"stream", 1, 0, 5*time.Second + time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(hanging(""), genuine(200, "id: 1\n\n"))
				begun := time.Now()
				sink := b.forward(t, request(c.route))
				is.Equal(sink.status, c.status)
				is.Equal(len(b.caller.sent()), c.sends)
				is.True(time.Since(begun) <= c.within)
				if c.status == 0 {
					is.Equal(sink.refusal.Kind, fault.Timeout) // no promise that it did not run
				}
			})
		})
	}
}

// An attempt must not be cancelled for a retry that the budget does not grant.
func TestAttemptContinuesWhileNoRetryIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
			time.Sleep(time.Second)
			if ctx.Err() != nil {
				return hanging("")(ctx, attempt)
			}
			return genuine(200, "ok")(ctx, attempt)
		})
		exhaustRetries(t, b)
		sink := b.forward(t, request("safe"))
		is.Equal(sink.status, 200)
		is.Equal(len(b.caller.sent()), 1)
	})
}

// exhaustRetries uses up the retries of the service.
func exhaustRetries(t *testing.T, b *fixture) {
	t.Helper()
	answers := b.caller.answers
	b.caller.answers = []answer{refusing(forward.NotExecuted)}
	for range 10 {
		b.forward(t, request("unsafe"))
		time.Sleep(500 * time.Millisecond)
		b.holder.Adopt(b.holder.View().Snapshot, time.Now())
	}
	b.caller.answers = answers
	b.caller.attempts = nil
}

func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(refusing(forward.NotExecuted))
		const requests = 50
		for number := range requests {
			wanted := request("unsafe")
			wanted.ID = ident.Request(strconv.Itoa(number))
			b.forward(t, wanted)
		}
		sends := map[ident.Request]int{}
		retries := 0
		for _, attempt := range b.caller.sent() {
			if sends[attempt.Request.ID]++; sends[attempt.Request.ID] > 1 {
				retries++
			}
		}
		is.True(retries <= requests/5+5)
		is.True(retries > 0)
	})
}

func TestAttemptEndsWhenClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(hanging(""))
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, leave)
		sink := &fakeSink{}
		begun := time.Now()
		b.forwarder.Forward(ctx, request("safe"), sink)
		is.True(sink.aborted)
		is.Equal(sink.finals, 0)
		is.Equal(time.Since(begun), 50*time.Millisecond)
		is.Equal(len(b.caller.sent()), 1)
		is.Equal(b.backends.InFlight(), 0)
	})
}

func TestAttemptFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(genuine(200, "id: 1\n\n"))
		prompt := &forward.Prompt{Model: "m", Parts: []forward.Part{{ID: "x", Tokens: 10}, {ID: "y", Tokens: 20}, {ID: "z", Tokens: 5}}}
		send := func(key string, wait time.Duration) forward.Attempt {
			wanted := request("resumable")
			wanted.Key, wanted.Prompt, wanted.ClientTimeout = key, prompt, wait
			b.forward(t, wanted)
			sent := b.caller.sent()
			return sent[len(sent)-1]
		}
		first := send("key", 3*time.Second)
		is.Equal(first.Remaining, 3*time.Second)
		is.Equal(first.Version, 2)
		is.Equal(first.FetchFrom, cacheStore)
		is.Equal(first.SaveTo, cacheStore)
		is.Equal(first.Tenant, ident.Tenant("tenant"))
		is.Equal(first.Priority, 3)
		second := send("key", time.Hour)
		is.Equal(second.Remaining, 9*time.Second) // the route's timeout
		is.Equal(second.SaveTo, netip.AddrPort{}) // saved by the first
		is.Equal(second.Target.Instance, first.Target.Instance)
		walled := send("walled", time.Second)
		is.True(walled.Salt != first.Salt)
		is.Equal(walled.SaveTo, cacheStore)
	})
}

// Once the contents of the prompt cache store are known, only missing parts are
// saved, each once.
func TestOnlyMissingPartsAreSaved(t *testing.T) {
	part := promptcache.Part{Salt: "v2", ID: "y"}
	tests := []struct {
		name string
		held []promptcache.Change
		want []netip.AddrPort
	}{
		{"missing", nil, []netip.AddrPort{cacheStore, {}}},
		{"held", []promptcache.Change{{Part: part, Tokens: 20}}, []netip.AddrPort{{}, {}}},
		{"partly held", []promptcache.Change{{Part: part, Tokens: 4}}, []netip.AddrPort{cacheStore, {}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(genuine(200, "id: 1\n\n"))
				b.caches.Replace(time.Now(), cacheStore, &promptcache.Listing{Epoch: 1, Held: tt.held})
				for _, want := range tt.want {
					wanted := request("resumable")
					wanted.Prompt = &forward.Prompt{Model: "m", Parts: []forward.Part{{ID: "x", Tokens: 10}, {ID: "y", Tokens: 20}, {ID: "z", Tokens: 5}}}
					b.forward(t, wanted)
					sent := b.caller.sent()
					is.Equal(sent[len(sent)-1].SaveTo, want)
				}
			})
		})
	}
}

// While all engines answer late, a prompt with little time is refused unsent with
// a Retry-After; others are still sent.
func TestOverloadRefusesRequestsWithLittleTime(t *testing.T) {
	tests := []struct {
		name string
		wait time.Duration
		sent bool
	}{
		{"little time", 2 * time.Second, false},
		{"much time", 9 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(genuine(200, "id: 1\n\n"))
				b.lateEngines(150 * time.Millisecond)
				wanted := request("resumable")
				wanted.ClientTimeout = tt.wait
				wanted.Prompt = &forward.Prompt{Model: "m", Parts: []forward.Part{{ID: "y", Tokens: 20}, {ID: "z", Tokens: 5}}}
				sink := b.forward(t, wanted)
				is.Equal(len(b.caller.sent()) > 0, tt.sent)
				is.Equal(b.backends.InFlight(), 0)
				is.Equal(sink.refusal == nil, tt.sent)
				if !tt.sent {
					is.Equal(sink.refusal.Kind, fault.Overloaded)
					is.Equal(sink.refusal.Ran, fault.RanNo)
					is.True(sink.refusal.RetryAfter > 0)
				}
			})
		})
	}
}

// The Retry-After under overload must be the time until an engine is free.
func TestOverloadRefusalReportsWhenAnEngineIsFree(t *testing.T) {
	tests := []struct {
		waiting     int
		least, most time.Duration
	}{
		{0, 300 * time.Millisecond, 300 * time.Millisecond},
		{20, 900 * time.Millisecond, 1200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(strconv.Itoa(tt.waiting), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(genuine(200, "id: 1\n\n"))
				b.lateEngines(150 * time.Millisecond)
				for _, name := range []ident.Incarnation{"a", "b", "c"} {
					b.backends.PeerQueue(time.Now(), name, tt.waiting)
				}
				wanted := request("resumable")
				wanted.ClientTimeout = 2 * time.Second
				wanted.Prompt = &forward.Prompt{Model: "m", Parts: []forward.Part{{ID: "y", Tokens: 20}, {ID: "z", Tokens: 5}}}
				refusal := b.forward(t, wanted).refusal
				is.True(refusal != nil)
				is.True(refusal.RetryAfter >= tt.least)
				is.True(refusal.RetryAfter <= tt.most)
			})
		})
	}
}

// A save stores the whole prompt; a mostly unshared one would evict more shared
// tokens than it adds.
func TestPromptsOfMostlyUnsharedTokensAreNotSaved(t *testing.T) {
	tests := []struct {
		name        string
		shared, own int
		want        netip.AddrPort
	}{
		{"mostly shared", 20, 19, cacheStore},
		{"even", 20, 20, cacheStore},
		{"mostly unshared", 20, 21, netip.AddrPort{}},
		{"nothing unshared", 20, 0, cacheStore},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(genuine(200, "id: 1\n\n"))
				b.caches.Replace(time.Now(), cacheStore, &promptcache.Listing{Epoch: 1})
				wanted := request("resumable")
				wanted.Prompt = &forward.Prompt{Model: "m", Parts: []forward.Part{{ID: "y", Tokens: tt.shared}, {ID: "z", Tokens: tt.own}}}
				b.forward(t, wanted)
				is.Equal(b.caller.sent()[0].SaveTo, tt.want)
				is.Equal(b.caller.sent()[0].FetchFrom, cacheStore)
			})
		})
	}
}

// A back end with newer weights than listed must be retried under those.
func TestBackendIsRetriedUnderItsNewVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(refusing(forward.OtherVersion), genuine(200, one))
		b.holder.Published("m", catalog.Publication{Version: 5, SeenAt: time.Now()})
		wanted := request("stream")
		wanted.Prompt = &forward.Prompt{Model: "m", Parts: []forward.Part{{ID: "x", Tokens: 10}, {ID: "y", Tokens: 20}}}
		is.Equal(b.forward(t, wanted).status, 200)
		sent := b.caller.sent()
		is.Equal(len(sent), 2)
		is.Equal(sent[0].Version, 2)
		is.Equal(sent[1].Version, 5)
		is.Equal(sent[1].Target.Instance, sent[0].Target.Instance)
		is.True(sent[0].Salt != sent[1].Salt)
	})
}
