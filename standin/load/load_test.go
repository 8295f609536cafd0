package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/standin/workload"
)

// step is the fake router's behaviour in one exchange.
type step string

const (
	answer         step = "answer"
	breakEarly     step = "break before the response"
	breakMiddle    step = "break in the middle"
	breakAtEnd     step = "break before the end marker"
	noFinish       step = "end marker without a finish reason"
	wrongText      step = "wrong text"
	errorEvent     step = "error event"
	shuttingDown   step = "503 shutting down"
	overloaded     step = "429 overloaded"
	badRequest     step = "400"
	unknownOutcome step = "502 outcome unknown"
	invalidToken   step = "400 on resume"
)

var words = []string{"one ", "two ", "three ", "four"}

// fakeRouter follows its script, then answers every request.
type fakeRouter struct {
	mutex  sync.Mutex
	script []step
	keys   []string
}

func (f *fakeRouter) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	f.mutex.Lock()
	next := answer
	if len(f.script) > 0 {
		next, f.script = f.script[0], f.script[1:]
	}
	f.keys = append(f.keys, request.Header.Get("Idempotency-Key"))
	f.mutex.Unlock()
	switch next {
	case shuttingDown:
		refuse(writer, 503, "leaving", "no", 60000)
	case overloaded:
		refuse(writer, 429, "overloaded", "no", 1)
	case badRequest, invalidToken:
		refuse(writer, 400, "bad_request", "no", 0)
	case unknownOutcome:
		refuse(writer, 502, "outcome_unknown", "unknown", 1)
	case breakEarly:
		panic(http.ErrAbortHandler)
	default:
		if strings.HasPrefix(request.URL.Path, "/v1/services/") {
			fmt.Fprint(writer, `{}`)
			return
		}
		writeStream(writer, request, next)
	}
}

func refuse(writer http.ResponseWriter, status int, kind, ran string, after int) {
	writer.WriteHeader(status)
	fmt.Fprintf(writer, `{"error":{"kind":%q,"message":"m","remedy":"r","ran":%q,"retry_after_millis":%d}}`, kind, ran, after)
}

