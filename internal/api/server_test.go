package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/resume"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeCatalog is a CatalogSource and a Catalog with keys "key-<tenant>".
type fakeCatalog struct{ missing bool }

func (c fakeCatalog) Current() (Catalog, bool) { return c, !c.missing }

func (fakeCatalog) Authenticate(key string) (ident.Tenant, bool) {
	name, found := strings.CutPrefix(key, "key-")
	return ident.Tenant(name), found
}

func (fakeCatalog) Tenant(name ident.Tenant) (fleet.Tenant, bool) {
	return fleet.Tenant{Name: name, Services: []ident.Service{"chat", "bay"}}, true
}

func (fakeCatalog) Zones(name ident.Tenant) map[ident.Zone]bool {
	return map[ident.Zone]bool{ident.Zone("zone-" + name): true}
}

func (fakeCatalog) Service(name ident.Service) (fleet.Service, bool) {
	services := map[ident.Service]fleet.Service{
		"chat":   {Name: "chat", Kind: fleet.ServiceModel, Model: "m", Classes: []ident.Class{"gate", "rulings"}},
		"secret": {Name: "secret", Kind: fleet.ServiceModel, Model: "m", Classes: []ident.Class{"gate"}},
		"bay": {Name: "bay", Kind: fleet.ServiceApplication, Classes: []ident.Class{"gate"}, Routes: []fleet.Route{
			{Method: "POST", Path: "/book"}, {Method: "GET", Path: "/slots", Retryable: true},
		}},
	}
	service, found := services[name]
	return service, found
}

func (fakeCatalog) Class(name ident.Class) (fleet.Class, bool) {
	return fleet.Class{Name: name, Priority: 3, MaxHold: time.Second}, true
}

func (fakeCatalog) Versions(ident.Model) []ident.ModelVersion { return []ident.ModelVersion{"v1"} }

func (fakeCatalog) Engine(name ident.Engine) (fleet.Engine, bool) {
	return fleet.Engine{Name: name, Address: "127.0.0.1:1", Zone: "zone-graz"}, true
}

// fakeRunner emits chunks, then completes or fails.
type fakeRunner struct {
	chunks         []string
	failure        error
	streamGone     bool
	job            *dispatch.Job
	resumed        *dispatch.ResumeJob
	applicationJob *dispatch.ApplicationJob
	answer         dispatch.Answer
}

func (r *fakeRunner) emit(sink dispatch.Sink, position dispatch.Position) (dispatch.Completion, error) {
	for _, text := range r.chunks {
		position.Next++
		position.EmittedBytes += len(text)
		if err := sink.Chunk(dispatch.Chunk{Text: text, Position: position}); err != nil {
			return dispatch.Completion{}, fault.Wrap(err, fault.StreamBroken, "caller gone").WithRan(fault.RanYes)
		}
	}
	if r.failure != nil {
		return dispatch.Completion{}, r.failure
	}
	return dispatch.Completion{FinishReason: "stop", Version: "v1", Usage: protocol.Usage{PromptTokens: 9, CachedTokens: 4, CompletionTokens: 2}}, nil
}

func (r *fakeRunner) Run(_ context.Context, job *dispatch.Job, sink dispatch.Sink) (dispatch.Completion, error) {
	r.job = job
	return r.emit(sink, dispatch.Position{Request: job.ID, Engine: "e"})
}

func (r *fakeRunner) Resume(_ context.Context, job dispatch.ResumeJob, sink dispatch.Sink) (dispatch.Completion, error) {
	r.resumed = &job
	if r.streamGone {
		return dispatch.Completion{}, fault.New(fault.StreamBroken, "gone").WithRan(fault.RanYes)
	}
	return r.emit(sink, job.Position)
}

func (r *fakeRunner) RunApplication(_ context.Context, job *dispatch.ApplicationJob) (dispatch.Answer, error) {
	r.applicationJob = job
	return r.answer, r.failure
}

func newTestServer(t *testing.T, runner Runner) *Server {
	sealer, err := resume.NewSealer([]byte("a cluster key for tests"))
	if err != nil {
		t.Fatal(err)
	}
	config := Config{Node: "n1", MaxBodyBytes: 2000, MaxPromptTokens: 100, MaxTokens: 64, DefaultMaxTokens: 16, BufferedChunks: 2}
	return NewServer(config, fakeCatalog{}, runner, sealer, func() State { return StateServing })
}

