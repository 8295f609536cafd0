package application_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/standin/application"
	"github.com/fieldpond/fieldpond/standin/faultboard"
)

func start(t *testing.T) (server *application.Server, address string) {
	t.Helper()
	server = application.NewServer(application.Options{Incarnation: "incarnation-1"})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, strings.TrimPrefix(listener.URL, "http://")
}

func inject(t *testing.T, address, body string) {
	t.Helper()
	response, err := http.Post("http://"+address+faultboard.Path, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("status %d", response.StatusCode)
	}
}

func booking(key string) engine.ApplicationRequest {
	return engine.ApplicationRequest{
		RequestID: "r-1", Attempt: 1, Tenant: "haul", Service: "dispatch", IdempotencyKey: key,
		Method: http.MethodPost, Path: "/book/a b", Body: []byte("skip"),
	}
}

// TestFaultOutcomes compares the client's outcome with the truth log. Each
// exchange reuses a connection, so an automatic retry would be recorded.
func TestFaultOutcomes(t *testing.T) {
	cases := []struct {
		name, inject string
		timeout      time.Duration
		ran          fault.Ran // empty: success
		executions   int
	}{
		{"no fault", "", time.Minute, "", 1},
		{"refused as full", `{"kind":"refuse_full","duration_millis":60000}`, time.Minute, fault.RanNo, 0},
		{"executes, then closes the connection", `{"kind":"run_then_cut","duration_millis":60000}`, time.Minute, fault.RanUnknown, 1},
		{"closes the connection before executing", `{"kind":"cut_before","duration_millis":60000}`, time.Minute, fault.RanUnknown, 0},
		{"stalls", `{"kind":"stall","duration_millis":60000,"delay_millis":1}`, time.Minute, fault.RanUnknown, 0},
		{"slow", `{"kind":"slow","duration_millis":60000,"delay_millis":1}`, time.Minute, "", 1},
		{"excludes reads, not writes", `{"kind":"cut_before","duration_millis":60000,"only_writes":true}`, time.Minute, fault.RanUnknown, 0},
		{"context expired before sending", "", -time.Second, fault.RanNo, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server, address := start(t)
			client := engine.NewHTTPClient(engine.Options{})
			_, err := client.Load(t.Context(), address)
			is.NoErr(err)
			if c.inject != "" {
				inject(t, address, c.inject)
			}
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			_, err = client.Call(ctx, address, booking("k"))
			if c.ran == "" {
				is.NoErr(err)
			} else {
				is.Equal(fault.From(err).Ran, c.ran)
			}
			is.Equal(len(server.Executions()), c.executions)
		})
	}
}

func TestDuplicateRequestsAreExecutedTwice(t *testing.T) {
	is := is.New(t)
	server, address := start(t)
	client := engine.NewHTTPClient(engine.Options{})
	var answers [2]application.Answer
	for index := range answers { // both executions are recorded
		response, err := client.Call(t.Context(), address, booking("k"))
		is.NoErr(err)
		is.Equal(string(response.Incarnation), "incarnation-1")
		is.NoErr(json.Unmarshal(response.Body, &answers[index]))
		is.Equal(answers[index].Digest, application.Digest("haul", "k", []byte("skip")))
		is.Equal(answers[index].Executed, index+1)
	}
	is.True(answers[0].Booking != answers[1].Booking)
	execution := server.Executions()[1]
	is.Equal(execution.Path, "/book/a b")
	is.Equal(execution.IdempotencyKey, "k")
	is.Equal(execution.Order, uint64(2))
	is.True(application.Digest("a", "bc", nil) != application.Digest("ab", "c", nil))
}

func TestDrainingRefusesNewRequests(t *testing.T) {
	is := is.New(t)
	server, address := start(t)
	server.Drain()
	client := engine.NewHTTPClient(engine.Options{})
	_, err := client.Call(t.Context(), address, booking("k"))
	var refused *engine.RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Refusal.Kind, protocol.RefusalDraining)
	is.Equal(fault.From(err).Ran, fault.RanNo)
	report, err := client.Load(t.Context(), address)
	is.NoErr(err)
	is.True(report.Draining)
	is.Equal(len(server.Executions()), 0)
}
