// Command 1 shows what a client gets when an answer without a length or chunks comes through another
// router and that router is killed: see claim.txt.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/review/harness"
)

const (
	// The stream and the booking last longer than it takes to kill a process.
	events       = 12
	eventPause   = 80 * time.Millisecond
	bookingBytes = 800
	bookingPause = 800 * time.Millisecond
	firstHalf    = bookingBytes / 2
	killAfter    = 400 * time.Millisecond
	readyWithin  = 15 * time.Second
	// settleTime is the time in which routers learn of each other.
	settleTime  = 6 * time.Second
	heartbeat   = 1200 * time.Millisecond
	requestTime = 10 * time.Second
	apiKey      = "ctnfzs989anu6wsjnban"
	host        = "jepu9.example"
	model       = "daka510000"
)

// queueFullTimes are for how long the queues of new connections are full, one for each round: long enough for
// the first opening packet to be dropped, and shorter than the 60 ms after which another router is asked.
var queueFullTimes = []time.Duration{40 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond}

// engine is a stand-in of an engine or an application. Its answers end with their connections.
type engine struct {
	id, service string
	deployment  *harness.Deployment
	listener    *harness.Listener

	mu sync.Mutex
	// whole has the requests whose answers were written to the end, cut those whose connections ended before.
	whole, cut map[string]bool
}

func startEngine(d *harness.Deployment, id, service string, machine int) (*engine, error) {
	e := &engine{id: id, service: service, deployment: d, whole: map[string]bool{}, cut: map[string]bool{}}
	listener, err := harness.Listen(d.Address(machine), e.serve)
	if err != nil {
		return nil, err
	}
	e.listener = listener
	go e.beat()
	return e, nil
}

// beat keeps the engine's entry in the store.
func (e *engine) beat() {
	for count := 1; ; count++ {
		entry := map[string]any{
			"service": e.service, "address": e.listener.Addr(), "zone": "wien-halle", "version": "v1", "slots": 64,
			"state": "ready", "coldRemainingMs": 0, "callSeq": count,
		}
		if e.service == "sprachwerk" {
			entry["stage"], entry["models"] = "unified", []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
		}
		e.deployment.Store.Put(harness.TableServers, e.id, entry)
		time.Sleep(heartbeat)
	}
}

// serve serves the requests of one connection.
func (e *engine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		switch {
		case request.URL.Path == "/-/report":
			body := fmt.Sprintf(`{"stage":"unified","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"callSeq":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":90000,"handles":0}`, model)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		case request.Header.Get("Expect-Instance") != e.id:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
		default:
			e.answer(conn, request)
			return
		}
	}
}

// answer answers a request, without a length or chunks: the answer ends with its connection.
func (e *engine) answer(conn net.Conn, request *http.Request) {
	id := request.Header.Get("Request-Id")
	e.deployment.Record("%s runs %s", e.id, id)
	gone := make(chan struct{})
	go func() {
		_, _ = conn.Read(make([]byte, 1))
		close(gone)
	}()
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal-" + id + "\r\nWeight-Versions: 1\r\nConnection: close\r\n"
	pieces, pause := []string{head + "\r\n" + strings.Repeat("a", firstHalf), strings.Repeat("b", bookingBytes-firstHalf)}, bookingPause
	if e.service == "sprachwerk" {
		pieces, pause = []string{head + "Content-Type: text/event-stream\r\n\r\n"}, eventPause
		for number := 1; number <= events; number++ {
			pieces = append(pieces, "id: "+strconv.Itoa(number)+"\ndata: token\n\n")
		}
	}
	for _, piece := range pieces {
		_, err := io.WriteString(conn, piece)
		select {
		case <-gone:
			err = io.ErrClosedPipe
		case <-time.After(pause):
		}
		if err != nil {
			e.deployment.Record("%s: the connection of %s ended before its answer", e.id, id)
			e.note(e.cut, id)
			return
		}
	}
	e.deployment.Record("%s has answered %s to the end", e.id, id)
	e.note(e.whole, id)
}

func (e *engine) note(in map[string]bool, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	in[id] = true
}

// outcome is what became of one request.
type outcome struct {
	id       string
	status   int
	sealed   bool
	body     string
	complete bool
}