// sendRequest sends one request; headers are "Name: value" lines.
func sendRequest(server *Server, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer key-graz")
	for _, line := range headers {
		name, value, _ := strings.Cut(line, ": ")
		if name == "Authorization" {
			request.Header.Del(name)
		}
		request.Header.Add(name, value)
	}
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, request)
	return recorder
}

const streamBody = `{"model":"chat","stream":true,"temperature":0.2,"messages":[{"role":"system","content":"S"},{"role":"user","content":[{"type":"text","text":"U"}]}]}`

// event is one server-sent event.
type event struct{ name, id, data string }

func events(body string) []event {
	var list []event
	for block := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		var next event
		for line := range strings.SplitSeq(block, "\n") {
			field, value, _ := strings.Cut(line, ": ")
			switch field {
			case "event":
				next.name = value
			case "id":
				next.id = value
			case "data":
				next.data = value
			}
		}
		list = append(list, next)
	}
	return list
}

func decode[T any](t *testing.T, text string) T {
	var value T
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return value
}

func TestStreamedChatResumesFromEveryEvent(t *testing.T) {
	is := is.New(t)
	runner := &fakeRunner{chunks: []string{"", "Hello ", "driver"}}
	server := newTestServer(t, runner)
	answer := sendRequest(server, "POST", "/v1/chat/completions", streamBody, "X-Class: rulings")
	is.Equal(answer.Code, http.StatusOK)
	is.Equal(answer.Header().Get("Content-Type"), "text/event-stream")
	is.Equal(runner.job.Prompt, "<|system|>\nS\n<|user|>\nU\n<|assistant|>\n")
	is.Equal(runner.job.Class, ident.Class("rulings"))
	is.Equal(runner.job.MaxTokens, 16)
	list := events(answer.Body.String())
	is.Equal(len(list), 5)
	is.Equal(list[4].data, "[DONE]")
	var text string
	for _, next := range list[:3] {
		text += *decode[Answer](t, next.data).Choices[0].Delta.Content
	}
	is.Equal(text, "Hello driver")
	last := decode[Answer](t, list[3].data)
	is.Equal(*last.Choices[0].FinishReason, "stop")
	is.Equal(*last.Usage, Usage{PromptTokens: 9, CompletionTokens: 2, TotalTokens: 11, PromptTokensDetails: PromptTokensDetails{CachedTokens: 4}})

	// Another router resumes the stream, with GET or with the same POST.
	for index, next := range list[1:4] {
		for _, method := range []string{"GET", "POST"} {
			path := map[string]string{"GET": "/v1/streams", "POST": "/v1/chat/completions"}[method]
			other := &fakeRunner{chunks: []string{"rest"}}
			router := newTestServer(t, other)
			var keptBy ident.Node
			router.config.Node = "n2"
			router.config.KeepStream = func(node ident.Node, _ ident.Stream) { keptBy = node }
			answer := sendRequest(router, method, path, streamBody, "Last-Event-ID: "+next.id)
			is.Equal(keptBy, ident.Node("n1")) // must not cancel the resumed stream
			is.Equal(answer.Code, http.StatusOK)
			is.Equal(other.resumed.Position.Next, uint64(min(index+2, 3)))
			is.Equal(other.resumed.Address, "127.0.0.1:1")
			is.True(other.job == nil)
			is.Equal(decode[Answer](t, events(answer.Body.String())[0].data).ID, last.ID)
		}
	}
	// The tenant may no longer use the zone of the engine.
	movedToken, err := server.tokens.Seal(resume.Token{Tenant: "linz", Service: "chat"})
	is.NoErr(err)
	outside := &fakeRunner{}
	refused := sendRequest(newTestServer(t, outside), "GET", "/v1/streams", "", "Last-Event-ID: "+movedToken, "Authorization: Bearer key-linz")
	is.Equal(decode[ErrorBody](t, refused.Body.String()).Error.Kind, fault.StreamBroken)
	is.True(outside.resumed == nil)
	foreign := sendRequest(server, "GET", "/v1/streams", "", "Last-Event-ID: "+list[1].id, "Authorization: Bearer key-linz")
	is.Equal(decode[ErrorBody](t, foreign.Body.String()).Error.Kind, fault.InvalidToken)
}

