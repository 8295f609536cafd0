package engine_test

import (
	"context"
	"fmt"
	"io"
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
)

const testLimit = 512

// startBackend returns the address of a server with the given handler.
func startBackend(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newClient() *engine.HTTPClient {
	return engine.NewHTTPClient(engine.Options{MaxEventBytes: testLimit, MaxAnswerBytes: testLimit})
}

func abortResponse(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respond(status int, header, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(protocol.HeaderRan, header)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

const fullRefusal = `{"kind":"full","ran":"no","retry_after_millis":250}`

func TestCallErrorContract(t *testing.T) {
	cases := []struct {
		name   string
		handle http.HandlerFunc
		kind   fault.Kind // empty: an answer
		ran    fault.Ran
	}{
		{"answer", respond(200, "", "ok"), "", ""},
		{"error status without refusal is an answer", respond(503, "", "down"), "", ""},
		{"explicit refusal", respond(503, "no", fullRefusal), fault.BackendRefused, fault.RanNo},
		{"stale fence", respond(409, "no", `{"kind":"stale_fence","ran":"no"}`), fault.StaleFence, fault.RanNo},
		{"refusal only in the header", respond(503, "no", "{"), fault.BackendLost, fault.RanUnknown},
		{"refusal contradicted by its body", respond(429, "no", `{"kind":"full","ran":"yes"}`), fault.BackendLost, fault.RanUnknown},
		{"refusal with a success status", respond(200, "no", fullRefusal), fault.BackendLost, fault.RanUnknown},
		{"cut without an answer", abortResponse, fault.BackendLost, fault.RanUnknown},
		{"cut inside the answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
		}, fault.BackendLost, fault.RanUnknown},
		{"oversize answer", respond(200, "", strings.Repeat("x", testLimit+1)), fault.BackendLost, fault.RanUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			request := engine.ApplicationRequest{Method: "POST", Service: "booking", Path: "/a b", IdempotencyKey: "k", Body: []byte("x")}
			_, err := newClient().Call(t.Context(), startBackend(t, c.handle), request)
			if c.kind == "" {
				is.NoErr(err)
				return
			}
			is.Equal(fault.From(err).Kind, c.kind)
			is.Equal(fault.From(err).Ran, c.ran)
		})
	}
}

func TestCallSendsTheWholeRequest(t *testing.T) {
	is := is.New(t)
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(protocol.HeaderIncarnation, "incarnation-1")
		_, _ = fmt.Fprint(w, r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Get(protocol.HeaderTenant),
			r.Header.Get(protocol.HeaderIdempotencyKey), r.Header.Get(protocol.HeaderAttempt), string(body))
	})
	response, err := newClient().Call(t.Context(), address, engine.ApplicationRequest{
		Method: "DELETE", Service: "booking", Path: "/a b/c", RawQuery: "q=1", Tenant: "haul", IdempotencyKey: "k-1", Attempt: 2,
	})
	is.NoErr(err)
	is.Equal(string(response.Body), "DELETE/v1/services/booking/a b/cq=1haulk-12")
	is.Equal(string(response.Incarnation), "incarnation-1")
}

func TestRefusalKeepsCauseAndRetryAfter(t *testing.T) {
	is := is.New(t)
	_, err := newClient().Generate(t.Context(), startBackend(t, respond(429, "no", fullRefusal)), protocol.GenerateRequest{})
	var refused *engine.RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Refusal.Kind, protocol.RefusalFull)
	is.Equal(fault.From(err).RetryAfter, 250*time.Millisecond)
}

const (
	startLine = `data: {"kind":"start","sequence":0}` + "\n\n"
	chunkLine = `data: {"kind":"chunk","sequence":1,"text":"a"}` + "\n\n"
	endLine   = `data: {"kind":"end","sequence":2}` + "\n\n"
)

func TestGenerationStreams(t *testing.T) {
	cases := []struct {
		name, stream string
		events       int
		ran          fault.Ran // empty: the stream is whole
	}{
		{"whole", startLine + chunkLine + endLine, 3, ""},
		{"nothing after the end is read", startLine + endLine + chunkLine, 2, ""},
		{"no end event", startLine + chunkLine, 2, fault.RanYes},
		{"no chunk", startLine, 1, fault.RanUnknown},
		{"empty", "", 0, fault.RanUnknown},
		{"cut inside an event", startLine + chunkLine[:20], 1, fault.RanUnknown},
		{"malformed event", startLine + "data: {\n\n", 1, fault.RanUnknown},
		{"oversize event", startLine + "data: " + strings.Repeat("x", testLimit) + "\n\n", 1, fault.RanUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := startBackend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.stream) })
			stream, err := newClient().Generate(t.Context(), address, protocol.GenerateRequest{})
			events := 0
			for err == nil {
				if _, err = stream.Next(); err == nil {
					events++
				}
			}
			is.Equal(events, c.events)
			if c.ran == "" {
				is.Equal(err, io.EOF)
				return
			}
			is.True(fault.Is(err, fault.BackendLost))
			is.Equal(fault.From(err).Ran, c.ran)
		})
	}
}

func TestUnreachableOrCancelledIsNotRun(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(abortResponse))
	address := strings.TrimPrefix(server.URL, "http://")
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := newClient().Generate(cancelled, address, protocol.GenerateRequest{})
	is.Equal(fault.From(err).Ran, fault.RanNo)
	server.Close()
	_, err = newClient().Generate(t.Context(), address, protocol.GenerateRequest{})
	is.Equal(fault.From(err).Ran, fault.RanNo)
	is.True(fault.Is(err, fault.BackendLost))
}

// Guards against Next blocking after another goroutine closed the stream.
func TestCloseUnblocksNext(t *testing.T) {
	is := is.New(t)
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, startLine)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	stream, err := newClient().Generate(t.Context(), address, protocol.GenerateRequest{})
	is.NoErr(err)
	_, err = stream.Next()
	is.NoErr(err)
	go stream.Close()
	_, err = stream.Next()
	is.True(fault.Is(err, fault.BackendLost))
}

func TestCancelOfUnknownStreamIsNoError(t *testing.T) {
	is := is.New(t)
	unknown := startBackend(t, respond(409, "no", `{"kind":"unknown_stream","ran":"no"}`))
	is.NoErr(newClient().Cancel(t.Context(), unknown, "s-1"))
	is.True(newClient().Cancel(t.Context(), startBackend(t, respond(500, "", "")), "s-1") != nil)
}
