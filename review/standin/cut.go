package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// cutTime is how long the router is cut off, cutBound contactMs.
	cutTime, cutBound = 12 * time.Second, 3 * time.Second
	// cutPause is the time from one first try to the next at each router.
	cutPause = 40 * time.Millisecond
)

// firstTries counts the first tries at a router from contactMs after the cut began.
type firstTries struct {
	asked, served int
	// unsure is the number of requests that may run once only and got neither an answer of an engine nor a promise that
	// they did not run: their clients must not send them again.
	unsure int
}

// playCut cuts one router of three off from all engines: connections there open and are reset. It checks that clients'
// first tries at this router are served as RECOVER asks.
func playCut(w *world, trouble bool) (held bool, err error) {
	w.relayed = true
	if err := w.setUp(3, 134); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	counts := make([]firstTries, len(w.routers))
	var mu sync.Mutex
	var tries sync.WaitGroup
	w.begun = time.Now()
	const calm = 2 * time.Second
	cutAt := w.begun.Add(calm)
	tries.Go(func() {
		time.Sleep(calm)
		if trouble {
			w.note("%s is cut off from all engines", w.routers[0].name)
			w.setCut(w.routers[0])
		}
	})
	for number := 0; time.Since(cutAt) < cutTime; number++ {
		for place, r := range w.routers {
			counted := time.Since(cutAt) >= cutBound
			tries.Go(func() {
				served, unsure := w.tryFirst(r, number)
				mu.Lock()
				defer mu.Unlock()
				if !counted {
					return
				}
				counts[place].asked++
				if served {
					counts[place].served++
				}
				if unsure {
					counts[place].unsure++
				}
			})
		}
		time.Sleep(cutPause)
	}
	tries.Wait()
	w.setCut(nil)
	for place, r := range w.routers {
		w.note("%s: %d of %d first tries were served from %v after the cut; %d bookings are lost or not, nobody knows", r.name, counts[place].served, counts[place].asked, cutBound, counts[place].unsure)
	}
	for _, y := range w.relays {
		w.note("the relay to %s reset %d connections", y.engine, y.resets)
	}
	return recovers(counts), nil
}

// recovers reports whether the first tries at the first router, which is cut off, are served as RECOVER asks.
func recovers(counts []firstTries) bool {
	cut := counts[0]
	all, others := cut, firstTries{}
	for _, other := range counts[1:] {
		others.asked += other.asked
		others.served += other.served
	}
	all.asked += others.asked
	failed := cut.asked - cut.served
	lessOften := 3*cut.served*others.asked < 2*others.served*cut.asked
	return !lessOften || 50*failed <= 50*10+all.asked
}

// tryFirst sends a request of one kind or another on a connection of its own.
func (w *world) tryFirst(r *router, number int) (served, unsure bool) {
	kind := []string{"safe", "unsafe"}[number%2]
	id := fmt.Sprintf("%s-%s-%d", kind, r.name, number)
	got := send(r.front, &request{id: id, method: http.MethodPost, path: "/" + kind + "/x", key: "key-a", deadlineMs: 4000, body: "body"})
	w.note("answer id=%s from=%s status=%d text=%.60q error=%v", id, r.name, got.status, got.body, got.err)
	served = got.status == http.StatusOK && got.whole && got.seal != ""
	promised := got.status == http.StatusTooManyRequests || got.status == http.StatusServiceUnavailable || got.status == http.StatusRequestTimeout
	return served, kind == "unsafe" && !served && !promised
}
