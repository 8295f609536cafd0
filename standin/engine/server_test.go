package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/standin/engine/model"
	"github.com/fieldpond/fieldpond/standin/faultplan"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// process is one running engine and a client for it.
type process struct {
	is      *is.I
	server  *Server
	base    string
	stop    context.CancelFunc
	stopped chan error
}

func start(t *testing.T, change func(*Options)) *process {
	t.Helper()
	config := model.DefaultConfig()
	config.Name = "engine-1"
	config.DecodePerToken = time.Millisecond
	config.LoadLag, config.LoadDuration, config.EventDelay = 0, 0, 0
	config.Models = []protocol.LoadedModel{{Model: "m", Version: "1"}}
	options := Options{Model: config, Logger: &log.Logger{Handler: discard.New()}}
	if change != nil {
		change(&options)
	}
	started := &process{is: is.New(t), stopped: make(chan error, 1)}
	var err error
	started.server, err = New(options)
	started.is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	started.is.NoErr(err)
	started.base = "http://" + listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	started.stop = stop
	go func() { started.stopped <- started.server.Run(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		<-started.server.stopped
	})
	return started
}

func (p *process) request(prompt string, tokens int) protocol.GenerateRequest {
	namespace := prefix.Namespace{Tenant: "t1", Model: "m", Version: "1"}
	return protocol.GenerateRequest{
		RequestID: "r1", Attempt: 1, ExpectedIncarnation: p.server.incarnation.Load().id,
		Tenant: "t1", Model: "m", Version: "1", Salt: namespace.Salt(), Prompt: prompt, MaxTokens: tokens,
	}
}

func (p *process) post(path string, body any) *http.Response {
	p.is.Helper()
	content, err := json.Marshal(body)
	p.is.NoErr(err)
	response, err := http.Post(p.base+path, "application/json", bytes.NewReader(content))
	p.is.NoErr(err)
	return response
}

func (p *process) inject(kind faultplan.Kind, duration time.Duration, parameters faultplan.Parameters) {
	p.is.Helper()
	response := p.post("/rehearsal/faults", FaultRequest{Kind: kind, Duration: faultplan.Duration(duration), Parameters: parameters})
	p.is.Equal(response.StatusCode, http.StatusNoContent)
	_ = response.Body.Close()
}

// until polls a condition, bounded by the time limit of the test run.
func (p *process) until(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

// recorded reports whether the truth log has a record of the kind.
func (p *process) recorded(kind truth.Kind) bool {
	for _, record := range p.server.truth.Records() {
		if record.Kind == kind {
			return true
		}
	}
	return false
}

// readEvents reads stream events until the connection ends or limit is reached.
func readEvents(response *http.Response, limit int) []protocol.StreamEvent {
	var events []protocol.StreamEvent
	scanner := bufio.NewScanner(response.Body)
	for len(events) < limit && scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		var event protocol.StreamEvent
		if found && json.Unmarshal([]byte(data), &event) == nil {
			events = append(events, event)
		}
	}
	return events
}

const noLimit = 1 << 30

func textOf(events []protocol.StreamEvent) string {
	var text strings.Builder
	for _, event := range events {
		text.WriteString(event.Text)
	}
	return text.String()
}

func TestResumeAfterCuts(t *testing.T) {
	is := is.New(t)
	process := start(t, nil)
	process.inject(faultplan.Cut, 0, faultplan.Parameters{Events: 5})
	response := process.post("/v1/generate", process.request("the prompt", 23))
	events := readEvents(response, noLimit)
	_ = response.Body.Close()
	connections := 1
	for events[len(events)-1].Kind != protocol.EventEnd {
		stream := events[len(events)-1].Stream
		response, err := http.Get(process.base + "/v1/streams/" + string(stream) + "?from=" + strconv.Itoa(len(events)))
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		events = append(events, readEvents(response, noLimit)...)
		_ = response.Body.Close()
		connections++
	}
	is.Equal(connections, 5)
	for index, event := range events {
		is.Equal(event.Sequence, uint64(index))
	}
	is.Equal(textOf(events), model.ExpectedText("the prompt", 23))
}

