package proofs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/application"
	"github.com/fieldpond/fieldpond/standin/engine/model"
	"github.com/fieldpond/fieldpond/standin/faultboard"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// lastingMillis is how long a fault is in force unless it is taken back.
const lastingMillis = 60_000

// prompt returns a prompt of a few cache blocks, each with an answer of its
// own. No two share a block, so that they spread over the engines.
func prompt(label string, number int) string {
	return fmt.Sprintf("%s order %d: ", label, number) + strings.Repeat("rules of the yard; ", 20)
}

// longAsk returns a request whose answer has at least so many tokens.
func longAsk(label string, tokens int) harness.Ask {
	for number := 0; ; number++ {
		ask := harness.Ask{Prompt: prompt(label, number), MaxTokens: tokens}
		if len(model.ExpectedText(ask.Prompt, tokens)) == tokens*prefix.BytesPerToken {
			return ask
		}
	}
}

// requireHonest fails unless the stream is the whole answer to its request, or
// a part of it, in order, that does not claim to be whole.
func requireHonest(t *testing.T, ask harness.Ask, told harness.Told) {
	t.Helper()
	expected := model.ExpectedText(ask.Prompt, ask.MaxTokens)
	switch {
	case told.Done && told.Text != expected:
		t.Errorf("a stream that ended as whole has %d of %d bytes, right so far: %v", len(told.Text), len(expected), strings.HasPrefix(expected, told.Text))
	case told.Done && (told.Finish == "" || told.Usage == nil || told.Usage.CompletionTokens*prefix.BytesPerToken != len(expected)):
		t.Errorf("a whole stream ended with finish reason %q and usage %+v", told.Finish, told.Usage)
	case !strings.HasPrefix(expected, told.Text):
		t.Errorf("the text is not the beginning of the answer: %d bytes", len(told.Text))
	case !told.Done && told.Refusal == nil && !told.Broken:
		t.Error("a stream ended without its end, without an error and unbroken")
	}
}

// requireWhole fails unless the whole answer came.
func requireWhole(t *testing.T, ask harness.Ask, told harness.Told) {
	t.Helper()
	requireHonest(t, ask, told)
	if !told.Done {
		t.Errorf("no whole answer: broken %v, refusal %+v, %d bytes", told.Broken, told.Refusal, len(told.Text))
	}
}

// lasting returns a fault of the platform or an application that stays until
// it is cleared.
func lasting(service, kind string) faultboard.Fault {
	return faultboard.Fault{Service: service, Kind: kind, DurationMillis: lastingMillis}
}

// executionsOf returns the executions under a tenant's idempotency key.
func executionsOf(all []application.Execution, told harness.Told) int {
	count := 0
	for _, execution := range all {
		if execution.Tenant == told.Tenant && execution.IdempotencyKey == told.Key {
			count++
		}
	}
	return count
}

// allTruth returns the truth logs of all engines.
func allTruth(c *harness.Cluster) []truth.Record {
	var records []truth.Record
	for _, engine := range c.Engines {
		records = append(records, c.Truth(engine)...)
	}
	return records
}

// bookUntilAnswered repeats a booking at the routers in turn until an answer
// comes, as a proper caller does, and returns the last word after the tries.
func bookUntilAnswered(ctx context.Context, caller *harness.Caller, routers []string, key, body string, tries int) harness.Told {
	var told harness.Told
	for try := range tries {
		told = caller.Book(ctx, routers[try%len(routers)], key, body)
		if told.Answered() || told.Kind() == fault.KeyReused {
			return told
		}
		time.Sleep(100 * time.Millisecond)
	}
	return told
}

// together runs a function so many times at once and waits for all.
func together(count int, run func(number int)) {
	var work sync.WaitGroup
	for number := range count {
		work.Go(func() { run(number) })
	}
	work.Wait()
}
