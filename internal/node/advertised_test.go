package node

// Users saw two things of engines that had said something of themselves in their answers. An
// engine that leaves says so in all of them: two routers that had passed on such an answer sent
// it another request 12 s later. The store was away meanwhile, so that the list of engines still
// said that it was ready. And an engine that turns requests away may ask for some seconds of
// rest: routers sent it a request about each second all the same, and it turned away each of
// them, so that requests for whose repeat nothing was left were lost.
//
// No router read either word: leaving was known by the list alone, and after a refusal a router
// rested for a time of its own, 0.25 to 0.8 s. Once answers were read for both words, the logs of
// these tests proved it: each router knew that the engine leaves within a second, and what rest it
// wanted with each refusal, and sent it as many requests as before. Heeding the first word left
// the tests of the second failing: two omissions of one class.

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
)

const (
	// drainDelay is how long after it has passed on an answer that says that an engine
	// leaves a router may still send it requests.
	drainDelay = 2 * time.Second
	// backoffDelay is how long after a refusal the rest that it asks for must be kept to, and
	// backoffSlack the number of requests that may come all the same.
	backoffDelay = 500 * time.Millisecond
	backoffSlack = 2
)

// changeEngine changes what an engine does from its next answer on.
func (f *limitFleet) changeEngine(index int, change func(engine *limitedEngine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.engines[index])
}

// lateAfterDrain returns the number of requests that reached an engine too late, from routers
// that had passed on an answer which says that it leaves.
func (f *limitFleet) lateAfterDrain(index int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	drainedAt := make(map[int]time.Time)
	for _, answer := range f.engines[index].answers {
		if _, known := drainedAt[answer.router]; answer.draining && !known {
			drainedAt[answer.router] = answer.at
		}
	}
	late := 0
	for _, arrival := range f.engines[index].arrivals {
		if at, known := drainedAt[arrival.router]; known && arrival.receivedAt.Sub(at) > drainDelay {
			late++
		}
	}
	return late
}

// mostDuringBackoff returns the most requests that one router sent to an engine within a rest that it
// had asked that router for.
func (f *limitFleet) mostDuringBackoff(index int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, answer := range f.engines[index].answers {
		if answer.backoff == 0 {
			continue
		}
		within := 0
		for _, arrival := range f.engines[index].arrivals {
			since := arrival.at.Sub(answer.at)
			if arrival.router == answer.router && since > backoffDelay && since < answer.backoff {
				within++
			}
		}
		most = max(most, within)
	}
	return most
}

// earliestBackoffEnd returns when the first of the rests ends that all engines had asked a router for
// before a time; it reports whether all had.
func (f *limitFleet) earliestBackoffEnd(router int, at time.Time) (earliest time.Time, all bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, engine := range f.engines {
		var end time.Time
		for _, answer := range engine.answers {
			if until := answer.at.Add(answer.backoff); answer.router == router && answer.at.Before(at) && until.After(end) {
				end = until
			}
		}
		if !end.After(at) {
			return time.Time{}, false
		}
		if earliest.IsZero() || end.Before(earliest) {
			earliest = end
		}
	}
	return earliest, true
}

// promptRefusal is the time within which a request that cannot be served is refused.
const promptRefusal = 200 * time.Millisecond

// slowRefusals returns the number of refusals that came late, or told no time to come back.
func (l *limitLoad) slowRefusals() int {
	slow := 0
	for _, refusal := range l.refusals {
		if refusal.after > promptRefusal || refusal.retryAfter <= 0 {
			slow++
		}
	}
	return slow
}

