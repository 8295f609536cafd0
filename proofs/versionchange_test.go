package proofs

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/lease"
	"github.com/fieldpond/fieldpond/internal/status"
	platformprotocol "github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/engine"
	"github.com/fieldpond/fieldpond/standin/faultplan"
	"github.com/fieldpond/fieldpond/standin/truth"
)

const (
	nextVersion ident.ModelVersion = "v2"
	// controlLease is the control lease of the only engine group.
	controlLease = "control/" + string(harness.Assistant)
	// ordersPath is the start of every request with an order.
	ordersPath = "POST /v1/orders"
	// longStreamTokens makes a stream last longer than the first loads.
	longStreamTokens = 1000
	longStreamCount  = 9
)

// changeConfig describes a cluster with short weight loads; the first and third
// engine share a zone.
func changeConfig() harness.Config {
	return harness.Config{
		Routers: 3, Engines: 3, Relayed: true,
		RouterSettings: "control:\n  loadsPerSecond: 5\n",
		PlatformArgs:   []string{"--weight-rate", "5", "--weight-gigabytes", "0.1"},
		EngineArgs:     []string{"--load-duration", "1s", "--token-millis", "12"},
	}
}

// documentWithVersions returns the fleet file with other versions of the model.
func documentWithVersions(c *harness.Cluster, version ident.ModelVersion, accepted ...ident.ModelVersion) *fleet.Document {
	document := *c.Document
	document.Models = slices.Clone(document.Models)
	document.Models[0].Version, document.Models[0].AcceptVersions = version, accepted
	return &document
}

func requireApplied(t *testing.T, c *harness.Cluster, document *fleet.Document) {
	t.Helper()
	if output, err := c.Apply(document); err != nil {
		t.Fatalf("applying: %v\n%s", err, output)
	}
}

// servedVersions returns the versions that an engine serves after the given records
// of its truth log.
func servedVersions(records []truth.Record) map[ident.ModelVersion]bool {
	versions := map[ident.ModelVersion]bool{}
	for _, record := range records {
		switch {
		case record.Kind == truth.IncarnationStarted:
			versions = map[ident.ModelVersion]bool{harness.ModelVersion: true}
		case record.Kind == truth.Crashed:
			clear(versions)
		case record.Kind == truth.Loaded:
			versions[record.Version] = true
		case record.Kind == truth.OrderApplied && record.OrderKind == string(protocol.OrderUnload):
			delete(versions, record.Version)
		}
	}
	return versions
}

// awaitServedVersions waits until each engine serves exactly these versions.
func awaitServedVersions(c *harness.Cluster, versions ...ident.ModelVersion) {
	for _, name := range c.Engines {
		c.Await(fmt.Sprintf("%s serves %v", name, versions), func() bool {
			now := servedVersions(c.Truth(name))
			return len(now) == len(versions) && !slices.ContainsFunc(versions, func(version ident.ModelVersion) bool { return !now[version] })
		})
	}
}

// awaitFence waits until each engine has accepted an order with the fence.
func awaitFence(c *harness.Cluster, fence uint64) {
	for _, name := range c.Engines {
		c.Await(fmt.Sprintf("%s has accepted an order with fence %d", name, fence), func() bool {
			return slices.ContainsFunc(c.Truth(name), func(record truth.Record) bool { return record.Fence == fence })
		})
	}
}

// strictLoad is a set of callers that stream and book continuously and never retry:
// each request must be answered completely.
type strictLoad struct {
	callers []*harness.Caller
	stop    context.CancelFunc
	work    sync.WaitGroup
}

func startStrictLoad(t *testing.T, c *harness.Cluster, routers []string) *strictLoad {
	ctx, stop := context.WithCancel(t.Context())
	load := &strictLoad{stop: stop}
	t.Cleanup(load.end)
	for number, tenant := range []ident.Tenant{harness.TenantA, harness.TenantB, harness.TenantA, harness.TenantB} {
		caller := c.NewCaller(tenant)
		load.callers = append(load.callers, caller)
		load.work.Go(func() {
			for turn := 0; ctx.Err() == nil; turn++ {
				router := routers[(number+turn)%len(routers)]
				req := harness.ModelRequest{Prompt: sharedPrompt([]string{"graz", "linz"}[turn%2], turn), MaxTokens: streamTokens}
				requireComplete(t, req, caller.Stream(t.Context(), router, req))
				if outcome := caller.Book(t.Context(), router, fmt.Sprintf("key-%d-%d", number, turn), "{}"); !outcome.Answered() {
					t.Errorf("a booking was not answered: broken %v, %+v", outcome.Broken, outcome.Refusal)
				}
			}
		})
	}
	return load
}

func (l *strictLoad) end() {
	l.stop()
	l.work.Wait()
}

