package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const model = ident.Model("m")

var start = time.Unix(1000, 0)

func engine(name ident.Incarnation, version int) backend.Record {
	return backend.Record{
		Instance: name, Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 8, Revision: 1,
		Models: map[ident.Model]int{model: version},
	}
}

func registry(records ...backend.Record) *backend.Registry {
	known := backend.NewRegistry(backend.Config{Zone: "z"})
	known.ApplyList(start, records)
	return known
}

func query() *backend.Query {
	return &backend.Query{Service: "s", Model: model, HomeKey: 42, SharedTokens: 6000, OwnTokens: 100}
}

func pick(t *testing.T, known *backend.Registry, now time.Time, wanted *backend.Query) (backend.Choice, *backend.Attempt) {
	t.Helper()
	choice, flight, found := known.Pick(now, wanted)
	if !found {
		t.Fatal("no back end was chosen")
	}
	return choice, flight
}

func TestRoutersAgreeOnTheHomeOfAPrompt(t *testing.T) {
	is := is.New(t)
	one := registry(engine("a", 1), engine("b", 1), engine("c", 1))
	other := registry(engine("c", 1), engine("a", 1), engine("b", 1))
	first, _ := pick(t, one, start, query())
	second, _ := pick(t, other, start, query())
	is.Equal(first.Instance, second.Instance)
	is.True(first.Home)
}

func TestALoadedHomeIsPassedBy(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1), engine("b", 1))
	home, _ := pick(t, known, start, query())
	long := query()
	long.OwnTokens = 40_000
	pick(t, known, start, long)
	next, _ := pick(t, known, start, query())
	is.True(next.Instance != home.Instance)
}

func TestWhoGetsNoWork(t *testing.T) {
	draining := engine("a", 1)
	draining.Draining = true
	otherModel := engine("a", 1)
	otherModel.Models = map[ident.Model]int{"other": 1}
	expired := query()
	expired.Expiries = []backend.Expiry{{Version: 2, At: start}}
	excluded := query()
	excluded.Excluded = []ident.Incarnation{"a"}
	otherService := query()
	otherService.Service = "none"
	cases := []struct {
		name   string
		record backend.Record
		query  *backend.Query
	}{
		{"draining", draining, query()},
		{"without the model", otherModel, query()},
		{"tried before", engine("a", 1), excluded},
		{"with expired weights", engine("a", 1), expired},
		{"of another service", engine("a", 1), otherService},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _, found := registry(c.record).Pick(start, c.query)
			is.New(t).True(!found)
		})
	}
}

func TestWeightsExpireByWhenTheRequestIsExpectedToBegin(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	wanted := query()
	wanted.OwnTokens = 10_000 // 260ms of reading
	wanted.Expiries = []backend.Expiry{{Version: 2, At: start.Add(400 * time.Millisecond)}}
	_, _, found := known.Pick(start, wanted)
	is.True(!found)
	_, _, found = known.Pick(start.Add(-time.Second), wanted)
	is.True(found)
}

func TestUncertainWeightsAreALastResort(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1), engine("b", 1), engine("c", 2))
	wanted := query()
	wanted.Expiries = []backend.Expiry{{Version: 2, At: start.Add(time.Hour), Uncertain: true}}
	choice, _ := pick(t, known, start, wanted)
	is.Equal(choice.Instance, ident.Incarnation("c"))
	wanted.Excluded = []ident.Incarnation{"c"}
	choice, _ = pick(t, known, start, wanted)
	is.Equal(choice.Version, 1)
}

func TestAVersionSeenCountsAtOnce(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	known.ObserveVersion("a", model, 3)
	choice, _ := pick(t, known, start, query())
	is.Equal(choice.Version, 3)
	known.ObserveVersion("a", model, 2) // older news changes nothing
	choice, _ = pick(t, known, start, query())
	is.Equal(choice.Version, 3)
}

func TestOutcomesKeepWorkAway(t *testing.T) {
	cases := []struct {
		outcome backend.Outcome
		away    bool
	}{
		{backend.Answered, false},
		{backend.Abandoned, false},
		{backend.Unreachable, true},
		{backend.Misdirected, true},
		{backend.Refused, true},
		{backend.WrongVersion, true},
		{backend.Broken, true},
		{backend.Silent, true},
	}
	for _, c := range cases {
		t.Run(c.outcome.String(), func(t *testing.T) {
			is := is.New(t)
			known := registry(engine("a", 1), engine("b", 1))
			first, flight := pick(t, known, start, query())
			flight.End(start, c.outcome)
			next, other := pick(t, known, start, query())
			is.Equal(next.Instance != first.Instance, c.away)
			other.End(start, backend.Answered)
			later, _ := pick(t, known, start.Add(time.Minute), query())
			is.Equal(later.Instance, first.Instance) // nothing is held against it for ever
		})
	}
}

func TestASilentBackEndGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1), engine("b", 1))
	home, flight := pick(t, known, start, query())
	later := start.Add(2 * time.Second)
	next, other := pick(t, known, later, query())
	is.True(next.Instance != home.Instance)
	other.End(later, backend.Answered)
	flight.ObserveBytes(later)
	flight.End(later, backend.Answered)
	// The lateness is forgotten too.
	again, _ := pick(t, known, later.Add(time.Minute), query())
	is.Equal(again.Instance, home.Instance)
}

func TestAnOlderListChangesNothing(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	is.Equal(len(known.ApplyList(start.Add(-time.Second), nil)), 0)
	pick(t, known, start, query())
	stale := engine("a", 1)
	stale.Revision = 0
	stale.Draining = true
	known.ApplyList(start.Add(time.Second), []backend.Record{stale})
	pick(t, known, start, query())
}

func TestChangesOfTheListAreTold(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1), engine("b", 1))
	reloaded := engine("a", 2)
	reloaded.Revision = 2
	changes := known.ApplyList(start.Add(time.Second), []backend.Record{reloaded, engine("c", 1)})
	kinds := map[ident.Incarnation]backend.ChangeKind{}
	for _, change := range changes {
		kinds[change.Record.Instance] = change.Kind
	}
	is.Equal(kinds, map[ident.Incarnation]backend.ChangeKind{
		"a": backend.Reloaded, "b": backend.Gone, "c": backend.Appeared,
	})
}

func TestAnEndAfterTheBackEndIsGoneDoesNoHarm(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	_, flight := pick(t, known, start, query())
	is.Equal(known.InFlight(), 1)
	known.ApplyList(start.Add(time.Second), nil)
	is.Equal(known.InFlight(), 0)
	flight.ObserveBytes(start)
	flight.End(start, backend.Broken)
}

// What is only assumed of a back end decides where attempts go, but is not told
// to those who change its weights: they would leave it behind for ever.
func TestAnAssumedVersionIsNoFact(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 4))
	known.AssumeVersion(start, "a", model, 5)
	choice, _ := pick(t, known, start, query())
	is.Equal(choice.Version, 5)
	is.Equal(known.Records()[0].Models[model], 4)
	later, _ := pick(t, known, start.Add(time.Minute), query())
	is.Equal(later.Version, 4) // the list would have told it by then
}

func TestAWrongAssumptionIsDropped(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 4))
	known.AssumeVersion(start, "a", model, 5)
	_, flight := pick(t, known, start, query())
	flight.End(start, backend.WrongVersion)
	choice, _ := pick(t, known, start.Add(time.Second), query())
	is.Equal(choice.Version, 4)
}

// Where back ends cost the same, prompts spread over them: an engine that is
// first in the list is no better than another, and each prompt has its own order
// in which the engines stand in for its home.
func TestEqualBackEndsShareTheWork(t *testing.T) {
	is := is.New(t)
	const engines, prompts = 20, 400
	var records []backend.Record
	for index := range engines {
		records = append(records, engine(ident.Incarnation(fmt.Sprintf("e%02d", index)), 1))
	}
	chosen := map[ident.Incarnation]int{}
	for key := range uint64(prompts) {
		wanted := query()
		wanted.HomeKey, wanted.SpreadKey = key+1, key+1
		home, flight := pick(t, registry(records...), start, wanted)
		flight.End(start, backend.Answered)
		wanted.Excluded = []ident.Incarnation{home.Instance}
		second, _ := pick(t, registry(records...), start, wanted)
		again, _ := pick(t, registry(records...), start, wanted)
		is.Equal(second.Instance, again.Instance) // at every router
		chosen[second.Instance]++
	}
	for instance, count := range chosen {
		if count > 3*prompts/engines {
			t.Errorf("%s stands in for %d of %d prompts", instance, count, prompts)
		}
	}
	is.Equal(len(chosen), engines)
}

// The list lags behind what answers prove; a back end never goes back.
func TestTheListDoesNotTakeBackAVersionThatWasSeen(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	known.ObserveVersion("a", model, 3)
	later := engine("a", 1)
	later.Revision = 2
	known.ApplyList(start.Add(time.Second), []backend.Record{later})
	choice, _ := pick(t, known, start, query())
	is.Equal(choice.Version, 3)
	newer := engine("a", 4)
	newer.Revision = 3
	known.ApplyList(start.Add(2*time.Second), []backend.Record{newer})
	choice, _ = pick(t, known, start, query())
	is.Equal(choice.Version, 4)
}