// Whatever becomes of the store and of the row of an engine, nothing but its next life takes back
// that it leaves.
func TestDrainingEngineGetsNoRequests(t *testing.T) {
	nothing := func(*limitFleet) {}
	tests := []struct {
		name    string
		leaving []int
		// fault happens a second after the load began.
		fault func(f *limitFleet)
		// served is the part of all requests that is answered at least.
		served float64
	}{
		{name: "the list says that it is ready", leaving: []int{0}, served: 1, fault: nothing},
		{name: "the store is down", leaving: []int{0}, served: 1, fault: func(f *limitFleet) {
			f.store.change(func() { f.store.down = true })
		}},
		{name: "its row is written anew", leaving: []int{0}, served: 1, fault: func(f *limitFleet) {
			f.store.change(func() { f.store.records[0].Revision = 100 })
		}},
		{name: "its row goes and comes back", leaving: []int{0}, served: 1, fault: func(f *limitFleet) {
			row := f.store.records[0]
			f.store.change(func() { f.store.records = f.store.records[1:] })
			time.AfterFunc(time.Second, func() {
				f.store.change(func() { f.store.records = append([]backend.Record{row}, f.store.records...) })
			})
		}},
		{name: "an answer no longer says so", leaving: []int{0}, served: 1, fault: func(f *limitFleet) {
			f.changeEngine(0, func(engine *limitedEngine) { engine.draining = false })
		}},
		{name: "all but one leave", leaving: []int{0, 1, 2}, served: 1, fault: nothing},
		{name: "all leave", leaving: []int{0, 1, 2, 3}, fault: nothing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newLimitFleet(t, 4, 5)
			for _, index := range tt.leaving {
				f.changeEngine(index, func(engine *limitedEngine) { engine.draining = true })
			}
			time.AfterFunc(time.Second, func() { tt.fault(f) })
			result := f.load(40, 6*time.Second)
			total := result.answered + result.broken + len(result.refusals)
			for _, index := range tt.leaving {
				late := f.lateAfterDrain(index)
				t.Logf("%d requests to engine %d after it said that it leaves; %d of %d answered", late, index, result.answered, total)
				is.Equal(late, 0)
			}
			is.Equal(result.broken, 0)
			is.True(float64(result.answered) >= tt.served*float64(total))
			is.True(result.slowRefusals() <= len(result.refusals)/50) // nothing waits for what does not come
		})
	}
}

// Routers hear from each other that an engine leaves before an answer tells each of them, and one
// that joins knows it before it serves.
func TestDrainReachesOtherRouters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, 2, 3)
	f.changeEngine(0, func(engine *limitedEngine) { engine.draining = true })
	draining := f.engines[0].record.Instance
	knows := func(index int) bool { return f.router(index).forwarder.Backends.DrainingOrUnlisted(draining) }
	result := &limitLoad{}
	eventually(t, func() bool {
		result.send(t.Context(), 0, f.router(0).forwarder)
		return knows(0)
	})
	eventually(t, func() bool { return knows(1) && knows(2) })
	f.startRouter(3)
	is.True(knows(3))
	is.Equal(len(f.engines[0].answers), 1) // no other router was told by the engine
}

// An engine that starts again is used by all routers, though words of its former life come late.
func TestNextIncarnationOfDrainedEngineIsUsed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, 2, 3)
	f.changeEngine(0, func(engine *limitedEngine) { engine.draining = true })
	former := f.engines[0].record
	f.load(30, time.Second)
	f.changeEngine(0, func(engine *limitedEngine) { engine.draining = false })
	f.store.change(func() {
		f.store.records[0].Instance, f.store.records[0].Revision = "e0@2", 100
	})
	begun := time.Now()
	f.load(30, time.Second)
	for index := range 3 {
		f.router(index).forwarder.Backends.ObserveAdvertised(clock.Now(), former.Instance, clock.Now(), backend.Advertised{Draining: true}, backend.SourceAnswer)
	}
	f.load(30, 3*time.Second)
	routers := make(map[int]bool)
	for _, arrival := range f.engines[0].arrivals {
		if arrival.at.After(begun.Add(2 * time.Second)) {
			routers[arrival.router] = true
		}
	}
	is.Equal(len(routers), 3)
}

