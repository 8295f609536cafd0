package store_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

const testLimit = 128

func TestCommitErrorContract(t *testing.T) {
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	cases := []struct {
		name   string
		handle http.HandlerFunc
		kind   fault.Kind
		ran    fault.Ran
	}{
		{"cut without an answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, fault.StoreUnavailable, fault.RanUnknown},
		{"cut inside the answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "99")
			_, _ = io.WriteString(w, "{")
		}, fault.StoreUnavailable, fault.RanUnknown},
		{"malformed answer", answer(200, "{"), fault.StoreUnavailable, fault.RanUnknown},
		{"answer without its rows", answer(200, `{"committed":true,"rows":[]}`), fault.StoreUnavailable, fault.RanUnknown},
		{"oversize answer", answer(200, strings.Repeat(" ", testLimit+1)), fault.StoreUnavailable, fault.RanUnknown},
		{"failure", answer(500, ""), fault.StoreUnavailable, fault.RanUnknown},
		{"rate limit", answer(429, ""), fault.RateLimited, fault.RanNo},
		{"refused as malformed", answer(400, "no key"), fault.BadRequest, fault.RanNo},
	}
	transaction := protocol.Transaction{Writes: []protocol.Write{{Key: "a"}}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.handle)
			defer server.Close()
			client, err := store.NewHTTPClient(server.URL, store.Options{MaxBodyBytes: testLimit})
			is.NoErr(err)
			_, err = client.Commit(t.Context(), transaction)
			is.Equal(fault.From(err).Kind, c.kind)
			is.Equal(fault.From(err).Ran, c.ran)
		})
	}
}

func TestUnsentWritesReportNotRun(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	client, err := store.NewHTTPClient(server.URL, store.Options{RequestsPerSecond: 0.001})
	is.NoErr(err)
	_, found, err := client.Read(t.Context(), "a")
	is.NoErr(err)
	is.True(!found)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	err = client.Put(ctx, "cok", "a", nil) // the limiter delays it past the deadline
	is.True(fault.Is(err, fault.RateLimited))

	server.Close()
	unlimited, err := store.NewHTTPClient(server.URL, store.Options{})
	is.NoErr(err)
	err = unlimited.Put(t.Context(), "cok", "a", nil)
	is.True(fault.Is(err, fault.StoreUnavailable))
	is.Equal(fault.From(err).Ran, fault.RanNo)
	_, err = store.NewHTTPClient("ftp://x", store.Options{})
	is.True(fault.Is(err, fault.InvalidSettings))
}
