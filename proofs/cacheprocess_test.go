package proofs

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/status"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/engine"
	"github.com/fieldpond/fieldpond/standin/faultplan"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// newWeights is the version that replaces harness.ModelVersion.
const newWeights ident.ModelVersion = "v2"

// cacheRun is a cluster with traffic of two tenants that share prompts.
type cacheRun struct {
	*harness.Cluster
	t       *testing.T
	callers *traffic
}

// apply applies a changed fleet file on every router.
func (r *cacheRun) apply(change func(document *fleet.Document)) {
	r.t.Helper()
	document := *r.Document
	document.Models = slices.Clone(document.Models)
	document.Tenants = slices.Clone(document.Tenants)
	change(&document)
	if output, err := r.Apply(&document); err != nil {
		r.t.Fatalf("applying: %v\n%s", err, output)
	}
	r.Document = &document
}

// streamDuring runs long streams and calls disrupt once one of them has text. No
// stream may be corrupted.
func (r *cacheRun) streamDuring(disrupt func()) {
	r.t.Helper()
	caller := r.NewCaller(harness.TenantA)
	var once sync.Once
	concurrently(6, func(number int) {
		req := longRequest(fmt.Sprint("long ", number), 120)
		req.OnText = func(bytes int) {
			if bytes > 40 {
				once.Do(disrupt)
			}
		}
		outcome := caller.Stream(r.t.Context(), r.RouterURLs()[number%2], req)
		requireValidStream(r.t, req, outcome)
	})
}

// Guards, with real processes, against reuse of blocks of another tenant, version
// or incarnation, and against use of weights or zones that the adopted fleet
// file no longer permits.
func TestNoCacheSharingWithRealProcesses(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Config{PlatformArgs: []string{"--weight-rate", "0", "--weight-gigabytes-per-second", "0"}})
	r := &cacheRun{Cluster: c, t: t, callers: startTraffic(t, c)}
	r.callers.awaitAnswers(c, 60)

	for _, name := range c.Engines { // a crash with a gap in the cache events
		c.Inject(name, engine.FaultRequest{
			Kind: faultplan.EventLoss, Duration: faultplan.Duration(time.Minute), Parameters: faultplan.Parameters{Probability: 0.5},
		})
	}
	c.Kill(c.Engines[0])
	c.Restart(c.Engines[0])
	r.callers.awaitAnswers(c, 60)
	c.Inject(c.Engines[1], engine.FaultRequest{Kind: faultplan.Crash, Duration: faultplan.Duration(100 * time.Millisecond)})
	r.callers.awaitAnswers(c, 60)

	r.replaceWeights()
	r.withdrawZone()
	r.callers.end()
	records := allTruth(c)
	checkReuse(t, records)
	checkContinuedVersions(t, records)
	is.New(t).True(reusedTokens(records) > 50000) // the caches were used
}

// replaceWeights applies new weights, which the routers order the engines to load,
// and crashes an engine during streams of the old ones; then it removes the old
// ones, which the routers order the engines to unload, under load.
func (r *cacheRun) replaceWeights() {
	r.t.Helper()
	r.streamDuring(func() {
		r.apply(func(document *fleet.Document) {
			document.Models[0].Version, document.Models[0].AcceptVersions = newWeights, []ident.ModelVersion{harness.ModelVersion}
		})
		r.Inject(r.Engines[2], engine.FaultRequest{Kind: faultplan.Crash, Duration: faultplan.Duration(100 * time.Millisecond)})
	})
	awaitEngines(r.t, r.Cluster, "every engine has the new weights", hasLoaded(newWeights))
	r.callers.awaitAnswers(r.Cluster, 30)
	r.apply(func(document *fleet.Document) { document.Models[0].AcceptVersions = nil })
	adopted := time.Now()
	awaitEngines(r.t, r.Cluster, "no engine has the old weights", func(engine status.Engine) bool { return !hasLoaded(harness.ModelVersion)(engine) })
	r.callers.awaitAnswers(r.Cluster, 60)
	requireNoStart(r.t, allTruth(r.Cluster), r.callers.requestsSentAfter(adopted), func(record truth.Record) bool {
		return record.Version != newWeights
	})
}

// hasLoaded returns a condition that holds for engines with the version loaded.
func hasLoaded(version ident.ModelVersion) func(engine status.Engine) bool {
	return func(engine status.Engine) bool {
		return slices.ContainsFunc(engine.Loaded, func(loaded status.Loaded) bool { return loaded.Version == version })
	}
}

// withdrawZone removes one of two zones from a tenant's places.
func (r *cacheRun) withdrawZone() {
	r.t.Helper()
	r.apply(func(document *fleet.Document) { document.Tenants[0].Places = []string{string(harness.ZoneA)} })
	adopted := time.Now()
	r.callers.awaitAnswers(r.Cluster, 60)
	requireNoStart(r.t, allTruth(r.Cluster), r.callers.requestsSentAfter(adopted), func(record truth.Record) bool {
		return record.Tenant == r.Document.Tenants[0].Name && record.Zone != harness.ZoneA
	})
}

// checkContinuedVersions fails if attempts of one request emitted text of several
// versions, and logs if no request had several attempts with text.
func checkContinuedVersions(t *testing.T, records []truth.Record) {
	t.Helper()
	emitted := map[ident.Request]ident.ModelVersion{}
	continued := 0
	for _, record := range records {
		if record.GeneratedTokens == 0 {
			continue
		}
		before, known := emitted[record.RequestID]
		if known && before != record.Version {
			t.Errorf("the answer to %s has text of %s and of %s", record.RequestID, before, record.Version)
		}
		if known {
			continued++
		}
		emitted[record.RequestID] = record.Version
	}
	if continued == 0 {
		t.Log("no answer was continued by another attempt")
	}
}
