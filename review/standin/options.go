package main

import (
	"fmt"
	"net/http"
)

// playOptions sends requests for the target "*", and checks that no client gets a success without an engine's seal.
func playOptions(w *world, trouble bool) (held bool, err error) {
	if err := w.setUp(2, 134); err != nil {
		return false, err
	}
	requests := []*request{
		{id: "plain-1", method: http.MethodGet, path: "/safe/x", key: "key-a", deadlineMs: 4000},
		{id: "plain-2", method: http.MethodPost, path: "/unsafe/x", key: "key-a", deadlineMs: 4000, body: "body"},
		{id: "plain-3", method: http.MethodOptions, path: "/safe/x", key: "key-a", deadlineMs: 4000},
	}
	if trouble {
		requests = append(requests,
			&request{id: "star-1", method: http.MethodOptions, path: "*", key: "key-a", deadlineMs: 4000},
			&request{id: "star-2", method: http.MethodOptions, path: "*", key: "no-such-key", deadlineMs: 4000},
			&request{id: "star-3", method: http.MethodGet, path: "*", key: "key-a", deadlineMs: 4000},
		)
	}
	held = true
	for _, asked := range requests {
		for number, r := range w.routers {
			attempt := *asked
			attempt.id = fmt.Sprintf("%s-%d", asked.id, number)
			got := send(r.front, &attempt)
			runs := len(w.runsOf(attempt.id))
			w.note("answer id=%s %s %s from=%s status=%d seal=%q runs=%d error=%v", attempt.id, asked.method, asked.path, r.name, got.status, got.seal, runs, got.err)
			if got.status >= 200 && got.status < 300 && got.seal == "" {
				w.note("a success without the seal of an engine: %s", attempt.id)
				held = false
			}
			if !trouble && got.status != http.StatusOK {
				return false, fmt.Errorf("%s got %d without the disruption", asked.id, got.status)
			}
		}
	}
	return held, nil
}