func TestCrashDropsStreamsAndCache(t *testing.T) {
	is := is.New(t)
	process := start(t, nil)
	sent := process.request(strings.Repeat("long prompt ", 100), 500)
	response := process.post("/v1/generate", sent)
	events := readEvents(response, 3)
	process.inject(faultplan.Stall, 0, faultplan.Parameters{}) // it cannot end before the crash
	process.inject(faultplan.Crash, 200*time.Millisecond, faultplan.Parameters{})
	rest := readEvents(response, noLimit)
	is.True(len(rest) == 0 || rest[len(rest)-1].Kind != protocol.EventEnd)
	_ = response.Body.Close()
	is.True(process.recorded(truth.Lost))

	var report protocol.LoadReport
	process.until(func() bool {
		response, err := http.Get(process.base + "/v1/load")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return json.NewDecoder(response.Body).Decode(&report) == nil
	})
	is.True(report.Incarnation != sent.ExpectedIncarnation)
	is.Equal(report.CacheBlocks, 0)
	response, err := http.Get(process.base + "/v1/streams/" + string(events[0].Stream))
	is.NoErr(err)
	var refusal protocol.Refusal
	is.NoErr(json.NewDecoder(response.Body).Decode(&refusal))
	is.Equal(refusal.Kind, protocol.RefusalUnknownStream)
	response = process.post("/v1/generate", sent)
	is.NoErr(json.NewDecoder(response.Body).Decode(&refusal))
	is.Equal(refusal.Kind, protocol.RefusalMismatch) // the old incarnation is not served
	is.Equal(response.Header.Get(protocol.HeaderRan), "no")
}

func TestStopRefusesNewWorkAndFinishesStreams(t *testing.T) {
	is := is.New(t)
	process := start(t, nil)
	sent := process.request("the prompt", 300)
	response := process.post("/v1/generate", sent)
	events := readEvents(response, 2)
	process.inject(faultplan.Stall, 0, faultplan.Parameters{}) // it cannot end before the refusal
	process.stop()
	var refusal protocol.Refusal
	process.until(func() bool {
		late := process.post("/v1/generate", sent)
		defer func() { _ = late.Body.Close() }()
		return late.StatusCode == http.StatusServiceUnavailable && json.NewDecoder(late.Body).Decode(&refusal) == nil
	})
	is.Equal(refusal.Kind, protocol.RefusalDraining)
	clearing, err := http.NewRequest(http.MethodDelete, process.base+"/rehearsal/faults", nil)
	is.NoErr(err)
	_, err = http.DefaultClient.Do(clearing)
	is.NoErr(err)
	events = append(events, readEvents(response, noLimit)...)
	is.Equal(events[len(events)-1].Kind, protocol.EventEnd)
	is.NoErr(<-process.stopped)
}

func TestGenerationWithoutReaderIsCancelled(t *testing.T) {
	process := start(t, func(options *Options) { options.Grace = 50 * time.Millisecond })
	response := process.post("/v1/generate", process.request("the prompt", 8000))
	readEvents(response, 2)
	process.inject(faultplan.Stall, 0, faultplan.Parameters{}) // it cannot end by itself
	_ = response.Body.Close()
	process.until(func() bool { return process.recorded(truth.Cancelled) })
}

func TestLoadOrderFetchesWeights(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) == 1 || r.URL.Path != "/weights/v1/m/2" {
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}))
	defer store.Close()
	process := start(t, func(options *Options) { options.Weights = store.URL })
	order := protocol.Order{
		OrderID: "o1", Fence: 3, Kind: protocol.OrderLoad, Model: "m", Version: "2",
		ExpectedIncarnation: process.server.incarnation.Load().id,
	}
	response := process.post("/v1/orders", order)
	var result protocol.OrderResult
	is.NoErr(json.NewDecoder(response.Body).Decode(&result))
	is.Equal(result, protocol.OrderResult{OrderID: "o1", Fence: 3})
	process.until(func() bool { return process.recorded(truth.Loaded) })
	is.Equal(asked.Load(), int32(2))
}

