package model

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/standin/truth"
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// rig drives one engine in virtual time and collects its outputs by kind.
type rig struct {
	engine *Engine
	now    time.Time
	events map[ident.Stream][]protocol.StreamEvent
	times  map[ident.Stream][]time.Time
	cache  []protocol.CacheEvent
	truth  []truth.Record
}

func newRig(change func(*Config)) *rig {
	config := DefaultConfig()
	config.Name = "engine-1"
	config.Models = []protocol.LoadedModel{{Model: "m", Version: "1"}, {Model: "m", Version: "2"}}
	if change != nil {
		change(&config)
	}
	return &rig{
		engine: New(config, "incarnation-1", rand.New(rand.NewPCG(1, 2)), epoch),
		now:    epoch,
		events: map[ident.Stream][]protocol.StreamEvent{},
		times:  map[ident.Stream][]time.Time{},
	}
}

func (r *rig) run(duration time.Duration) {
	r.now = r.now.Add(duration)
	for _, output := range r.engine.Advance(r.now) {
		switch {
		case output.Event != nil:
			r.events[output.Event.Stream] = append(r.events[output.Event.Stream], *output.Event)
			r.times[output.Event.Stream] = append(r.times[output.Event.Stream], output.Time)
		case output.Batch != nil:
			r.cache = append(r.cache, output.Batch.Events...)
		case output.Truth != nil:
			r.truth = append(r.truth, *output.Truth)
		}
	}
}

func request(id string, tenant ident.Tenant, version ident.ModelVersion, prompt string, tokens int) protocol.GenerateRequest {
	namespace := prefix.Namespace{Tenant: tenant, Model: "m", Version: version}
	return protocol.GenerateRequest{
		RequestID: ident.Request(id), Attempt: 1, ExpectedIncarnation: "incarnation-1", Tenant: tenant,
		Model: "m", Version: version, Salt: namespace.Salt(), Prompt: prompt, MaxTokens: tokens,
	}
}

// generate runs one request to its end and returns its text and end usage.
func (r *rig) generate(is *is.I, sent protocol.GenerateRequest) (string, *protocol.Usage, ident.Stream) {
	is.Helper()
	stream, refusal := r.engine.Submit(r.now, sent)
	is.Equal(refusal, nil)
	r.run(time.Minute)
	var text strings.Builder
	for index, event := range r.events[stream] {
		is.Equal(event.Sequence, uint64(index))
		text.WriteString(event.Text)
	}
	last := r.events[stream][len(r.events[stream])-1]
	is.Equal(last.Kind, protocol.EventEnd)
	return text.String(), last.Usage, stream
}

// longPrompt has exactly tokens tokens.
func longPrompt(name string, tokens int) string {
	return strings.Repeat(name+"----------------", tokens)[:tokens*prefix.BytesPerToken]
}

// replay returns the cached blocks according to the published events.
func (r *rig) replay() prefix.Chain {
	held := map[prefix.Hash]bool{}
	for _, event := range r.cache {
		for _, hash := range event.Hashes {
			if event.Kind == protocol.CacheStored {
				held[hash] = true
			} else {
				delete(held, hash)
			}
		}
	}
	return prefix.Chain(slices.Sorted(maps.Keys(held)))
}

// firstTokenAfter returns the time from submission to the first chunk.
func (r *rig) firstTokenAfter(stream ident.Stream) time.Duration {
	return r.times[stream][1].Sub(r.times[stream][0])
}

func TestCacheHitSavesPrefill(t *testing.T) {
	is := is.New(t)
	rig := newRig(nil)
	prompt := longPrompt("a", 1600)
	cold, coldUsage, coldStream := rig.generate(is, request("r1", "t1", "1", prompt, 8))
	warm, warmUsage, warmStream := rig.generate(is, request("r2", "t1", "1", prompt, 8))
	is.Equal(cold, ExpectedText(prompt, 8))
	is.Equal(warm, cold)
	is.Equal(coldUsage.CachedTokens, 0)
	is.Equal(warmUsage.CachedTokens, 1599) // the last token is always computed
	is.Equal(rig.firstTokenAfter(coldStream), 160*time.Millisecond)
	is.Equal(rig.firstTokenAfter(warmStream), 100*time.Microsecond)
}