// writeStream writes the words after Last-Event-ID.
func writeStream(writer http.ResponseWriter, request *http.Request, mode step) {
	from := 0
	if token := request.Header.Get("Last-Event-ID"); token != "" {
		from, _ = strconv.Atoi(token)
	}
	for index := from; index < len(words); index++ {
		if index == 2 && mode == breakMiddle {
			// An incomplete event must be discarded.
			fmt.Fprintf(writer, "id: 9\ndata: {\"choices\":[{\"delta\":{\"content\":\"half")
			abort(writer)
		}
		if index == 2 && mode == errorEvent {
			fmt.Fprint(writer, "event: error\ndata: {\"error\":{\"kind\":\"stream_broken\",\"ran\":\"yes\"}}\n\n")
			return
		}
		text := words[index]
		if mode == wrongText {
			text = "other "
		}
		fmt.Fprintf(writer, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", index+1, text)
	}
	if mode != noFinish {
		fmt.Fprintf(writer, "id: %d\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"+
			"\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":4,\"prompt_tokens_details\":{\"cached_tokens\":6}}}\n\n", len(words))
	}
	if mode == breakAtEnd {
		abort(writer)
	}
	fmt.Fprint(writer, "data: [DONE]\n\n")
}

func abort(writer http.ResponseWriter) {
	if flusher, canFlush := writer.(http.Flusher); canFlush {
		flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}

func testConfig(targets ...string) *Config {
	config := &Config{
		Targets: targets, MinWait: time.Millisecond, MaxAttempts: 4,
		ExpectedText: func(string, int) string { return strings.Join(words, "") },
	}
	config.fillDefaults()
	return config
}

func TestCallerRetriesAndResumes(t *testing.T) {
	model := workload.Arrival{Tenant: "t", Service: "s", Messages: []workload.Message{{Role: "user", Content: "c"}}}
	booking := workload.Arrival{Tenant: "t", Service: "a", Application: true, Method: "POST", Path: "/bookings", Body: "{}", IdempotencyKey: "k"}
	cases := []struct {
		name    string
		arrival workload.Arrival
		script  []step
		want    Result
	}{
		{"complete", model, nil, Result{Outcome: OutcomeAnswered}},
		{"shutting-down router skipped", model, []step{shuttingDown}, Result{Outcome: OutcomeAnswered, Retries: 1}},
		{"overloaded, later answered", model, []step{overloaded, overloaded}, Result{Outcome: OutcomeAnswered, Retries: 2}},
		{"never admitted", model, []step{overloaded, overloaded, overloaded, overloaded}, Result{Outcome: OutcomeRefused, Retries: 3}},
		{"not retried", model, []step{badRequest}, Result{Outcome: OutcomeRefused}},
		{"connection failed", model, []step{breakEarly}, Result{Outcome: OutcomeAnswered, Retries: 1, Breaks: 1}},
		{"resumed", model, []step{breakMiddle}, Result{Outcome: OutcomeAnswered, Resumes: 1, Breaks: 1}},
		{"resumed after a shutting-down router", model, []step{breakMiddle, shuttingDown}, Result{Outcome: OutcomeAnswered, Resumes: 2, Breaks: 1}},
		{"end marker resumed", model, []step{breakAtEnd}, Result{Outcome: OutcomeAnswered, Resumes: 1, Breaks: 1}},
		{"resume refused, restarted", model, []step{breakMiddle, invalidToken}, Result{Outcome: OutcomeAnswered, Resumes: 1, Retries: 1, Restarts: 1, Breaks: 1}},
		{"error event, restarted", model, []step{errorEvent}, Result{Outcome: OutcomeAnswered, Retries: 1, Restarts: 1}},
		{"never complete", model, []step{errorEvent, errorEvent, errorEvent, errorEvent}, Result{Outcome: OutcomeLost, Retries: 3, Restarts: 4}},
		{"no finish reason", model, []step{noFinish}, Result{Outcome: OutcomeCorrupt}},
		{"wrong text", model, []step{wrongText}, Result{Outcome: OutcomeCorrupt}},
		{"booking retried with its key", booking, []step{breakEarly, unknownOutcome}, Result{Outcome: OutcomeAnswered, Retries: 2, Breaks: 1}},
		{"booking with unknown outcome", booking, []step{unknownOutcome, unknownOutcome, unknownOutcome, unknownOutcome}, Result{Outcome: OutcomeUnknown, Retries: 3}},
		{"booking lost", booking, []step{overloaded, breakEarly, breakEarly, breakEarly}, Result{Outcome: OutcomeLost, Retries: 3, Breaks: 3}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			router := &fakeRouter{script: test.script}
			one, two := httptest.NewServer(router), httptest.NewServer(router)
			defer one.Close()
			defer two.Close()
			caller := &caller{config: testConfig(one.URL, two.URL), client: one.Client()}
			got := caller.call(context.Background(), test.arrival, time.Now())
			is.Equal(got.Outcome, test.want.Outcome)
			is.Equal([]int{got.Retries, got.Resumes, got.Restarts, got.Breaks},
				[]int{test.want.Retries, test.want.Resumes, test.want.Restarts, test.want.Breaks}) // retries, resumes, restarts, breaks
			for _, key := range router.receivedKeys() {
				is.Equal(key, test.arrival.IdempotencyKey)
			}
		})
	}
}

func TestRunReports(t *testing.T) {
	is := is.New(t)
	spec, err := workload.Parse([]byte("{name: w, rate: 2000, arrivals: uniform, duration: 20ms, vocabulary: parking, tenants: [{name: a, weight: 1}], " +
		"classes: [{name: c, service: s, weight: 1, tailTokens: 1, minTokens: 1, maxTokens: 1}], calls: [{service: b, method: POST, path: /b, weight: 1}]}"))
	is.NoErr(err)
	server := httptest.NewServer(&fakeRouter{script: []step{breakEarly, breakEarly}})
	defer server.Close()
	config := *testConfig(server.URL)
	config.Spec = spec
	config.ReadWaste = func(context.Context) (Waste, error) {
		return Waste{PromptTokens: 10, RecomputedTokens: 2, DiscardedTokens: 3}, nil
	}
	report, err := Run(context.Background(), config)
	is.NoErr(err)
	is.Equal(report.Sent, 39)
	is.Equal(report.Outcomes, map[Outcome]int{OutcomeAnswered: 39})
	is.Equal(report.HitRate, 0.6)
	is.Equal(report.Waste.Share, 0.5)
	is.Equal(report.Breaks, 2)
	is.Equal(len(report.Kinds), 2)
	is.NoErr(report.Check(0))
	report.Outcomes[OutcomeLost] = 2
	is.NoErr(report.Check(2))
	is.True(report.Check(1) != nil)
	var table, document bytes.Buffer
	is.NoErr(report.WriteTable(&table))
	is.True(strings.Contains(table.String(), "hit rate 0.6000"))
	is.NoErr(report.WriteJSON(&document))
	is.True(json.Valid(document.Bytes()))
}

// receivedKeys returns the idempotency key of every exchange so far.
func (f *fakeRouter) receivedKeys() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.keys...)
}