func TestCacheEventStreamAndSnapshotAgree(t *testing.T) {
	is := is.New(t)
	process := start(t, nil)
	response := process.post("/v1/generate", process.request(strings.Repeat("x", 640), 1))
	readEvents(response, noLimit)
	var snapshot protocol.CacheSnapshot
	answer, err := http.Get(process.base + "/v1/cache/snapshot")
	is.NoErr(err)
	is.NoErr(json.NewDecoder(answer.Body).Decode(&snapshot))
	is.Equal(len(snapshot.Hashes), 10)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, process.base+"/v1/cache/events?after=0", nil)
	is.NoErr(err)
	stream, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	var batch protocol.CacheEventBatch
	scanner := bufio.NewScanner(stream.Body)
	for batch.Incarnation == "" && scanner.Scan() {
		if data, found := strings.CutPrefix(scanner.Text(), "data: "); found {
			is.NoErr(json.Unmarshal([]byte(data), &batch))
		}
	}
	is.Equal(batch.Incarnation, snapshot.Incarnation)
	is.Equal(batch.Events[0].Kind, protocol.CacheStored)
	is.Equal(len(batch.Events[0].Hashes), 10)
}

func TestDistorter(t *testing.T) {
	cases := []struct {
		name   string
		faults distortions
		wanted []uint64
		cut    bool
		lost   bool
	}{
		{"none", distortions{}, []uint64{0, 1, 2, 3, 4}, false, false},
		{"duplicate", distortions{duplicate: true}, []uint64{0, 1, 1, 2, 2, 3, 3, 4}, false, false},
		{"swap", distortions{swap: true}, []uint64{0, 2, 1, 3, 4}, false, false},
		{"lose end", distortions{loseEnd: true}, []uint64{0, 1, 2, 3}, false, true},
		{"cut", distortions{cutAfter: 2}, []uint64{0, 1}, true, false},
	}
	kinds := []protocol.StreamEventKind{
		protocol.EventStart, protocol.EventChunk, protocol.EventChunk, protocol.EventChunk, protocol.EventEnd,
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			distorted := &distorter{source: func() *distortions { return &test.faults }}
			var sequences []uint64
			var cut, lost bool
			for index := 0; index < len(kinds) && !cut && !lost; index++ {
				var out []protocol.StreamEvent
				out, cut, lost = distorted.transform(protocol.StreamEvent{Kind: kinds[index], Sequence: uint64(index)})
				for _, event := range out {
					sequences = append(sequences, event.Sequence)
				}
			}
			is.Equal(sequences, test.wanted)
			is.Equal(cut, test.cut)
			is.Equal(lost, test.lost)
		})
	}
}

func TestInvalidInputIsRefused(t *testing.T) {
	process := start(t, nil)
	cases := []struct{ method, path, body string }{
		{http.MethodPost, "/v1/generate", "{"},
		{http.MethodPost, "/v1/orders", `{"fence":"x"}`},
		{http.MethodPost, "/v1/cache/import", "blocks without a salt"},
		{http.MethodPost, "/rehearsal/faults", `{"kind":"slow","parameters":{"factor":0.5}}`},
		{http.MethodPost, "/rehearsal/faults", `{"kind":"crsh"}`},
		{http.MethodGet, "/v1/streams/s?from=-1", ""},
		{http.MethodGet, "/v1/cache/events?after=x", ""},
	}
	for _, test := range cases {
		t.Run(test.path, func(t *testing.T) {
			is := is.New(t)
			request, err := http.NewRequest(test.method, process.base+test.path, strings.NewReader(test.body))
			is.NoErr(err)
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			var refusal protocol.Refusal
			is.NoErr(json.NewDecoder(response.Body).Decode(&refusal))
			is.Equal(refusal.Kind, protocol.RefusalBadRequest)
			is.Equal(refusal.Incarnation, process.server.incarnation.Load().id)
			is.Equal(ident.Incarnation(response.Header.Get(protocol.HeaderIncarnation)), refusal.Incarnation)
		})
	}
}