// A lost stream may be generated again only before the caller has received text.
func TestLostStreamRunsAgainOnlyWithoutText(t *testing.T) {
	is := is.New(t)
	first := sendRequest(newTestServer(t, &fakeRunner{chunks: []string{"", "Hello"}}), "POST", "/v1/chat/completions", streamBody)
	for index, next := range events(first.Body.String())[:2] {
		runner := &fakeRunner{chunks: []string{"new"}, streamGone: true}
		answer := sendRequest(newTestServer(t, runner), "POST", "/v1/chat/completions", streamBody, "Last-Event-ID: "+next.id)
		is.Equal(runner.job != nil, index == 0)
		if index > 0 {
			is.Equal(answer.Code, fault.StreamBroken.Status())
			is.Equal(decode[ErrorBody](t, answer.Body.String()).Error.Ran, fault.RanYes)
		}
	}
}

func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	is := is.New(t)
	broken := fault.New(fault.StreamBroken, "lost").WithRan(fault.RanYes).WithRetryAfter(1500 * time.Millisecond)
	answer := sendRequest(newTestServer(t, &fakeRunner{chunks: []string{"", "Hel"}, failure: broken}), "POST", "/v1/chat/completions", streamBody)
	list := events(answer.Body.String())
	is.Equal(len(list), 3)
	is.Equal(list[2].name, "error")
	is.Equal(decode[ErrorBody](t, list[2].data).Error, ErrorDetail{
		Kind: fault.StreamBroken, Message: "lost", Remedy: fault.StreamBroken.Remedy(), Ran: fault.RanYes, RetryAfterMillis: 1500,
	})
	is.True(!strings.Contains(answer.Body.String(), "[DONE]"))

	// Before anything is written the fault sets the HTTP status.
	full := fault.New(fault.Overloaded, "full").WithRetryAfter(1500 * time.Millisecond)
	answer = sendRequest(newTestServer(t, &fakeRunner{failure: full}), "POST", "/v1/chat/completions", streamBody)
	is.Equal(answer.Code, http.StatusTooManyRequests)
	is.Equal(answer.Header().Get("Retry-After"), "2")
}

func TestWholeAnswers(t *testing.T) {
	is := is.New(t)
	server := newTestServer(t, &fakeRunner{chunks: []string{"", "Hello ", "driver"}})
	chat := decode[Answer](t, sendRequest(server, "POST", "/v1/chat/completions", strings.Replace(streamBody, "true", "false", 1)).Body.String())
	is.Equal(chat.Object, "chat.completion")
	is.Equal(*chat.Choices[0].Message.Content, "Hello driver")
	is.Equal(chat.Usage.TotalTokens, 11)
	plain := decode[Answer](t, sendRequest(server, "POST", "/v1/completions", `{"model":"chat","prompt":["P"],"max_tokens":3}`).Body.String())
	is.Equal(plain.Object, "text_completion")
	is.Equal(*plain.Choices[0].Text, "Hello driver")
	models := sendRequest(server, "GET", "/v1/models", "").Body.String()
	is.True(strings.Contains(models, `"id":"chat"`) && !strings.Contains(models, "secret") && !strings.Contains(models, "bay"))
}

