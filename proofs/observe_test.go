package proofs

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/status"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// observeTimeout bounds one HTTP exchange of the helpers below.
const observeTimeout = 2 * time.Second

// exchangeJSON sends body as JSON, decodes the JSON answer if into is set, and
// reports whether both succeeded.
func exchangeJSON(ctx context.Context, method, url string, body, into any) bool {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	content, err := json.Marshal(body)
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return false
	}
	return into == nil || json.NewDecoder(response.Body).Decode(into) == nil
}

// routerStatus returns a router's status, if it answers.
func routerStatus(ctx context.Context, c *harness.Cluster, router string) (state status.Router, answered bool) {
	answered = exchangeJSON(ctx, http.MethodGet, c.URL(router)+status.Path, nil, &state)
	return state, answered
}

// awaitEngines waits until the condition holds for all engines on every router.
func awaitEngines(t *testing.T, c *harness.Cluster, what string, wanted func(engine status.Engine) bool) {
	t.Helper()
	for _, router := range c.Routers {
		c.Await(router+" observes that "+what, func() bool {
			state, answered := routerStatus(t.Context(), c, router)
			return answered && len(state.Engines) > 0 && !slices.ContainsFunc(state.Engines, func(engine status.Engine) bool { return !wanted(engine) })
		})
	}
}

// setMachinesLeaving sets some machines leaving, and all others live, in the
// platform's machine list.
func setMachinesLeaving(t *testing.T, c *harness.Cluster, leaving ...string) {
	t.Helper()
	var list protocol.MachineList
	if !exchangeJSON(t.Context(), http.MethodGet, c.URL(harness.Platform)+"/machines/v1/list", nil, &list) {
		t.Fatal("the machine list could not be read")
	}
	for index := range list.Machines {
		list.Machines[index].State = protocol.MachineLive
		if slices.Contains(leaving, list.Machines[index].Name) {
			list.Machines[index].State = protocol.MachineLeaving
		}
	}
	if !exchangeJSON(t.Context(), http.MethodPut, c.URL(harness.Platform)+"/rehearsal/machines", list, nil) {
		t.Fatal("the machine list could not be replaced")
	}
}

// traffic is a set of callers of both tenants that send the same shared prompts to
// every router in turn until they are stopped.
type traffic struct {
	callers []*harness.Caller
	stop    context.CancelFunc
	work    sync.WaitGroup
}

// Size of the traffic.
const (
	trafficCallers  = 6
	trafficTokens   = 4
	trafficAttempts = 100
)

func startTraffic(tb testing.TB, c *harness.Cluster) *traffic {
	ctx, stop := context.WithCancel(tb.Context())
	running := &traffic{stop: stop}
	tb.Cleanup(running.end)
	routers := c.RouterURLs()
	for number := range trafficCallers {
		caller := c.NewCaller([]ident.Tenant{harness.TenantA, harness.TenantB}[number%2])
		running.callers = append(running.callers, caller)
		running.work.Go(func() {
			for turn := 0; ctx.Err() == nil; turn++ {
				first := (number + turn) % len(routers)
				req := harness.ModelRequest{Prompt: sharedPrompt([]string{"graz", "linz", "wien"}[turn%3], turn), MaxTokens: trafficTokens}
				caller.StreamWithRetries(ctx, append(routers[first:len(routers):len(routers)], routers[:first]...), req, trafficAttempts)
			}
		})
	}
	return running
}

// end stops the callers and waits for their last answers.
func (r *traffic) end() {
	r.stop()
	r.work.Wait()
}

// answered counts complete answers so far.
func (r *traffic) answered() int {
	count := 0
	for _, caller := range r.callers {
		for _, outcome := range caller.History() {
			if outcome.Done {
				count++
			}
		}
	}
	return count
}

// awaitAnswers waits for the given number of further complete answers.
func (r *traffic) awaitAnswers(c *harness.Cluster, more int) {
	before := r.answered()
	c.Await("the callers have more answers", func() bool { return r.answered() >= before+more })
}

// requestsSentAfter returns the ids of requests that were sent after a time.
func (r *traffic) requestsSentAfter(after time.Time) map[ident.Request]bool {
	ids := map[ident.Request]bool{}
	for _, caller := range r.callers {
		for _, outcome := range caller.History() {
			if outcome.RequestID != "" && outcome.Began.After(after) {
				ids[outcome.RequestID] = true
			}
		}
	}
	return ids
}

// requireNoStart fails if one of the requests started where it is forbidden, or if
// none of them started at all.
func requireNoStart(t *testing.T, records []truth.Record, requests map[ident.Request]bool, forbidden func(record truth.Record) bool) {
	t.Helper()
	started := 0
	for _, record := range records {
		if record.Kind != truth.Started || !requests[record.RequestID] {
			continue
		}
		started++
		if forbidden(record) {
			t.Errorf("request %s of %s ran on %s in %s with version %s", record.RequestID, record.Tenant, record.Engine, record.Zone, record.Version)
		}
	}
	if started == 0 {
		t.Error("none of the requests ran")
	}
}
