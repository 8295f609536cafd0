package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that an engine has begun to work on.
type run struct {
	at                             time.Time
	engine, id, tenant, salt, path string
}

// engine is a small stand-in of a server of the platform: an engine if it has a model, else an application.
type engine struct {
	id, service, model, address string
	world                       *world
	// listed is the address in the engine's row, if that is not its own.
	listed string
	// work is how long a request takes before its answer begins.
	work time.Duration
	// events is the number of events of a stream, gap the time between two.
	events int
	gap    time.Duration

	mu       sync.Mutex
	beats    int
	version  int
	orders   int
	fence    uint64
	draining bool
	stopped  chan struct{}
}

// newEngine starts a server and lists it in the store.
func newEngine(w *world, id, service, model string) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, model: model, address: listener.Addr().String(), world: w, version: 1,
		work: 20 * time.Millisecond, events: 10, gap: 20 * time.Millisecond, stopped: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("POST /-/order", e.order)
	mux.HandleFunc("GET /health", e.health)
	mux.HandleFunc("/", e.serve)
	go func() { _ = http.Serve(listener, mux) }()
	if w.relayed {
		before, err := newRelay(w, e.address)
		if err != nil {
			return nil, err
		}
		w.relays = append(w.relays, before)
		e.listed = before.address()
	}
	w.engines = append(w.engines, e)
	e.beat()
	go e.keepBeating()
	return e, nil
}

func (e *engine) keepBeating() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.beat()
		case <-e.stopped:
			return
		}
	}
}

// models returns what the engine says of its models.
func (e *engine) models() []map[string]any {
	if e.model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": e.model, "version": e.version, "adapters": []any{}}}
}

// beat writes the engine's row.
func (e *engine) beat() {
	e.mu.Lock()
	e.beats++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	row := map[string]any{
		"service": e.service, "address": cmp.Or(e.listed, e.address), "zone": "east", "version": "v1", "slots": 64, "state": state,
		"coldRemainingMs": 0, "stage": "unified", "models": e.models(), "callSeq": e.beats,
	}
	e.mu.Unlock()
	e.world.store.put("servers", e.id, row)
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "unified", "models": e.models(), "busy": false, "callSeq": e.orders, "queued": 0, "active": 0,
		"kvUsed": 0, "kvTotal": 100000, "handles": 0,
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model    string `json:"model"`
		Version  int    `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected *int   `json:"expectedRev"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.world.note("order engine=%s holder=%s fence=%d version=%d", e.id, body.Holder, body.Fence, body.Version)
	switch {
	case body.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case body.Expected != nil && *body.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence, e.version = body.Fence, body.Version
	e.orders++
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Instance-Id", e.id)
}

// serve runs a request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if wanted := r.Header.Get("Expect-Instance"); wanted != "" && wanted != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if wanted := r.Header.Get("Expect-Version"); wanted != "" && wanted != strconv.Itoa(e.version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.soundPrompt(r) {
		w.Header().Set("Response-Seal", "seal-"+e.id)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.world.ran(run{at: time.Now(), engine: e.id, id: id, tenant: r.Header.Get("Tenant"), salt: r.Header.Get("Cache-Salt"), path: r.URL.Path})
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Response-Seal", "seal-"+e.id)
	if e.model == "" {
		_, _ = fmt.Fprintf(w, "answer of %s to %s\n", e.id, id)
		return
	}
	w.Header().Set("Weight-Versions", strconv.Itoa(e.version))
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for number := first + 1; number <= e.events; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", number, number, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(e.gap)
	}
}

// soundPrompt reports whether the parts of a prompt add up to the tokens that the client names.
func (e *engine) soundPrompt(r *http.Request) bool {
	if e.model == "" {
		return true
	}
	total := 0
	for part := range strings.SplitSeq(r.Header.Get("Prompt-Prefix"), ",") {
		_, count, _ := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil {
			return false
		}
		total += tokens
	}
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	return prompt == strconv.Itoa(total)
}