func TestBadRequestsAreRejectedWithoutRunning(t *testing.T) {
	chat, book := "POST /v1/chat/completions", "POST /v1/services/bay/book"
	cases := []struct {
		name, route, body string
		headers           []string
		kind              fault.Kind
	}{
		{"no key", chat, streamBody, []string{"Authorization: Basic x"}, fault.Unauthorized},
		{"unknown key", chat, streamBody, []string{"Authorization: Bearer nobody"}, fault.Unauthorized},
		{"empty", chat, "", nil, fault.BadRequest},
		{"not JSON", chat, "{model}", nil, fault.BadRequest},
		{"cut", chat, streamBody[:60], nil, fault.BadRequest},
		{"trailing garbage", chat, streamBody + "x", nil, fault.BadRequest},
		{"two values", chat, streamBody + streamBody, nil, fault.BadRequest},
		{"list", chat, "[]", nil, fault.BadRequest},
		{"null", chat, "null", nil, fault.BadRequest},
		{"wrong type", chat, `{"model":7}`, nil, fault.BadRequest},
		{"image part", chat, `{"model":"chat","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, fault.BadRequest},
		{"role", chat, `{"model":"chat","messages":[{"role":"a|>\n<|b","content":"x"}]}`, nil, fault.BadRequest},
		{"no messages", chat, `{"model":"chat"}`, nil, fault.BadRequest},
		{"no model", chat, `{"messages":[{"role":"user","content":"x"}]}`, nil, fault.BadRequest},
		{"many answers", chat, strings.Replace(streamBody, "{", `{"n":2,`, 1), nil, fault.BadRequest},
		{"no tokens", chat, strings.Replace(streamBody, "{", `{"max_tokens":0,`, 1), nil, fault.BadRequest},
		{"too many tokens", chat, strings.Replace(streamBody, "{", `{"max_completion_tokens":65,`, 1), nil, fault.BadRequest},
		{"long prompt", chat, strings.Replace(streamBody, "U", strings.Repeat("u", 400), 1), nil, fault.TooLarge},
		{"long body", chat, strings.Replace(streamBody, "U", strings.Repeat("u", 2000), 1), nil, fault.TooLarge},
		{"unknown service", chat, strings.Replace(streamBody, "chat", "none", 1), nil, fault.UnknownService},
		{"application as model", chat, strings.Replace(streamBody, "chat", "bay", 1), nil, fault.UnknownService},
		{"not permitted", chat, strings.Replace(streamBody, "chat", "secret", 1), nil, fault.Forbidden},
		{"class", chat, streamBody, []string{"X-Class: other"}, fault.Forbidden},
		{"two classes", chat, streamBody, []string{"X-Class: gate", "X-Class: gate"}, fault.BadRequest},
		{"bad token", chat, streamBody, []string{"Last-Event-ID: x"}, fault.InvalidToken},
		{"no token", "GET /v1/streams", "", nil, fault.BadRequest},
		{"path", "GET /v2/none", "", nil, fault.UnknownRoute},
		{"method", "DELETE /v1/models", "", nil, fault.UnknownRoute},
		{"no idempotency key", book, "x", nil, fault.MissingIdempotencyKey},
		{"two idempotency keys", book, "x", []string{"Idempotency-Key: a", "Idempotency-Key: a"}, fault.BadRequest},
		{"long idempotency key", book, "x", []string{"Idempotency-Key: " + strings.Repeat("k", 256)}, fault.BadRequest},
		{"odd idempotency key", book, "x", []string{"Idempotency-Key: a b"}, fault.BadRequest},
		{"route", "POST /v1/services/bay/none", "x", nil, fault.UnknownRoute},
		{"route method", "DELETE /v1/services/bay/book", "x", nil, fault.UnknownRoute},
		{"escaped route", "POST /v1/services/bay/%62ook%2F", "x", nil, fault.UnknownRoute},
		{"no route", "POST /v1/services/bay", "x", nil, fault.UnknownRoute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			runner := &fakeRunner{}
			method, path, _ := strings.Cut(c.route, " ")
			answer := sendRequest(newTestServer(t, runner), method, path, c.body, c.headers...)
			detail := decode[ErrorBody](t, answer.Body.String()).Error
			is.Equal(detail.Kind, c.kind)
			is.Equal(answer.Code, c.kind.Status())
			is.Equal(detail.Ran, fault.RanNo)
			is.True(detail.Message != "" && detail.Remedy != "")
			is.True(runner.job == nil && runner.applicationJob == nil)
		})
	}
}

func TestApplicationAnswersPassThrough(t *testing.T) {
	is := is.New(t)
	runner := &fakeRunner{answer: dispatch.Answer{Status: 409, ContentType: "text/x", Body: []byte("taken"), Replayed: true}}
	answer := sendRequest(newTestServer(t, runner), "POST", "/v1/services/bay/book?lot=7", "bay 7", "Idempotency-Key: k1", "Content-Type: text/y")
	is.Equal(answer.Code, 409)
	is.Equal(answer.Body.String(), "taken")
	is.Equal(answer.Header().Get("Content-Type"), "text/x")
	is.Equal(answer.Header().Get("Idempotency-Replayed"), "true")
	job := runner.applicationJob
	is.Equal([]string{job.IdempotencyKey, job.Path, job.RawQuery, job.ContentType, string(job.Body)}, []string{"k1", "/book", "lot=7", "text/y", "bay 7"})
	is.True(!job.Retryable)
}

func TestReadinessByState(t *testing.T) {
	for state, status := range map[State]int{StateStarting: 503, StateServing: 200, StateShuttingDown: 503} {
		is := is.New(t)
		server := newTestServer(t, &fakeRunner{})
		server.state = func() State { return state }
		server.catalogs = fakeCatalog{missing: state == StateStarting}
		answer := sendRequest(server, "GET", "/readyz", "")
		is.Equal(answer.Code, status)
		is.Equal(decode[Health](t, answer.Body.String()), Health{State: state, Ready: state == StateServing})
		is.Equal(sendRequest(server, "GET", "/healthz", "").Code, http.StatusOK)
		models := sendRequest(server, "GET", "/v1/models", "")
		is.Equal(models.Code == http.StatusServiceUnavailable, state == StateStarting)
		is.Equal(models.Header().Get("Retry-After") != "", state == StateStarting)
	}
}

// blockedWriter is a caller that never reads: every write exceeds its deadline.
type blockedWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (w *blockedWriter) SetWriteDeadline(deadline time.Time) error { w.deadline = deadline; return nil }

func (w *blockedWriter) Write([]byte) (int, error) {
	time.Sleep(time.Until(w.deadline))
	return 0, os.ErrDeadlineExceeded
}

func TestSlowReaderIsCutOffAfterWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newTestServer(t, &fakeRunner{chunks: strings.Split(strings.Repeat("x ", 50), " ")})
		request := httptest.NewRequest("POST", "/v1/chat/completions", io.NopCloser(strings.NewReader(streamBody)))
		request.Header.Set("Authorization", "Bearer key-graz")
		began := time.Now()
		server.Handler().ServeHTTP(&blockedWriter{ResponseRecorder: httptest.NewRecorder()}, request)
		is.Equal(time.Since(began), defaultWriteTimeout)
	})
}

// The deadlines of a stream must not affect the next request on its connection,
// and headers are bounded.
func TestServerOverTCP(t *testing.T) {
	is := is.New(t)
	server := newTestServer(t, &fakeRunner{chunks: []string{"", "Hello"}})
	httpServer := httptest.NewUnstartedServer(nil)
	httpServer.Config = server.NewHTTPServer()
	httpServer.Start()
	defer httpServer.Close()
	for _, extra := range []string{"", "", strings.Repeat("x", 2*defaultMaxHeaderBytes)} {
		request, err := http.NewRequestWithContext(t.Context(), "POST", httpServer.URL+"/v1/chat/completions", strings.NewReader(streamBody))
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer key-graz")
		request.Header.Set("X-Extra", extra)
		answer, err := httpServer.Client().Do(request)
		is.NoErr(err)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		if extra != "" {
			is.Equal(answer.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
			continue
		}
		is.True(strings.HasSuffix(string(body), "data: [DONE]\n\n"))
	}
}

func TestRejectNewRequests(t *testing.T) {
	is := is.New(t)
	runner := &fakeRunner{chunks: []string{"a"}}
	server := newTestServer(t, runner)
	const body = `{"model":"chat","prompt":"hi"}`
	is.Equal(sendRequest(server, http.MethodPost, "/v1/completions", body).Code, http.StatusOK)

	runner.job = nil
	server.RejectNewRequests()
	answer := sendRequest(server, http.MethodPost, "/v1/completions", body)
	rejected := decode[ErrorBody](t, answer.Body.String())
	is.Equal(answer.Code, http.StatusServiceUnavailable)
	is.Equal(answer.Header().Get("Retry-After"), "1")
	is.Equal(rejected.Error.Kind, fault.ShuttingDown)
	is.Equal(rejected.Error.Ran, fault.RanNo)
	is.True(runner.job == nil) // nothing ran
	is.Equal(sendRequest(server, http.MethodGet, "/healthz", "").Code, http.StatusOK)
}
