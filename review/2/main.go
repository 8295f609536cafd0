// Command 2 shows at which software version streams go on after all routers were killed while the last
// engines of the version that began them left: see claim.txt.
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
	routers     = 3
	streams     = 16
	events      = 60
	eventPause  = 100 * time.Millisecond
	readyWithin = 15 * time.Second
	settleTime  = 6 * time.Second
	heartbeat   = 1200 * time.Millisecond
	clientTime  = 15 * time.Second
	// retryPause is the pause of a client before it comes back.
	retryPause = 250 * time.Millisecond
	maxTries   = 10
	// All routers are killed killAt after the streams began, and are down for downTime.
	killAt   = 1500 * time.Millisecond
	downTime = 2 * time.Second
	// The release begins releaseAfter after that, its second step stepPause later. An old engine serves on
	// for servesOn after its entry has gone: drainMs and a little longer.
	releaseAfter = 400 * time.Millisecond
	stepPause    = time.Second
	servesOn     = 2300 * time.Millisecond
	// mostMixed is the number of streams of two versions that the rule allows.
	mostMixed = 2
	apiKey    = "ctnfzs989anu6wsjnban"
	host      = "jepu9.example"
	model     = "daka510000"
)

// engine is a stand-in of a model engine.
type engine struct {
	id, version string
	deployment  *harness.Deployment
	listener    net.Listener
	server      *http.Server

	mu       sync.Mutex
	beats    int
	finished bool
}

func startEngine(d *harness.Deployment, id, version string, machine int) (*engine, error) {
	listener, err := net.Listen("tcp4", d.Address(machine)+":0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, version: version, deployment: d, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }()
	go func() {
		for e.beat() {
			time.Sleep(heartbeat)
		}
	}()
	return e, nil
}

// beat writes the engine's entry, and reports whether it had not ended.
func (e *engine) beat() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.finished {
		return false
	}
	e.beats++
	e.deployment.Store.Put(harness.TableServers, e.id, map[string]any{
		"service": "sprachwerk", "address": e.listener.Addr().String(), "zone": "wien-halle", "version": e.version, "slots": 64,
		"state": "ready", "coldRemainingMs": 0, "callSeq": e.beats, "stage": "unified",
		"models": []map[string]any{{"name": model, "version": 1, "adapters": []string{}}},
	})
	return true
}