func TestReuseNeverCrossesNamespaces(t *testing.T) {
	cases := []struct {
		name    string
		tenant  ident.Tenant
		version ident.ModelVersion
		cached  int
	}{
		{"same namespace", "t1", "1", 799},
		{"other tenant", "t2", "1", 0},
		{"other version", "t1", "2", 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newRig(nil)
			prompt := longPrompt("shared", 800)
			rig.generate(is, request("r1", "t1", "1", prompt, 4))
			_, usage, _ := rig.generate(is, request("r2", test.tenant, test.version, prompt, 4))
			is.Equal(usage.CachedTokens, test.cached)
			last := rig.truth[len(rig.truth)-1]
			is.Equal(last.Kind, truth.Finished)
			for _, reuse := range last.Reused {
				is.Equal(reuse, truth.Reuse{Tenant: test.tenant, Model: "m", Version: test.version, Incarnation: "incarnation-1", Tokens: test.cached})
			}
			is.Equal(len(last.Reused) > 0, test.cached > 0)
		})
	}
}

func TestLeastRecentlyUsedBlocksAreEvicted(t *testing.T) {
	is := is.New(t)
	rig := newRig(func(config *Config) { config.CacheBlocks = 25 })
	for _, step := range []struct {
		prompt string
		cached int
	}{{"a", 0}, {"b", 0}, {"a", 159}, {"c", 0}, {"a", 159}, {"b", 80}} { // the leaves of b were evicted first
		_, usage, _ := rig.generate(is, request("r", "t1", "1", longPrompt(step.prompt, 160), 1))
		is.Equal(usage.CachedTokens, step.cached)
		is.True(len(rig.engine.Snapshot(rig.now).Hashes) <= 25)
	}
	is.Equal(rig.replay(), rig.engine.Snapshot(rig.now).Hashes)
}

func TestContinuedResumesAtNextToken(t *testing.T) {
	prompt := longPrompt("p", 50)
	natural := len(ExpectedText(prompt, 1<<20)) / prefix.BytesPerToken
	for _, already := range []int{1, 7, 20} {
		t.Run(fmt.Sprint(already), func(t *testing.T) {
			is := is.New(t)
			complete := ExpectedText(prompt, 21)
			sent := request("r1", "t1", "1", prompt, 21-already)
			sent.Continued = complete[:already*prefix.BytesPerToken]
			text, _, _ := newRig(nil).generate(is, sent)
			is.Equal(sent.Continued+text, complete)
		})
	}
	is := is.New(t)
	rig := newRig(nil)
	text, _, stream := rig.generate(is, request("r1", "t1", "1", prompt, natural+1))
	is.Equal(text, ExpectedText(prompt, natural))
	is.Equal(rig.events[stream][natural+1].FinishReason, finishStop)
	is.True(ExpectedText(prompt, 8) != ExpectedText(prompt+"x", 8))
}

func TestRefusalsBeforeRunning(t *testing.T) {
	cases := []struct {
		name   string
		spoil  func(*protocol.GenerateRequest, *rig)
		wanted protocol.RefusalKind
	}{
		{"incarnation", func(r *protocol.GenerateRequest, _ *rig) { r.ExpectedIncarnation = "incarnation-0" }, protocol.RefusalMismatch},
		{"version", func(r *protocol.GenerateRequest, _ *rig) { r.Version = "0" }, protocol.RefusalMismatch},
		{"adapter", func(r *protocol.GenerateRequest, _ *rig) { r.Adapter = "x" }, protocol.RefusalMismatch},
		{"salt of another tenant", func(r *protocol.GenerateRequest, _ *rig) { r.Tenant = "t2" }, protocol.RefusalMismatch},
		{"no tokens", func(r *protocol.GenerateRequest, _ *rig) { r.MaxTokens = 0 }, protocol.RefusalBadRequest},
		{"prompt too long", func(r *protocol.GenerateRequest, _ *rig) { r.Prompt = longPrompt("x", 300000) }, protocol.RefusalBadRequest},
		{"leaving", func(_ *protocol.GenerateRequest, rig *rig) { rig.engine.Drain(rig.now) }, protocol.RefusalDraining},
		{"down", func(_ *protocol.GenerateRequest, rig *rig) { rig.engine.Crash(rig.now) }, protocol.RefusalDraining},
		{"full", func(_ *protocol.GenerateRequest, rig *rig) {
			for range 4 {
				rig.engine.Submit(rig.now, request("filler", "t1", "1", "filler", 100))
			}
		}, protocol.RefusalFull},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newRig(func(config *Config) { config.MaxRunning, config.MaxWaiting = 1, 2 })
			sent := request("victim", "t1", "1", "prompt", 4)
			test.spoil(&sent, rig)
			_, refusal := rig.engine.Submit(rig.now, sent)
			is.True(refusal != nil)
			is.Equal(refusal.Kind, test.wanted)
			is.Equal(refusal.Ran, fault.RanNo)
			rig.run(time.Minute)
			for _, record := range rig.truth {
				is.True(record.RequestID != "victim") // a refused request did not run
			}
		})
	}
}