func TestABackEndThatTakesWeightsGetsNoWork(t *testing.T) {
	nothing := func(*backend.Registry) {}
	tests := []struct {
		name  string
		after func(known *backend.Registry)
		at    time.Duration
		// version is that of the attempt, 0 for none.
		version int
	}{
		{"at once", nothing, 0, 0},
		{"half a second later", nothing, 500 * time.Millisecond, 0},
		{"when it usually has them", nothing, 800 * time.Millisecond, 2},
		{"when the list would have told it", nothing, time.Minute, 1},
		{"once it has them", func(known *backend.Registry) { known.ObserveVersion("a", model, 2) }, 0, 2},
		{"once that was taken back", func(known *backend.Registry) { known.CancelLoading("a", model, 2) }, 0, 1},
		{"once an older notice was taken back", func(known *backend.Registry) { known.CancelLoading("a", model, 1) }, 0, 0},
		{"for another model", func(known *backend.Registry) { known.MarkLoading(start, "a", "other", 2, 0) }, 0, 1},
		{"while it takes longer, as was told", func(known *backend.Registry) {
			known.MarkLoading(start, "a", model, 2, 1400*time.Millisecond)
		}, 1300 * time.Millisecond, 0},
		{"after the longer time that was told", func(known *backend.Registry) {
			known.MarkLoading(start, "a", model, 2, 1400*time.Millisecond)
		}, 1500 * time.Millisecond, 2},
		{"after it proved not to have them", func(known *backend.Registry) {
			_, flight, _ := known.Pick(start.Add(time.Second), query())
			flight.End(start.Add(time.Second), backend.WrongVersion)
		}, 1300 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			known := registry(engine("a", 1))
			known.MarkLoading(start, "a", model, 2, 0)
			known.MarkLoading(start, "unknown", model, 2, 0)
			tt.after(known)
			choice, _, _ := known.Pick(start.Add(tt.at), query())
			is.New(t).Equal(choice.Version, tt.version)
		})
	}
}

// The congestion of a service is the mean over its back ends of how late they lately
// answered, also of those that answer in time.
func TestCongestionIsTheMeanLateness(t *testing.T) {
	tests := []struct {
		name        string
		late        []time.Duration
		least, most float64
	}{
		{"calm", []time.Duration{0, 0, 0, 0}, 0, 0},
		{"one late", []time.Duration{800 * time.Millisecond, 0, 0, 0}, 0.4, 0.7},
		{"all late", []time.Duration{time.Second, time.Second, time.Second, time.Second}, 2.5, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(engine("a", 1), engine("b", 1), engine("c", 1), engine("d", 1))
			var tried []ident.Incarnation
			for _, by := range tt.late {
				wanted := query()
				wanted.Excluded = tried
				choice, flight := pick(t, known, start, wanted)
				tried = append(tried, choice.Instance)
				flight.ObserveBytes(start.Add(choice.Predicted + by))
				flight.End(start.Add(choice.Predicted+by), backend.Answered)
			}
			// One observation counts three tenths, and half of that a second later.
			choice, _ := pick(t, known, start.Add(time.Second), query())
			is.True(choice.Congestion >= tt.least)
			is.True(choice.Congestion <= tt.most)
		})
	}
}

func TestWhoIsRefusedUnderOverload(t *testing.T) {
	tests := []struct {
		name   string
		choice backend.Choice
		left   time.Duration
		want   bool
	}{
		{"calm", backend.Choice{Queued: time.Second}, time.Second, false},
		{"a long prompt", backend.Choice{Predicted: time.Second, Congestion: 2}, time.Second, false},
		{"one engine late", backend.Choice{Queued: time.Second, Lateness: time.Second, Congestion: 0.6}, time.Second, false},
		{"a short wait", backend.Choice{Queued: 50 * time.Millisecond, Lateness: 50 * time.Millisecond, Congestion: 2}, 4 * time.Second, false},
		{"a long wait", backend.Choice{Queued: 50 * time.Millisecond, Lateness: 100 * time.Millisecond, Congestion: 2}, 4 * time.Second, true},
		{"much time left", backend.Choice{Queued: 100 * time.Millisecond, Lateness: 200 * time.Millisecond, Congestion: 2}, 12 * time.Second, false},
		{"no time left", backend.Choice{Queued: time.Millisecond, Congestion: 2}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.choice.Overloaded(tt.left), tt.want)
		})
	}
}

// What a prompt waits for is what was sent before it, not its own length.
func TestAPromptDoesNotWaitForItself(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	long := query()
	long.OwnTokens = 40_000
	first, flight := pick(t, known, start, long)
	is.Equal(first.Wait(), time.Duration(0))
	second, _ := pick(t, known, start, query())
	is.Equal(second.Wait(), 40_000*26*time.Microsecond) // the prior
	flight.ObserveBytes(start.Add(time.Second))
	third, _ := pick(t, known, start.Add(time.Second), query())
	is.True(third.Wait() < second.Wait())
}

// The wait that is predicted follows what engines are seen to need.
func TestPredictionsFollowTheReadingRate(t *testing.T) {
	tests := []struct {
		name string
		rate time.Duration
	}{{"slower than the prior", 80 * time.Microsecond}, {"faster", 8 * time.Microsecond}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(engine("a", 1))
			now := start
			wanted := query()
			wanted.OwnTokens = 4000
			for range 60 {
				now = now.Add(5 * time.Second)
				_, flight := pick(t, known, now, wanted)
				answered := now.Add(15*time.Millisecond + 4000*tt.rate)
				flight.ObserveBytes(answered)
				flight.End(answered, backend.Answered)
			}
			choice, _ := pick(t, known, now.Add(5*time.Second), wanted)
			is.True(choice.Predicted > 4000*tt.rate*8/10)
			is.True(choice.Predicted < 4000*tt.rate*12/10)
		})
	}
}
