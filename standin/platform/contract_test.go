package platform_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	client "github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/standin/faultboard"
	"github.com/fieldpond/fieldpond/standin/platform"
)

// start serves a stand-in and returns it with its URL and a client.
func start(t *testing.T, options platform.Options) (*platform.Server, string, *client.HTTPClient) {
	t.Helper()
	server := platform.NewServer(options)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	connected, err := client.NewHTTPClient(listener.URL, client.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return server, listener.URL, connected
}

func send(t *testing.T, method, url, body string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("%s %s: status %d", method, url, response.StatusCode)
	}
}

// TestWriteFaults compares the client's outcomes with the table's truth log.
func TestWriteFaults(t *testing.T) {
	cases := []struct {
		name, inject string
		timeout      time.Duration
		kind         fault.Kind
		ran          fault.Ran
		commits      int
	}{
		{"outage", `{"service":"table","kind":"outage","duration_millis":60000}`, time.Minute, fault.StoreUnavailable, fault.RanUnknown, 0},
		{"lost response", `{"kind":"lose_answer","duration_millis":60000,"only_writes":true}`, time.Minute, fault.StoreUnavailable, fault.RanUnknown, 1},
		{"rate limit", `{"kind":"rate","duration_millis":60000}`, time.Minute, fault.RateLimited, fault.RanNo, 0},
		{"context expired before sending", `{"kind":"outage","duration_millis":60000}`, -time.Second, fault.StoreUnavailable, fault.RanNo, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server, url, connected := start(t, platform.Options{})
			_, _, err := connected.Read(t.Context(), "warm") // the next exchange reuses the connection
			is.NoErr(err)
			send(t, http.MethodPost, url+faultboard.Path, c.inject)
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			_, err = connected.Commit(ctx, insert("a"))
			is.Equal(fault.From(err).Kind, c.kind)
			is.Equal(fault.From(err).Ran, c.ran)
			is.Equal(len(server.History()), c.commits)
		})
	}
}

// TestWriteCommitsAfterClientCancels cancels the client's context once its
// write has arrived; the write must still commit.
func TestWriteCommitsAfterClientCancels(t *testing.T) {
	is := is.New(t)
	server := platform.NewServer(platform.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	cancelled, served := make(chan struct{}), make(chan struct{})
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path != faultboard.Path {
			defer close(served)
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			cancel()
			<-cancelled
		}
		server.ServeHTTP(w, r)
	}))
	defer listener.Close()
	send(t, http.MethodPost, listener.URL+faultboard.Path, `{"kind":"slow","duration_millis":60000,"delay_millis":1}`)
	connected, err := client.NewHTTPClient(listener.URL, client.Options{})
	is.NoErr(err)
	_, err = connected.Commit(ctx, insert("a"))
	close(cancelled)
	is.True(fault.Is(err, fault.StoreUnavailable))
	is.Equal(fault.From(err).Ran, fault.RanUnknown)
	<-served
	is.Equal(len(server.History()), 1)
}

func TestClientAgainstStandIn(t *testing.T) {
	is := is.New(t)
	server, url, connected := start(t, platform.Options{})
	const key = "claims/haul/a b%2F?ü"
	result, err := connected.Commit(t.Context(), insert(key))
	is.NoErr(err)
	is.True(result.Committed)
	lost, err := connected.Commit(t.Context(), insert(key))
	is.NoErr(err)
	is.True(!lost.Committed)
	is.Equal(lost.Rows[0].Value, []byte("v"))
	row, found, err := connected.Read(t.Context(), key)
	is.NoErr(err)
	is.True(found)
	is.Equal(row, result.Rows[0])
	list, err := connected.List(t.Context(), "claims/", 10)
	is.NoErr(err)
	is.Equal(len(list.Rows), 1)
	is.Equal(server.History()[0].Writes[0].Version, uint64(1))

	is.NoErr(connected.Put(t.Context(), "cok", key, []byte("answer")))
	_, found, err = connected.Get(t.Context(), "trv", key) // bound to its zone
	is.NoErr(err)
	is.True(!found)
	data, found, err := connected.Get(t.Context(), "cok", key)
	is.NoErr(err)
	is.True(found)
	is.Equal(string(data), "answer")

	send(t, http.MethodPut, url+"/rehearsal/machines", `{"machines":[{"name":"r-1","kind":"router","zone":"cok","address":"127.0.0.1:1"}]}`)
	machines, err := connected.ListMachines(t.Context())
	is.NoErr(err)
	is.Equal(len(machines.Machines), 1)
}

func TestRateLimitedWriteIsNotCommitted(t *testing.T) {
	is := is.New(t)
	server, _, connected := start(t, platform.Options{TableRate: 0.001})
	_, err := connected.Commit(t.Context(), insert("a"))
	is.NoErr(err)
	_, err = connected.Commit(t.Context(), insert("b"))
	is.True(fault.Is(err, fault.RateLimited))
	is.Equal(fault.From(err).RetryAfter, time.Second)
	is.Equal(len(server.History()), 1)
}
