package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
)

func TestReferencePagesAreCurrent(t *testing.T) {
	pages := map[string][]byte{"edge-metrics.md": MetricsReference(), "log-events.md": EventsReference()}
	for name, expected := range pages {
		is := is.New(t)
		page, err := os.ReadFile(filepath.Join("../../docs/reference", name))
		is.NoErr(err)
		is.Equal(string(page), string(expected)) // run "go generate ./internal/node"
	}
}

// Every event that the code logs is described, and every described one is logged.
func TestEventsAreDescribed(t *testing.T) {
	is := is.New(t)
	described := map[string]bool{}
	for _, event := range Events() {
		described[event.Name] = true
	}
	logged := map[string]bool{"log_lines_dropped": true}
	for _, kind := range []forward.StepKind{
		forward.StepRefused, forward.StepSent, forward.StepAttemptEnded, forward.StepAnswered, forward.StepBroken, forward.StepClientGone,
		forward.StepRetryGranted, forward.StepRetryDenied, forward.StepBackendLimit, forward.StepLimitDenied,
		forward.StepBackendDraining, forward.StepBackendBackoff, forward.StepBackendsBrittle,
	} {
		logged[string(kind)] = true
	}
	for _, pattern := range []string{"*.go", "../lease/*.go", "../quarantine/guard/*.go", "../exchange/*.go", "../inbound/*.go", "../detour/*.go", "../../platform/*.go", "../../cmd/fieldpond/edge.go"} {
		paths, err := filepath.Glob(pattern)
		is.NoErr(err)
		for _, path := range paths {
			if !strings.HasSuffix(path, "_test.go") {
				collectEvents(t, path, logged)
			}
		}
	}
	for name := range logged {
		if !described[name] {
			t.Errorf("the event %q is not described", name)
		}
	}
	for name := range described {
		if !logged[name] {
			t.Errorf("the event %q is described but never logged", name)
		}
	}
}

// collectEvents adds the literal arguments of Info and Warn.
func collectEvents(t *testing.T, path string, logged map[string]bool) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok || len(call.Args) != 1 {
			return true
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		literal, isLiteral := call.Args[0].(*ast.BasicLit)
		if ok && isLiteral && (selector.Sel.Name == "Info" || selector.Sel.Name == "Warn") {
			text, _ := strconv.Unquote(literal.Value)
			logged[text] = true
		}
		return true
	})
}

func TestStepsAreCountedAndLogged(t *testing.T) {
	is := is.New(t)
	kept := memory.New()
	log.SetHandler(kept)
	defer log.SetHandler(log.HandlerFunc(func(*log.Entry) error { return nil }))
	counters := newMetrics(func() gaugeValues { return gaugeValues{} })
	step := forward.Step{
		Kind: forward.StepAttemptEnded, Request: "r", Route: "route", ConfigurationVersion: 3, ConfigurationAge: time.Second,
		Choice: backend.Choice{Record: backend.Record{Instance: "i"}}, Outcome: backend.Silent, Attempt: 2,
	}
	recorder := stepRecorder(counters)
	recorder(step)
	recorder(forward.Step{Kind: forward.StepRefused, Request: "r", Fault: fault.New(fault.NotReady, "x")})
	recorder(forward.Step{
		Kind: forward.StepAttemptEnded, Request: "s", Outcome: backend.Broken, Unframed: true,
		Carrier: exchange.Carrier{Connection: 7, Exchange: 2, Skipped: 1}, Cause: &exchange.RelayError{Cause: io.ErrUnexpectedEOF},
	})
	is.Equal(len(kept.Entries), 3)
	for name, want := range map[string]any{"connection": uint64(7), "exchange": 2, "skipped_answers": 1, "unframed": true} {
		is.Equal(kept.Entries[2].Fields[name], want)
	}
	is.Equal(kept.Entries[0].Message, "attempt_ended")
	is.Equal(kept.Entries[0].Fields["outcome"], "silent")
	is.Equal(kept.Entries[0].Fields["config_age_ms"], int64(1000))
	is.Equal(kept.Entries[1].Fields["ran"], fault.RanNo)
	gathered := gatherMetrics(t, counters)
	is.True(strings.Contains(gathered, `fieldpond_edge_attempts_total{outcome="silent"} 1`))
	is.True(strings.Contains(gathered, `fieldpond_edge_refusals_total{kind="not_ready",ran="no"} 1`))
	is.True(strings.Contains(gathered, `fieldpond_edge_requests_total{end="refused"} 1`))
	is.True(strings.Contains(gathered, `fieldpond_edge_relays_broken_total 1`))
}

// Attempts are counted and logged by release only while releases are restricted.
func TestAttemptsAreCountedByRelease(t *testing.T) {
	tests := []struct {
		name     string
		releases backend.Releases
		// wantField is the field "releases".
		wantField any
	}{
		{"any", backend.Releases{}, nil},
		{"on trial", backend.Releases{Only: "v2", MaxBackends: 3}, "only v2, 3 of its back ends"},
		{"promoted", backend.Releases{Only: "v2"}, "only v2"},
		{"rolled back", backend.Releases{Excluded: []ident.Release{"v1"}}, "all but [v1]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			kept := memory.New()
			log.SetHandler(kept)
			defer log.SetHandler(log.HandlerFunc(func(*log.Entry) error { return nil }))
			counters := newMetrics(func() gaugeValues { return gaugeValues{} })
			stepRecorder(counters)(forward.Step{
				Kind: forward.StepAttemptEnded, Request: "r", Outcome: backend.Failed,
				Choice: backend.Choice{Record: backend.Record{Instance: "i", Service: "s", Release: "v2"}, Releases: tt.releases},
			})
			is.Equal(kept.Entries[0].Fields["releases"], tt.wantField)
			counted := strings.Contains(gatherMetrics(t, counters), `fieldpond_edge_release_attempts_total{outcome="failed",release="v2",service="s"} 1`)
			is.Equal(counted, tt.wantField != nil)
		})
	}
}
