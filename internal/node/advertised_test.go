package node

// Guards against requests to engines that advertise in their answers that they are draining,
// while the instance list still has them as ready, or that asked for a back-off.

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
)

const (
	// drainDelay is how long a router may still send requests to an engine after its first
	// answer that advertised draining.
	drainDelay = 2 * time.Second
	// backoffDelay is the time from a refusal until its back-off must be kept, backoffSlack
	// the number of requests that one router may still send during it.
	backoffDelay = 500 * time.Millisecond
	backoffSlack = 2
)

// changeEngine changes the behavior of an engine from its next answer on.
func (f *limitFleet) changeEngine(index int, change func(engine *limitedEngine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.engines[index])
}

// lateAfterDrain returns the number of requests that reached an engine more than drainDelay
// after their router's first answer that advertised draining.
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

// mostDuringBackoff returns the most requests that one router sent to an engine during a
// back-off that the engine had asked it for.
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

// earliestBackoffEnd returns when the first engine's back-off for a router ends, and whether
// all engines are backing off for it at a time.
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

// slowRefusals returns the number of refusals that came late or had no Retry-After.
func (l *limitLoad) slowRefusals() int {
	slow := 0
	for _, refusal := range l.refusals {
		if refusal.latency > promptRefusal || refusal.retryAfter <= 0 {
			slow++
		}
	}
	return slow
}

// An engine that advertised draining gets no more requests, whatever its row holds: only its
// next incarnation does.
func TestDrainingEngineGetsNoRequests(t *testing.T) {
	nothing := func(*limitFleet) {}
	tests := []struct {
		name     string
		draining []int
		// fault happens a second after the load began.
		fault func(f *limitFleet)
		// served is the least share of all requests that is answered.
		served float64
	}{
		{name: "listed as ready", draining: []int{0}, served: 1, fault: nothing},
		{name: "the store is down", draining: []int{0}, served: 1, fault: func(f *limitFleet) {
			f.store.change(func() { f.store.down = true })
		}},
		{name: "its row is written again", draining: []int{0}, served: 1, fault: func(f *limitFleet) {
			f.store.change(func() { f.store.records[0].Revision = 100 })
		}},
		{name: "its row is removed and added again", draining: []int{0}, served: 1, fault: func(f *limitFleet) {
			row := f.store.records[0]
			f.store.change(func() { f.store.records = f.store.records[1:] })
			time.AfterFunc(time.Second, func() {
				f.store.change(func() { f.store.records = append([]backend.Record{row}, f.store.records...) })
			})
		}},
		{name: "answers no longer advertise it", draining: []int{0}, served: 1, fault: func(f *limitFleet) {
			f.changeEngine(0, func(engine *limitedEngine) { engine.draining = false })
		}},
		{name: "all but one drain", draining: []int{0, 1, 2}, served: 1, fault: nothing},
		{name: "all drain", draining: []int{0, 1, 2, 3}, fault: nothing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newLimitFleet(t, 4, 5)
			for _, index := range tt.draining {
				f.changeEngine(index, func(engine *limitedEngine) { engine.draining = true })
			}
			time.AfterFunc(time.Second, func() { tt.fault(f) })
			result := f.load(40, 6*time.Second)
			total := result.answered + result.broken + len(result.refusals)
			for _, index := range tt.draining {
				late := f.lateAfterDrain(index)
				t.Logf("%d late requests to draining engine %d; %d of %d answered", late, index, result.answered, total)
				is.Equal(late, 0)
			}
			is.Equal(result.broken, 0)
			is.True(float64(result.answered) >= tt.served*float64(total))
			is.True(result.slowRefusals() <= len(result.refusals)/50) // requests do not wait for draining engines
		})
	}
}

// Routers report to each other that an engine is draining, and one that joins receives that
// before it serves.
func TestDrainReachesOtherRouters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, 2, 3)
	f.changeEngine(0, func(engine *limitedEngine) { engine.draining = true })
	draining := f.engines[0].record.Instance
	seesDraining := func(index int) bool { return f.router(index).forwarder.Backends.DrainingOrUnlisted(draining) }
	result := &limitLoad{}
	eventually(t, func() bool {
		result.send(t.Context(), 0, f.router(0).forwarder)
		return seesDraining(0)
	})
	eventually(t, func() bool { return seesDraining(1) && seesDraining(2) })
	f.startRouter(3)
	is.True(seesDraining(3))
	is.Equal(len(f.engines[0].answers), 1) // no other router got an answer of the engine
}

// A restarted engine is used by all routers, although an answer of its former incarnation
// arrives late.
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

// An engine gets the back-off that it asks for, and the others serve its requests.
func TestBackoffIsKept(t *testing.T) {
	tests := []struct {
		name    string
		engines int
		// part is the share of requests that the engines backing off refuse.
		part       float64
		backingOff []int
		backoff    time.Duration
		// served is the least share of all requests that is answered.
		served float64
	}{
		{name: "one", engines: 4, part: 1, backingOff: []int{0}, backoff: 3 * time.Second, served: minServed},
		{name: "for long", engines: 4, part: 1, backingOff: []int{0}, backoff: time.Minute, served: minServed},
		{name: "a fraction", engines: 4, part: 1, backingOff: []int{0}, backoff: 1700 * time.Millisecond, served: minServed},
		{name: "half of them", engines: 4, part: 1, backingOff: []int{0, 1}, backoff: 3 * time.Second, served: minServed},
		{name: "half of six, for most requests", engines: 6, part: 0.7, backingOff: []int{0, 1, 2}, backoff: 1700 * time.Millisecond, served: minServed},
		{name: "half of six, for a short time", engines: 6, part: 0.7, backingOff: []int{0, 1, 2}, backoff: 800 * time.Millisecond, served: minServed},
		{name: "all", engines: 4, part: 1, backingOff: []int{0, 1, 2, 3}, backoff: 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newLimitFleet(t, tt.engines, 5)
			f.load(40, 3*time.Second) // requests earn retries
			for _, index := range tt.backingOff {
				f.changeEngine(index, func(engine *limitedEngine) { engine.refusalShare, engine.backoff = tt.part, tt.backoff })
			}
			result := f.load(40, 8*time.Second)
			total := result.answered + result.broken + len(result.refusals)
			for _, index := range tt.backingOff {
				most := f.mostDuringBackoff(index)
				t.Logf("at most %d requests of one router during a back-off of engine %d; %d of %d answered", most, index, result.answered, total)
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

// An engine is used again at once when its back-off ends.
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
	t.Logf("%d of %d requests in the 3 s from 1.5 s after its last possible refusal", count, total)
	is.True(count >= total/6) // half of an equal share
}

// Requests are refused at once while all engines are backing off, with a Retry-After at the end
// of the first back-off.
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
		received := refusal.at.Add(-refusal.latency)
		end, all := f.earliestBackoffEnd(refusal.router, received)
		if !all || end.Sub(refusal.at) < promptRefusal {
			continue
		}
		checked++
		if refusal.latency > promptRefusal {
			slow++
		}
		if retryAt := refusal.at.Add(refusal.retryAfter); retryAt.Before(end.Add(-promptRefusal)) || retryAt.After(end.Add(time.Second)) {
			wrong++
		}
	}
	t.Logf("of %d refusals while all were backing off %d were slow, %d had a wrong Retry-After", checked, slow, wrong)
	is.True(checked > 100)
	is.True(slow <= checked/50)
	is.True(wrong <= checked/50)
}
