package proofs

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/status"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/application"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// fastMachinePoll makes routers read the machine list within a second.
const fastMachinePoll = "intervals: {machinePoll: 300ms}\n"

// Guards against new work on an engine that is observed draining, and against
// cutting the streams that run on it.
func TestDrainingEngineProcessGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Config{
		Routers: 3, Engines: 4, RouterSettings: fastMachinePoll, PlatformArgs: []string{"--lag", "200ms"},
	})
	cases := []struct {
		name          string
		startDraining func(engine string)
	}{
		{"by the machine list", func(engine string) { setMachinesLeaving(t, c, engine) }},
		{"by its own report", func(engine string) { c.Signal(engine, syscall.SIGTERM) }},
		{"by the fleet file", func(engine string) {
			document := drainingDocument(c, engine, "")
			if output, err := c.Apply(document); err != nil {
				t.Fatalf("applying: %v\n%s", err, output)
			}
		}},
	}
	callers := startTraffic(t, c)
	for index, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			draining := c.Engines[index]
			streams := streamUntilRunningOn(t, c, draining)
			test.startDraining(draining)
			awaitEngines(t, c, draining+" is draining", func(engine status.Engine) bool {
				return string(engine.Engine) != draining || engine.Draining || !engine.Alive
			})
			observedAt := time.Now()
			callers.awaitAnswers(c, 60)
			streams()
			requireNoStart(t, allTruth(c), callers.requestsSentAfter(observedAt), func(record truth.Record) bool {
				return string(record.Engine) == draining
			})
		})
	}
	callers.end()
	for _, caller := range callers.callers {
		for _, outcome := range caller.History() {
			if outcome.Refusal != nil {
				t.Errorf("a caller was refused with %+v", outcome.Refusal)
			}
		}
	}
	is.New(t).Equal(c.AwaitExit(c.Engines[1]), 0) // the one that got SIGTERM
}

// drainingDocument returns the fleet file with an engine or application draining.
func drainingDocument(c *harness.Cluster, engine, application string) *fleet.Document {
	document := *c.Document
	document.Engines = slices.Clone(document.Engines)
	for index := range document.Engines {
		if string(document.Engines[index].Name) == engine {
			document.Engines[index].State = fleet.BackendDraining
		}
	}
	document.Applications = slices.Clone(document.Applications)
	for index := range document.Applications {
		if string(document.Applications[index].Name) == application {
			document.Applications[index].State = fleet.BackendDraining
		}
	}
	return &document
}

// streamUntilRunningOn starts long streams until one runs on the engine. The
// returned function waits for their ends and requires each to be complete.
func streamUntilRunningOn(t *testing.T, c *harness.Cluster, engine string) (finish func()) {
	t.Helper()
	caller := c.NewCaller(harness.TenantA)
	const most, tokens = 60, 150
	ended := make(chan func(), most)
	for number := range most {
		began := make(chan struct{}, 1)
		req := longRequest(fmt.Sprintf("%s stream %d", engine, number), tokens)
		req.OnText = func(int) {
			select {
			case began <- struct{}{}:
			default:
			}
		}
		go func() {
			outcome := caller.Stream(t.Context(), c.RouterURLs()[number%len(c.Routers)], req)
			ended <- func() { requireComplete(t, req, outcome) }
		}()
		<-began
		if runsOn(c, engine) {
			return func() {
				for range number + 1 {
					(<-ended)()
				}
			}
		}
	}
	t.Fatalf("no stream ran on %s", engine)
	return nil
}

// runsOn reports whether a long stream is running on an engine.
func runsOn(c *harness.Cluster, engine string) bool {
	running := map[ident.Stream]bool{}
	for _, record := range c.Truth(engine) {
		long := record.PromptTokens < 256 // the traffic's prompts are longer
		if record.Kind == truth.Started && long {
			running[record.Stream] = true
		} else {
			delete(running, record.Stream)
		}
	}
	return len(running) > 0
}

// Guards against new work on a draining application.
func TestDrainingApplicationProcessGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Config{
		Routers: 3, Engines: 1, Applications: 4, RouterSettings: fastMachinePoll, PlatformArgs: []string{"--lag", "200ms"},
	})
	caller := c.NewCaller(harness.TenantA)
	cases := []struct {
		name          string
		startDraining func(application string)
	}{
		{"by the machine list", func(application string) { setMachinesLeaving(t, c, application) }},
		{"by its own refusal, then gone", func(application string) { c.Signal(application, syscall.SIGTERM) }},
		{"by the fleet file", func(application string) {
			if output, err := c.Apply(drainingDocument(c, "", application)); err != nil {
				t.Fatalf("applying: %v\n%s", err, output)
			}
		}},
	}
	for index, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			draining := c.Applications[index]
			test.startDraining(draining)
			time.Sleep(drainingBound) // routers may need this long to observe it
			var late []harness.Outcome
			for number := range 60 {
				key := fmt.Sprintf("sign-%d-%d", index, number)
				late = append(late, caller.Book(t.Context(), c.RouterURLs()[number%len(c.Routers)], key, key))
			}
			remaining := executionsExcept(c, c.Applications[:index+1])
			for _, outcome := range late {
				if !outcome.Answered() || executionsOf(remaining, outcome) != 1 {
					t.Errorf("%s got %+v and ran %d times on the remaining applications", outcome.Key, outcome.Refusal, executionsOf(remaining, outcome))
				}
			}
		})
	}
}

// executionsExcept returns the truth logs of all applications but the excluded.
func executionsExcept(c *harness.Cluster, excluded []string) []application.Execution {
	var all []application.Execution
	for _, name := range c.Applications {
		if !slices.Contains(excluded, name) {
			all = append(all, c.Executions(name)...)
		}
	}
	return all
}