// startLongStreams starts streams that last longer than the first loads, and waits
// until each has started. The returned function waits for their ends.
func startLongStreams(t *testing.T, c *harness.Cluster) (wait func()) {
	var work sync.WaitGroup
	begun := make(chan struct{}, longStreamCount)
	caller := c.NewCaller(harness.TenantA)
	for number := range longStreamCount {
		req := longRequest(fmt.Sprintf("enduring %d", number), longStreamTokens)
		var once sync.Once
		req.OnText = func(int) { once.Do(func() { begun <- struct{}{} }) }
		work.Go(func() {
			requireComplete(t, req, caller.Stream(t.Context(), c.RouterURLs()[number%len(c.Routers)], req))
			once.Do(func() { begun <- struct{}{} })
		})
	}
	for range longStreamCount {
		<-begun
	}
	return work.Wait
}

// crashEngineOnOldVersion crashes an engine that generates with the old version
// once every router has observed that both others serve the next one.
func crashEngineOnOldVersion(t *testing.T, c *harness.Cluster) {
	t.Helper()
	victim := ""
	c.Await("one engine is busy with the old version and the others serve the next one", func() bool {
		observers := map[ident.Engine]int{}
		for _, router := range c.Routers {
			state, _ := routerStatus(t.Context(), c, router)
			for _, engine := range state.Engines {
				if slices.Contains(engine.Loaded, status.Loaded{Model: harness.Model, Version: nextVersion}) {
					observers[engine.Engine]++
				}
			}
		}
		for index, name := range c.Engines {
			first, second := c.Engines[(index+1)%len(c.Engines)], c.Engines[(index+2)%len(c.Engines)]
			everywhere := observers[ident.Engine(first)] == len(c.Routers) && observers[ident.Engine(second)] == len(c.Routers)
			if everywhere && unfinishedGenerations(withVersion(c.Truth(name), harness.ModelVersion)) > 0 {
				victim = name
			}
		}
		return victim != ""
	})
	c.Inject(victim, engine.FaultRequest{Kind: faultplan.Crash, Duration: faultplan.Duration(300 * time.Millisecond)})
}

// withVersion removes the records with other versions.
func withVersion(records []truth.Record, version ident.ModelVersion) []truth.Record {
	return slices.DeleteFunc(records, func(record truth.Record) bool { return record.Version != "" && record.Version != version })
}

// Guards against failed requests, mixed versions and repeated orders during a
// rolling version change under load with lost order answers and an engine crash.
func TestVersionChangeUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := harness.Start(t, changeConfig())
	var withdrawn time.Time
	t.Cleanup(func() { checkAlwaysServable(t, allTruth(c), withdrawn) })
	awaitFence(c, awaitLeaseHolder(t, c).Fence)
	load := startStrictLoad(t, c, c.RouterURLs())
	ended := startLongStreams(t, c)
	for _, name := range c.Engines { // the answer to each engine's next order is lost
		c.Relay(name).Arm(harness.Cut{Match: ordersPath, Direction: harness.ToRouter, Action: harness.Close})
	}
	requireApplied(t, c, documentWithVersions(c, nextVersion, harness.ModelVersion))
	crashEngineOnOldVersion(t, c)
	awaitServedVersions(c, harness.ModelVersion, nextVersion)
	ended()
	withdrawn = time.Now()
	requireApplied(t, c, documentWithVersions(c, nextVersion))
	awaitServedVersions(c, nextVersion)
	load.end()

	records := allTruth(c)
	checkReuse(t, records)
	checkSingleVersion(t, records)
	checkOrders(t, c)
	checkLoadPacing(t, c)
	reused := map[ident.ModelVersion]int{}
	kinds := map[truth.Kind]int{}
	for _, record := range records {
		reused[record.Version] += record.CachedTokens
		kinds[record.Kind]++
	}
	is.True(reused[harness.ModelVersion] > 0 && reused[nextVersion] > 0) // the caches of both were in use
	is.True(kinds[truth.Lost] > 0)                                       // the crash interrupted generations with text
	for _, name := range c.Engines {
		is.Equal(c.Relay(name).CutCount(), 1) // the answer was lost
	}
	requireAtMostOnce(t, c.AllExecutions(), load.callers...)
}

// checkSingleVersion fails for a request with text of two versions.
func checkSingleVersion(t *testing.T, records []truth.Record) {
	t.Helper()
	versions := map[ident.Request]ident.ModelVersion{}
	for _, record := range records {
		if record.GeneratedTokens == 0 || record.Kind == truth.Started {
			continue
		}
		if before, known := versions[record.RequestID]; known && before != record.Version {
			t.Errorf("the answer to %s has text of %s and of %s", record.RequestID, before, record.Version)
		}
		versions[record.RequestID] = record.Version
	}
}

// checkOrders fails if an order was accepted twice or after one with a newer fence,
// or if two orders with one fence did the same in one incarnation of an engine.
func checkOrders(t *testing.T, c *harness.Cluster) {
	t.Helper()
	for _, name := range c.Engines {
		fence, accepted, changes := uint64(0), map[string]bool{}, map[string]bool{}
		for _, record := range c.Truth(name) {
			if record.Kind != truth.OrderApplied {
				continue
			}
			if record.Fence < fence {
				t.Errorf("%s accepted %s with fence %d after fence %d", name, record.OrderID, record.Fence, fence)
			}
			fence = record.Fence
			change := fmt.Sprint(record.Incarnation, record.Fence, record.OrderKind, record.Version)
			if accepted[record.OrderID] || changes[change] {
				t.Errorf("%s accepted order %s, %s %s, twice", name, record.OrderID, record.OrderKind, record.Version)
			}
			accepted[record.OrderID], changes[change] = true, true
		}
		if len(accepted) == 0 {
			t.Errorf("%s accepted no order", name)
		}
	}
}