// send sends a request to a router and reads its answer to the end.
func send(d *harness.Deployment, front, id, path string, stream bool) outcome {
	result := outcome{id: id}
	request, err := http.NewRequest(http.MethodPost, "http://"+front+path, strings.NewReader("body of "+id))
	if err != nil {
		return result
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Api-Key", apiKey)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(requestTime.Milliseconds(), 10))
	if stream {
		request.Header.Set("Model", model)
		request.Header.Set("Token-Usage", "826,73")
		request.Header.Set("Prompt-Prefix", "5c1e07a2:119,91bd3f06:79,"+fmt.Sprintf("%x", id)+":628")
	}
	d.Record("client sends %s", id)
	client := &http.Client{Timeout: requestTime, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		d.Record("client: %s failed: %v", id, err)
		return result
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	result.status, result.sealed = answer.StatusCode, answer.Header.Get("Response-Seal") == "seal-"+id
	result.body, result.complete = string(body), err == nil
	d.Record("client: %s got status %d, sealed %v, %d bytes, length %d, complete %v", id, result.status, result.sealed, len(body), answer.ContentLength, result.complete)
	return result
}

// run is one run of the case.
type run struct {
	*harness.Deployment
	asking, helping *harness.Router
	llm, app        *engine
	broken, cut     int
}

func (r *run) configure() {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 15000, "targetLatencyMs": 600,
			"priority": 0, "service": service, "maxAttempts": 1, "public": false, "sticky": kind == "streaming",
			"resumable": false, "gapTargetMs": 500,
		}
	}
	r.Store.Put(harness.TableOperator, "config", map[string]any{
		"version": 7,
		"routes":  []any{route("route-note", "/note/", "streaming", "sprachwerk"), route("skip-booking", "/booking/", "unsafe", "dispo")},
		"services": []any{
			map[string]any{"name": "sprachwerk", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "engine": map[string]any{
				"slots": 64, "kvCapacity": 110556, "kvTokenBytes": 163840, "models": []any{map[string]any{"name": model}},
			}},
			map[string]any{"name": "dispo", "healthPath": "/health", "maxConns": 100, "protocol": "h1"},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "sese880", "apiKeys": []string{apiKey}, "priority": 0, "isolated": false}},
	})
	r.Store.Put(harness.TableOperator, "version/"+model, map[string]any{"model": model, "version": 1})
}

// start starts the engines and the routers, and reports whether they are ready.
func (r *run) start() (err error) {
	r.configure()
	if r.llm, err = startEngine(r.Deployment, "i-7f3a91c2", "sprachwerk", 101); err != nil {
		return err
	}
	if r.app, err = startEngine(r.Deployment, "i-02d9e6b4", "dispo", 102); err != nil {
		return err
	}
	// The first router of a zone reads the reports of engines, for which it keeps connections.
	if r.helping, err = r.NewRouter(1, "wien-halle"); err != nil {
		return err
	}
	if !r.helping.AwaitReady(readyWithin) {
		return fmt.Errorf("%s is not ready: %s", r.helping.Name, r.helping.Log())
	}
	if r.asking, err = r.NewRouter(2, "linz-halle"); err != nil {
		return err
	}
	if !r.asking.AwaitReady(readyWithin) {
		return fmt.Errorf("%s is not ready: %s", r.asking.Name, r.asking.Log())
	}
	time.Sleep(settleTime)
	return nil
}

// round sends a stream and a booking; with trouble their opening packets are dropped once, and the other
// router is killed while they are answered.
func (r *run) round(number int, trouble bool) {
	if trouble {
		r.Record("the queues of new connections are full: %v, %v", r.llm.listener.Fill(), r.app.listener.Fill())
	}
	var results [2]outcome
	var clients sync.WaitGroup
	clients.Go(func() {
		results[0] = send(r.Deployment, r.asking.Front, fmt.Sprintf("stream-%d", number+1), "/note/2f", true)
	})
	clients.Go(func() {
		results[1] = send(r.Deployment, r.asking.Front, fmt.Sprintf("booking-%d", number+1), "/booking/2f", false)
	})
	if trouble {
		time.Sleep(queueFullTimes[number])
		r.drain(r.llm)
		r.drain(r.app)
		r.Record("the queues of new connections have room again")
		time.Sleep(killAfter)
		r.helping.Kill()
		r.Record("%s is killed", r.helping.Name)
	}
	clients.Wait()
	// The engine notices a connection that has ended.
	time.Sleep(bookingPause)
	r.judge(r.llm, &results[0])
	r.judge(r.app, &results[1])
}

// drain lets the engine accept connections again.
func (r *run) drain(e *engine) {
	if err := e.listener.Drain(); err != nil {
		r.Record("the queue of %s cannot be drained: %v", e.id, err)
	}
}

// judge compares what the client got with what the engine wrote.
func (r *run) judge(e *engine, got *outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cut[got.id] {
		return
	}
	r.cut++
	if got.complete && got.status == http.StatusOK && got.sealed {
		r.broken++
		r.Record("BROKEN: the answer to %s looks complete with %d bytes, and its engine had not ended it", got.id, len(got.body))
	}
}

func (r *run) all() int {
	if err := r.start(); err != nil {
		r.Record("cannot run: %v", err)
		return harness.CannotRun
	}
	trouble := harness.Trouble()
	for number := range queueFullTimes {
		r.round(number, trouble)
		if !trouble {
			continue
		}
		if err := r.helping.Start(); err != nil || !r.helping.AwaitReady(readyWithin) {
			r.Record("cannot run: %s does not start again: %v", r.helping.Name, err)
			return harness.CannotRun
		}
		time.Sleep(settleTime)
	}
	r.Record("answers cut by the kill: %d, of these shown as complete: %d", r.cut, r.broken)
	switch {
	case r.broken > 0:
		return harness.Broken
	case trouble && r.cut == 0:
		return harness.CannotRun
	}
	return harness.Held
}

func main() {
	harness.Main(func(deployment *harness.Deployment) int { return (&run{Deployment: deployment}).all() })
}