// leave removes the engine's entry, without a word of draining, and ends it after it has served on.
func (e *engine) leave() {
	e.mu.Lock()
	e.finished = true
	e.mu.Unlock()
	e.deployment.Store.Remove(harness.TableServers, e.id)
	e.deployment.Record("the entry of %s (%s) has gone", e.id, e.version)
	time.Sleep(servesOn)
	_ = e.server.Close()
	e.deployment.Record("%s (%s) has ended", e.id, e.version)
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"stage":"unified","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"callSeq":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":90000,"handles":0}`, model)
}

// serve serves a stream from the event after Last-Event-Id on; its events name the engine's version.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.deployment.Record("%s (%s) runs %s from event %d", e.id, e.version, id, last+1)
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for number := last + 1; number <= events; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, e.version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// stream is one stream of a client over all its tries.
type stream struct {
	number int
	// first is the request that brought the first event.
	first string
	last  int
	// versions has the versions of its events, in order.
	versions []string
	complete bool
}

// run is one run of the case.
type run struct {
	*harness.Deployment
	routers  []*harness.Router
	old, new []*engine
}

func (r *run) configure() {
	r.Store.Put(harness.TableOperator, "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "tender-review", "host": host, "pathPrefix": "/tender/", "routeKind": "streaming", "timeoutMs": 15000,
			"targetLatencyMs": 800, "priority": 0, "service": "sprachwerk", "maxAttempts": 2, "public": false, "sticky": true,
			"resumable": true, "gapTargetMs": 500,
		}},
		"services": []any{map[string]any{
			"name": "sprachwerk", "healthPath": "/health", "maxConns": 360, "protocol": "h1",
			"engine": map[string]any{"slots": 64, "kvCapacity": 110556, "kvTokenBytes": 163840, "models": []any{map[string]any{"name": model}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "sese880", "apiKeys": []string{apiKey}, "priority": 0, "isolated": false}},
	})
	r.Store.Put(harness.TableOperator, "version/"+model, map[string]any{"model": model, "version": 1})
}

// startEngine starts an engine of a version; it has listed itself when this returns.
func (r *run) startEngine(version string) error {
	number := len(r.old) + len(r.new) + 1
	started, err := startEngine(r.Deployment, fmt.Sprintf("i-%s-%d", version, number), version, 100+number)
	if err != nil {
		return err
	}
	if version == "v1" {
		r.old = append(r.old, started)
	} else {
		r.new = append(r.new, started)
	}
	return nil
}

func (r *run) start() error {
	r.configure()
	for _, version := range []string{"v1", "v1"} {
		if err := r.startEngine(version); err != nil {
			return err
		}
	}
	zones := []string{"wien-halle", "linz-halle", "graz-halle"}
	for number := range routers {
		router, err := r.NewRouter(number+1, zones[number%len(zones)])
		if err != nil {
			return err
		}
		r.routers = append(r.routers, router)
	}
	if !r.awaitReady() {
		return fmt.Errorf("the routers are not ready: %s", r.routers[0].Log())
	}
	time.Sleep(settleTime)
	return nil
}

func (r *run) awaitReady() bool {
	for _, router := range r.routers {
		if !router.AwaitReady(readyWithin) {
			return false
		}
	}
	return true
}

// release replaces the two old engines one after the other: a new one starts, then the old one leaves.
func (r *run) release() {
	var leaving sync.WaitGroup
	for index, old := range r.old {
		if index > 0 {
			time.Sleep(stepPause)
		}
		if err := r.startEngine("v2"); err != nil {
			r.Record("an engine does not start: %v", err)
		}
		leaving.Go(old.leave)
	}
	leaving.Wait()
}

// killAll kills all routers and starts them again.
func (r *run) killAll() {
	for _, router := range r.routers {
		router.Kill()
	}
	r.Record("all routers are killed")
	time.Sleep(downTime)
	for _, router := range r.routers {
		if err := router.Start(); err != nil {
			r.Record("%s does not start: %v", router.Name, err)
		}
	}
	r.Record("all routers are started again")
}

// follow sends a stream and takes it up where it broke off, until it is complete or refused for good.
func (r *run) follow(s *stream) {
	deadline := time.Now().Add(clientTime)
	for try := 0; try < maxTries && !s.complete; try++ {
		router := r.routers[(s.number+try)%len(r.routers)]
		pause, again := r.try(s, router, fmt.Sprintf("stream-%d-%d", s.number, try), time.Until(deadline))
		if !again || time.Until(deadline) < pause {
			return
		}
		time.Sleep(pause)
	}
}

// try makes one try, and returns after which pause another one may be made.
func (r *run) try(s *stream, router *harness.Router, id string, left time.Duration) (pause time.Duration, again bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+router.Front+"/tender/2f", strings.NewReader(fmt.Sprintf("prompt %d", s.number)))
	if err != nil {
		return 0, false
	}
	request.Host = host
	header := map[string]string{
		"Request-Id": id, "Api-Key": apiKey, "Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10), "Model": model,
		"Token-Usage": "9190,60", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:2520,%x:3780,%x:2890", 1000+s.number, 5000+s.number),
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if s.last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		request.Header.Set("Resumes", s.first)
	}
	client := &http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return retryPause, true
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)
		r.Record("client: %s after event %d got status %d: %s", id, s.last, answer.StatusCode, strings.TrimSpace(string(text)))
		seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		return max(time.Duration(seconds*float64(time.Second)), retryPause), err == nil || s.last == 0
	}
	from := s.last
	s.read(id, answer.Body)
	r.Record("client: %s brought events %d to %d of versions %v, complete %v", id, from+1, s.last, distinct(s.versions[from:]), s.complete)
	return retryPause, true
}

// read reads the events of one answer.
func (s *stream) read(id string, body io.Reader) {
	reader := bufio.NewReader(body)
	number := 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			s.complete = err == io.EOF && s.last == events
			return
		}
		if text, found := strings.CutPrefix(line, "id: "); found {
			number, _ = strconv.Atoi(strings.TrimSpace(text))
		}
		text, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if s.first == "" {
			s.first = id
		}
		s.last = number
		s.versions = append(s.versions, strings.TrimSpace(text))
	}
}

func distinct(versions []string) (found []string) {
	for _, version := range versions {
		if len(found) == 0 || found[len(found)-1] != version {
			found = append(found, version)
		}
	}
	return found
}

func (r *run) all() int {
	if err := r.start(); err != nil {
		r.Record("cannot run: %v", err)
		return harness.CannotRun
	}
	var clients, work sync.WaitGroup
	all := make([]*stream, streams)
	for number := range all {
		all[number] = &stream{number: number}
		clients.Go(func() { r.follow(all[number]) })
	}
	time.Sleep(killAt)
	work.Go(func() {
		time.Sleep(releaseAfter)
		r.release()
	})
	if harness.Trouble() {
		r.killAll()
		if !r.awaitReady() {
			r.Record("cannot run: the routers are not ready again")
			return harness.CannotRun
		}
	}
	clients.Wait()
	work.Wait()
	mixed, takenUp := 0, 0
	for _, s := range all {
		if found := distinct(s.versions); len(found) > 1 {
			mixed++
			r.Record("MIXED: stream %d has events of versions %v", s.number, found)
		}
		if s.complete {
			takenUp++
		}
	}
	r.Record("streams: %d, complete: %d, with events of two software versions: %d (the rule allows %d)", streams, takenUp, mixed, mostMixed)
	if mixed > mostMixed {
		return harness.Broken
	}
	return harness.Held
}

func main() {
	harness.Main(func(deployment *harness.Deployment) int { return (&run{Deployment: deployment}).all() })
}