// An engine that wants rest gets it, and what it would have got is served by the others.
func TestBackoffIsKept(t *testing.T) {
	tests := []struct {
		name    string
		engines int
		// part is the part of the requests that the resting ones refuse.
		part    float64
		resting []int
		rest    time.Duration
		// served is the part of all requests that is answered at least.
		served float64
	}{
		{name: "one", engines: 4, part: 1, resting: []int{0}, rest: 3 * time.Second, served: minServed},
		{name: "for long", engines: 4, part: 1, resting: []int{0}, rest: time.Minute, served: minServed},
		{name: "a fraction", engines: 4, part: 1, resting: []int{0}, rest: 1700 * time.Millisecond, served: minServed},
		{name: "half of them", engines: 4, part: 1, resting: []int{0, 1}, rest: 3 * time.Second, served: minServed},
		{name: "half of six, for most requests", engines: 6, part: 0.7, resting: []int{0, 1, 2}, rest: 1700 * time.Millisecond, served: minServed},
		{name: "half of six, for a short time", engines: 6, part: 0.7, resting: []int{0, 1, 2}, rest: 800 * time.Millisecond, served: minServed},
		{name: "all", engines: 4, part: 1, resting: []int{0, 1, 2, 3}, rest: 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newLimitFleet(t, tt.engines, 5)
			f.load(40, 3*time.Second) // repeats are earned by requests
			for _, index := range tt.resting {
				f.changeEngine(index, func(engine *limitedEngine) { engine.refusalShare, engine.backoff = tt.part, tt.rest })
			}
			result := f.load(40, 8*time.Second)
			total := result.answered + result.broken + len(result.refusals)
			for _, index := range tt.resting {
				most := f.mostDuringBackoff(index)
				t.Logf("at most %d requests of one router within a rest of engine %d; %d of %d answered", most, index, result.answered, total)
				is.True(most <= backoffSlack)
			}
			if tt.served > 0 {
				for _, refusal := range result.refusals {
					t.Log(refusal.detail)
				}
			}
			is.Equal(result.broken, 0)
			is.True(float64(result.answered) >= tt.served*float64(total))
		})
	}
}

// An engine whose rest is over is used again at once.
func TestEngineIsUsedWhenBackoffEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, 3, 5)
	f.load(40, 2*time.Second)
	f.changeEngine(0, func(engine *limitedEngine) { engine.refusalShare, engine.backoff = 1, time.Second })
	f.load(40, 3*time.Second)
	f.changeEngine(0, func(engine *limitedEngine) { engine.refusalShare = 0 })
	f.load(40, 1500*time.Millisecond)
	back := time.Now()
	f.load(40, 3*time.Second)
	count := f.arrivedSince(0, back)
	total := count + f.arrivedSince(1, back) + f.arrivedSince(2, back)
	t.Logf("%d of %d requests in the 3 s from 1.5 s after its last refusal may have come", count, total)
	is.True(count >= total/6) // half of an equal share
}

// What comes while all engines rest is refused at once, and told when the first is back.
func TestRequestsDuringBackoffOfAllAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, 3, 3)
	for index := range f.engines {
		f.changeEngine(index, func(engine *limitedEngine) { engine.refusalShare, engine.backoff = 1, 3*time.Second })
	}
	result := f.load(30, 8*time.Second)
	checked, slow, wrong := 0, 0, 0
	for _, refusal := range result.refusals {
		received := refusal.at.Add(-refusal.after)
		end, all := f.earliestBackoffEnd(refusal.router, received)
		if !all || end.Sub(refusal.at) < promptRefusal {
			continue
		}
		checked++
		if refusal.after > promptRefusal {
			slow++
		}
		if back := refusal.at.Add(refusal.retryAfter); back.Before(end.Add(-promptRefusal)) || back.After(end.Add(time.Second)) {
			wrong++
		}
	}
	t.Logf("of %d refusals while all rest %d were slow, %d told another time", checked, slow, wrong)
	is.True(checked > 100)
	is.True(slow <= checked/50)
	is.True(wrong <= checked/50)
}
