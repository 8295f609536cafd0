package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/routing"
	"github.com/fieldpond/fieldpond/internal/routing/load"
)

// burst schedules requests for one new prefix, a millisecond apart, on idle
// engines that do not answer during it, and returns how many engines compute the
// prefix and the longest predicted time to first token.
func burst(t testing.TB, config routing.Config, requests int) (homes int, worst time.Duration) {
	request, snapshot := benchCase(12)
	request.RecomputationWeight = 0
	scheduler, err := routing.NewPredictive(config)
	is.New(t).NoErr(err)
	now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	store, err := beliefs.New(beliefs.Config{}, now)
	is.New(t).NoErr(err)
	trackers := map[ident.Engine]*load.Tracker{}
	for index := range snapshot.Endpoints {
		engine := snapshot.Endpoints[index].Engine
		store.SetIncarnation(engine, "i")
		trackers[engine] = load.NewTracker(100 * time.Microsecond)
	}
	shared := request.Chains["v"][:180]
	used := map[ident.Engine]bool{}
	for number := range requests {
		request.Chains["v"] = append(shared[:180:180], prefix.Hash(number), prefix.Hash(number+1))
		request.PromptTokens = len(request.Chains["v"]) * blockTokens
		for index := range snapshot.Endpoints {
			snapshot.Endpoints[index].Load = trackers[snapshot.Endpoints[index].Engine].Load(now)
		}
		snapshot.Credits = store.At(now)
		chosen := scheduler.Schedule(request, snapshot).Chosen
		engine := chosen.Endpoint.Engine
		used[engine] = true
		worst = max(worst, chosen.TimeToFirstToken())
		missing := float64(request.PromptTokens) - chosen.CreditTokens
		trackers[engine].Dispatched(now, load.AttemptKey{Request: ident.Request(fmt.Sprint(number))}, missing)
		store.RecordDispatch(now, engine, "i", request.Chains["v"])
		now = now.Add(time.Millisecond)
	}
	return len(used), worst
}

// Guards against recomputing a new prefix on every idle engine during a burst;
// the recomputation weight limits the number of homes.
func TestBurstForNewPrefixUsesFewEngines(t *testing.T) {
	for _, test := range []struct {
		floor         float64
		least, most   int
		longestToWait time.Duration
	}{
		{0.001, 9, 12, 350 * time.Millisecond},
		{0.25, 4, 6, 400 * time.Millisecond},
		{1, 2, 2, 600 * time.Millisecond},
	} {
		is := is.New(t)
		homes, worst := burst(t, routing.Config{RecomputationFloor: test.floor}, 40)
		t.Logf("floor %g: %d homes, longest predicted time to first token %v", test.floor, homes, worst)
		is.True(homes >= test.least && homes <= test.most)
		is.True(worst <= test.longestToWait)
	}
}