func TestPriorityOrder(t *testing.T) {
	is := is.New(t)
	rig := newRig(func(config *Config) { config.MaxRunning = 1 })
	for index, priority := range []int{5, 5, 1, 3, 1} {
		sent := request(fmt.Sprint(index), "t1", "1", longPrompt("p", 100), 3)
		sent.Priority = priority
		_, refusal := rig.engine.Submit(rig.now, sent)
		is.Equal(refusal, nil)
	}
	rig.run(time.Minute)
	var order []ident.Request
	for _, record := range rig.truth {
		if record.Kind == truth.Started {
			order = append(order, record.RequestID)
		}
	}
	is.Equal(order, []ident.Request{"0", "2", "4", "3", "1"})
}

func TestCancelAndCrashEndGenerations(t *testing.T) {
	is := is.New(t)
	rig := newRig(nil)
	cancelled, _ := rig.engine.Submit(rig.now, request("c", "t1", "1", longPrompt("p", 100), 50))
	lost, _ := rig.engine.Submit(rig.now, request("l", "t1", "1", longPrompt("q", 100), 50))
	rig.run(100 * time.Millisecond)
	rig.engine.Cancel(rig.now, cancelled)
	rig.run(100 * time.Millisecond)
	is.Equal(rig.events[cancelled][len(rig.events[cancelled])-1].Kind, protocol.EventError)
	rig.engine.Crash(rig.now)
	rig.run(time.Second)
	before := len(rig.events[lost])
	_, found := rig.engine.NextTime()
	is.True(!found)
	rig.engine.Restart(rig.now, "incarnation-2")
	rig.run(time.Minute)
	is.Equal(len(rig.events[lost]), before) // no output of the old incarnation
	is.Equal(len(rig.engine.Snapshot(rig.now).Hashes), 0)
	is.Equal(rig.engine.LoadReport(rig.now).Incarnation, ident.Incarnation("incarnation-2"))
	kinds := map[ident.Request]truth.Kind{}
	for _, record := range rig.truth {
		kinds[record.RequestID] = record.Kind
	}
	is.Equal(kinds["c"], truth.Cancelled)
	is.Equal(kinds["l"], truth.Lost)
}

func TestStallPausesGeneration(t *testing.T) {
	is := is.New(t)
	rig := newRig(nil)
	stream, _ := rig.engine.Submit(rig.now, request("r", "t1", "1", longPrompt("p", 100), 20))
	rig.run(50 * time.Millisecond)
	stalled := DefaultConfig().Conditions()
	stalled.Stalled = true
	rig.engine.SetConditions(rig.now, stalled)
	before := len(rig.events[stream])
	rig.run(time.Minute)
	is.Equal(len(rig.events[stream]), before)
	rig.engine.SetConditions(rig.now, DefaultConfig().Conditions())
	rig.run(time.Minute)
	is.Equal(len(rig.events[stream]), 22) // start, 20 chunks, end
}

func TestCacheEventDelayAndLoss(t *testing.T) {
	is := is.New(t)
	rig := newRig(func(config *Config) { config.EventDelay, config.EventLoss = 5*time.Second, 0.5 })
	for index := range 40 {
		_, refusal := rig.engine.Submit(rig.now, request("r", "t1", "1", longPrompt(fmt.Sprint(index), 64), 1))
		is.Equal(refusal, nil)
	}
	rig.run(4 * time.Second)
	is.Equal(len(rig.cache), 0)
	is.True(rig.engine.Idle())
	rig.run(10 * time.Second)
	sent := rig.engine.Snapshot(rig.now).Sequence
	is.True(len(rig.cache) > 0)
	is.True(uint64(len(rig.cache)) < sent)
	for index := range rig.cache[1:] {
		is.True(rig.cache[index].Sequence < rig.cache[index+1].Sequence)
	}
}

func TestLoadReportLags(t *testing.T) {
	is := is.New(t)
	rig := newRig(func(config *Config) { config.LoadLag = time.Second })
	rig.run(5 * time.Second)
	_, refusal := rig.engine.Submit(rig.now, request("r", "t1", "1", longPrompt("p", 1000), 400))
	is.Equal(refusal, nil)
	is.Equal(rig.engine.LoadReport(rig.now).Running, 0)
	rig.run(500 * time.Millisecond)
	is.Equal(rig.engine.LoadReport(rig.now).Running, 0)
	rig.run(700 * time.Millisecond)
	is.Equal(rig.engine.LoadReport(rig.now).Running, 1)
}