// sortedByTime returns the records in the order of their times.
func sortedByTime(records []truth.Record) []truth.Record {
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b truth.Record) int { return a.Time.Compare(b.Time) })
	return records
}

// checkLoadPacing fails if two engines of a zone loaded weights at the same time.
func checkLoadPacing(t *testing.T, c *harness.Cluster) {
	t.Helper()
	loading := map[ident.Zone]ident.Engine{}
	loads := 0
	for _, record := range sortedByTime(allTruth(c)) {
		switch {
		case record.Kind == truth.OrderApplied && record.OrderKind == string(protocol.OrderLoad):
			if other := loading[record.Zone]; other != "" {
				t.Errorf("%s was ordered to load while %s of the same zone loaded", record.Engine, other)
			}
			loading[record.Zone] = record.Engine
			loads++
		case (record.Kind == truth.Loaded || record.Kind == truth.Crashed) && loading[record.Zone] == record.Engine:
			delete(loading, record.Zone)
		}
	}
	if loads < len(c.Engines) {
		t.Errorf("%d loads were ordered", loads)
	}
}

// checkAlwaysServable fails if at any time no engine served a version that the
// fleet file accepted. The old version is accepted until withdrawn, if it is set.
func checkAlwaysServable(t *testing.T, records []truth.Record, withdrawn time.Time) {
	t.Helper()
	history := map[ident.Engine][]truth.Record{}
	began := map[ident.Engine]bool{}
	for _, record := range sortedByTime(records) {
		history[record.Engine] = append(history[record.Engine], record)
		began[record.Engine] = true
		if !slices.Contains([]truth.Kind{truth.Crashed, truth.OrderApplied}, record.Kind) {
			continue
		}
		servable := 0
		for name := range began {
			versions := servedVersions(history[name])
			if versions[nextVersion] || versions[harness.ModelVersion] && (withdrawn.IsZero() || record.Time.Before(withdrawn)) {
				servable++
			}
		}
		if servable == 0 {
			t.Errorf("no engine could serve after %s of %s", record.Kind, record.Engine)
		}
	}
}

// awaitLeaseHolder waits until the lease's row in the table has a holder and
// returns it.
func awaitLeaseHolder(t *testing.T, c *harness.Cluster) (record lease.Record) {
	t.Helper()
	path := "/table/v1/rows/" + url.PathEscape(lease.RowKey(controlLease))
	c.Await("the lease is held", func() (held bool) {
		var row platformprotocol.Row
		if !exchangeJSON(t.Context(), http.MethodGet, c.URL(harness.Platform)+path, nil, &row) {
			return false
		}
		var err error
		record, err = lease.DecodeRecord(row.Value)
		return err == nil && record.Node != ""
	})
	return record
}

// Guards against a stale order: the holder of the control lease is frozen past its
// lease with an order in flight, and both return after another holder has fenced
// the engines.
func TestFrozenHolderOfTheControlLease(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := harness.Start(t, changeConfig())
	var withdrawn time.Time
	t.Cleanup(func() { checkAlwaysServable(t, allTruth(c), withdrawn) })
	first := awaitLeaseHolder(t, c)
	awaitFence(c, first.Fence)
	relay := c.Relay(c.Engines[0])
	relay.Arm(harness.Cut{Match: ordersPath, Before: true, Action: harness.Hold})
	requireApplied(t, c, documentWithVersions(c, nextVersion, harness.ModelVersion))
	c.Await("an order is on its way", func() bool { return relay.CutCount() == 1 })
	c.Freeze(string(first.Node))
	var others []string
	for _, router := range c.Routers {
		if router != string(first.Node) {
			others = append(others, c.URL(router))
		}
	}
	load := startStrictLoad(t, c, others)
	var second lease.Record
	c.Await("another router holds the lease", func() bool {
		second = awaitLeaseHolder(t, c)
		return second.Node != first.Node
	})
	is.True(second.Fence > first.Fence)
	awaitFence(c, second.Fence)
	c.Resume(string(first.Node))
	relay.Release()
	c.Await("the engine has answered the late order", func() bool { return len(relay.LateAnswers()) > 0 })
	is.True(strings.Contains(relay.LateAnswers()[0], string(protocol.RefusalStaleFence)))
	awaitServedVersions(c, harness.ModelVersion, nextVersion)
	withdrawn = time.Now()
	requireApplied(t, c, documentWithVersions(c, nextVersion))
	awaitServedVersions(c, nextVersion)
	load.end()

	records := allTruth(c)
	checkReuse(t, records)
	checkSingleVersion(t, records)
	checkOrders(t, c)
	checkLoadPacing(t, c)
	requireAtMostOnce(t, c.AllExecutions(), load.callers...)
}
