package node

// Guards against a part of prompts that crashes engine after engine, in requests that have nothing
// else in common.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// partCrashes is the number of crashes from which on partPropagation is counted.
	partCrashes     = 5
	partPropagation = 3 * time.Second
	// partPause is the mean time between two requests with a part that crashes engines.
	partPause = 200 * time.Millisecond
	// partTestTime is the length of a test, of which countedPartTime at the end is counted for others.
	partTestTime    = 12 * time.Second
	countedPartTime = 4 * time.Second
	// minPartServed is the share of other requests that must be served then at the first attempt.
	minPartServed = 0.97
)

// prompt is a request of these tests.
type prompt struct {
	key    string
	shared []string
	model  ident.Model
}

// sendPrompt sends a request with shared parts and an own part to a router, under a new id.
func (f *crashFleet) sendPrompt(ctx context.Context, router int, sent prompt) *testSink {
	f.mu.Lock()
	forwarder := f.routers[router%len(f.routers)].forwarder
	f.mu.Unlock()
	id := ident.NewUniqueID()
	parts := []forward.Part{}
	for _, shared := range sent.shared {
		parts = append(parts, forward.Part{ID: shared, Tokens: 100})
	}
	parts = append(parts, forward.Part{ID: id, Tokens: 10})
	if sent.model == "" {
		sent.model = model
	}
	sink := &testSink{}
	forwarder.Forward(ctx, &forward.Request{
		ID: ident.Request(id), Method: http.MethodPost, Target: "/x", Path: "/x", Host: "h", Header: http.Header{}, Key: sent.key,
		Body: []byte("own " + id), ClientTimeout: 4 * time.Second, ReceivedAt: time.Now(),
		Prompt: &forward.Prompt{Model: sent.model, Parts: parts},
	}, sink)
	return sink
}

// crashParts returns the shared parts of an attempt that crash engines.
func crashParts(attempt *forward.Attempt) []string {
	prompt := attempt.Request.Prompt
	if prompt == nil {
		return nil
	}
	var crashing []string
	for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
		if causesCrash(part.ID) {
			crashing = append(crashing, part.ID)
		}
	}
	return crashing
}

// partLoad is what the clients of these tests send until a time, and what became of it.
type partLoad struct {
	f     *crashFleet
	begun time.Time

	// others are the requests in the last countedPartTime that crash no engine, served those answered.
	others, served atomic.Int64
	// held counts those that were quarantined, heldAtEnd those of them that are counted in others.
	held, heldAtEnd atomic.Int64
}

// newPartFleet starts engines and routers with two tenants.
func newPartFleet(t *testing.T) *partLoad {
	t.Helper()
	f := newCrashFleet(t, 16, 0)
	f.store.snapshot.Keys = map[string]*catalog.Tenant{"key-a": {Name: "a"}, "key-b": {Name: "b"}}
	for index := range 4 {
		f.startRouter(ident.Node(fmt.Sprint("r", index)))
	}
	return &partLoad{f: f, begun: time.Now()}
}

func (l *partLoad) until() time.Time { return l.begun.Add(partTestTime) }

// sendCrashing sends prompts that next returns to random routers, until the end.
func (l *partLoad) sendCrashing(next func(count int) prompt) {
	var sending sync.WaitGroup
	for count := 0; time.Now().Before(l.until()); count++ {
		router := rand.IntN(4)
		sending.Go(func() { l.f.sendPrompt(l.f.t.Context(), router, next(count)) })
		time.Sleep(partPause/2 + rand.N(partPause))
	}
	sending.Wait()
}

// sendOthers sends the prompts of one client until the end, one after the other.
func (l *partLoad) sendOthers(pause time.Duration, router func(count int) int, next func(count int) prompt) {
	for count := 0; time.Now().Before(l.until()); count++ {
		sink := l.f.sendPrompt(l.f.t.Context(), router(count), next(count))
		held := sink.refusal != nil && sink.refusal.Kind == fault.Quarantined
		if held {
			l.held.Add(1)
		}
		if time.Until(l.until()) < countedPartTime {
			l.others.Add(1)
			if held {
				l.heldAtEnd.Add(1)
			}
			if sink.status == http.StatusOK && !sink.aborted {
				l.served.Add(1)
			}
		}
		time.Sleep(pause)
	}
}

