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

// lastingMillis is how long a fault is active unless it is cleared.
const lastingMillis = 60_000

// prompt returns a prompt of a few cache blocks. No two prompts share an answer
// or a block, so that they spread over the engines.
func prompt(label string, number int) string {
	return fmt.Sprintf("%s order %d: ", label, number) + strings.Repeat("rules of the yard; ", 20)
}

// longRequest returns a request whose answer has the given number of tokens.
func longRequest(label string, tokens int) harness.ModelRequest {
	for number := 0; ; number++ {
		req := harness.ModelRequest{Prompt: prompt(label, number), MaxTokens: tokens}
		if len(model.ExpectedText(req.Prompt, tokens)) == tokens*prefix.BytesPerToken {
			return req
		}
	}
}

// requireValidStream fails unless the stream is the complete answer, or a prefix
// of it that ended with an error or a broken connection.
func requireValidStream(t *testing.T, req harness.ModelRequest, outcome harness.Outcome) {
	t.Helper()
	expected := model.ExpectedText(req.Prompt, req.MaxTokens)
	switch {
	case outcome.Done && outcome.Text != expected:
		t.Errorf("a stream marked complete has %d of %d bytes, is a prefix: %v", len(outcome.Text), len(expected), strings.HasPrefix(expected, outcome.Text))
	case outcome.Done && (outcome.Finish == "" || outcome.Usage == nil || outcome.Usage.CompletionTokens*prefix.BytesPerToken != len(expected)):
		t.Errorf("a complete stream ended with finish reason %q and usage %+v", outcome.Finish, outcome.Usage)
	case !strings.HasPrefix(expected, outcome.Text):
		t.Errorf("the text is not a prefix of the answer: %d bytes", len(outcome.Text))
	case !outcome.Done && outcome.Refusal == nil && !outcome.Broken:
		t.Error("a stream ended without its end marker, an error or a broken connection")
	}
}

// requireComplete fails unless the stream is the complete answer.
func requireComplete(t *testing.T, req harness.ModelRequest, outcome harness.Outcome) {
	t.Helper()
	requireValidStream(t, req, outcome)
	if !outcome.Done {
		t.Errorf("the answer is incomplete: broken %v, refusal %+v, %d bytes", outcome.Broken, outcome.Refusal, len(outcome.Text))
	}
}

// lastingFault returns a fault of the platform or an application that is active
// until it is cleared.
func lastingFault(service, kind string) faultboard.Fault {
	return faultboard.Fault{Service: service, Kind: kind, DurationMillis: lastingMillis}
}

// executionsOf counts the executions under a tenant's idempotency key.
func executionsOf(all []application.Execution, outcome harness.Outcome) int {
	count := 0
	for _, execution := range all {
		if execution.Tenant == outcome.Tenant && execution.IdempotencyKey == outcome.Key {
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

// bookUntilAnswered retries a booking at the routers in turn until it is answered
// or its key is refused as reused, and returns the last outcome.
func bookUntilAnswered(ctx context.Context, caller *harness.Caller, routers []string, key, body string, attempts int) harness.Outcome {
	var outcome harness.Outcome
	for attempt := range attempts {
		outcome = caller.Book(ctx, routers[attempt%len(routers)], key, body)
		if outcome.Answered() || outcome.Kind() == fault.KeyReused {
			return outcome
		}
		time.Sleep(100 * time.Millisecond)
	}
	return outcome
}

// concurrently runs a function count times at once and waits for all.
func concurrently(count int, run func(number int)) {
	var work sync.WaitGroup
	for number := range count {
		work.Go(func() { run(number) })
	}
	work.Wait()
}