// startOthers starts clients whose prompts crash no engine, with the keys and the other parts of those that
// do, and a pause after each request.
func (l *partLoad) startOthers(working *sync.WaitGroup, pause time.Duration) {
	for client := range 24 {
		working.Go(func() {
			l.sendOthers(pause, func(count int) int { return client + count }, func(count int) prompt {
				return prompt{[]string{"key-a", "key-b"}[client%2], []string{"first", []string{"second", "third"}[count%2]}, ""}
			})
		})
	}
}

// lateParts returns how often a part reached engines later than partPropagation after the fifth crash.
func (f *crashFleet) lateParts(part string) (crashes, late int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashedAt := f.crashes[part]
	if len(crashedAt) < partCrashes {
		return len(crashedAt), 0
	}
	for _, at := range f.arrivals[part] {
		if at.After(crashedAt[partCrashes-1].Add(partPropagation)) {
			late++
		}
	}
	return len(crashedAt), late
}

// verify checks that parts are contained and other requests are served.
func (l *partLoad) verify(t *testing.T, parts ...string) {
	t.Helper()
	for _, part := range parts {
		crashes, late := l.f.lateParts(part)
		t.Logf("%d engines crashed under %q, which reached engines %d times too late", crashes, part, late)
		if late > lateAllowed {
			t.Errorf("%q reached engines %d times after all routers should have quarantined it", part, late)
		}
		if crashes == 0 {
			t.Errorf("no engine crashed under %q", part)
		}
	}
	share := float64(l.served.Load()) / float64(max(l.others.Load(), 1))
	t.Logf("%d other requests at the end, %.3f served; %d quarantined, %d in all", l.others.Load(), share, l.heldAtEnd.Load(), l.held.Load())
	if share < minPartServed || l.others.Load() < 50 {
		t.Error("other requests were not served")
	}
}

// Requests with one part in common crash engines; those that share the caller and the other parts
// are served.
func TestCrashingPromptPartIsQuarantined(t *testing.T) {
	t.Parallel()
	const bad, worse = crashBody + " a", crashBody + " b"
	tests := []struct {
		name string
		next func(count int) prompt
		bad  []string
		// brokenAnswer is what arrives of an answer before its engine has crashed.
		brokenAnswer string
	}{
		{"in the middle", func(int) prompt { return prompt{"key-a", []string{"first", bad, "third"}, ""} }, []string{bad}, ""},
		{"at the beginning", func(int) prompt { return prompt{"key-a", []string{bad, "second"}, ""} }, []string{bad}, ""},
		{"at changing places", func(count int) prompt {
			return prompt{"key-a", slices.Insert([]string{"first", "second", "third"}, count%4, bad), ""}
		}, []string{bad}, ""},
		{"two, and both in one prompt", func(count int) prompt {
			return prompt{"key-a", slices.Concat([]string{"first"}, [][]string{{bad}, {worse}, {bad, worse}}[count%3]), ""}
		}, []string{bad, worse}, ""},
		{"with two keys", func(count int) prompt {
			return prompt{[]string{"key-a", "key-b"}[count%2], []string{"first", bad}, ""}
		}, []string{bad}, ""},
		{"and cuts the answer within an event", func(int) prompt { return prompt{"key-a", []string{"first", bad}, ""} }, []string{bad}, "id: 1\ndata"},
		{"and ends an unframed answer between events", func(int) prompt { return prompt{"key-a", []string{"first", bad}, ""} }, []string{bad}, "id: 1\ndata: a\n\n"},
		{"beside a companion", func(int) prompt { return prompt{"key-a", []string{"first", "companion", bad}, ""} }, []string{bad}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l := newPartFleet(t)
			l.f.brokenAnswer, l.f.unframed = tt.brokenAnswer, tt.brokenAnswer != ""
			var working sync.WaitGroup
			working.Go(func() { l.sendCrashing(tt.next) })
			l.startOthers(&working, 50*time.Millisecond)
			// The companion comes without the bad part as well, always at one router.
			working.Go(func() {
				l.sendOthers(time.Second, func(int) int { return 3 }, func(int) prompt { return prompt{"key-a", []string{"first", "companion"}, ""} })
			})
			working.Wait()
			l.verify(t, tt.bad...)
		})
	}
}
