package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// earlyStreams is the number of streams, of earlyEvents events each, earlyGap apart.
	earlyStreams, earlyEvents = 20, 60
	earlyGap                  = 50 * time.Millisecond
)

// looksComplete sends a request of HTTP/1.0, and reports whether its answer looks complete and whether it is.
func (w *world) looksComplete(r *router, number int) (looks, whole bool) {
	id := fmt.Sprintf("old-%d", number)
	conn, err := net.DialTimeout("tcp4", r.front, time.Second)
	if err != nil {
		return false, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	text := strings.Replace(promptRequest(id, "key-a", 100, 100, 6*time.Second).text(), "HTTP/1.1", "HTTP/1.0", 1)
	if _, err := io.WriteString(conn, text); err != nil {
		return false, false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.note("answer id=%s error=%v", id, err)
		return false, false
	}
	body, err := io.ReadAll(response.Body)
	events := strings.Count(string(body), "\n\n")
	// A stream that ends inside an event has been broken off.
	looks = err == nil && response.StatusCode == http.StatusOK && (len(body) == 0 || strings.HasSuffix(string(body), "\n\n"))
	whole = looks && events == earlyEvents
	w.note("answer id=%s status=%d seal=%q length=%d chunks=%v events=%d of %d looks complete=%v error=%v",
		id, response.StatusCode, response.Header.Get("Response-Seal"), response.ContentLength, response.TransferEncoding, events, earlyEvents, looks, err)
	return looks, whole
}

// playEarly kills a router while it passes streams on to clients of HTTP/1.0, to which the end of the connection is the
// end of an answer, and checks that no answer that ends early looks complete.
func playEarly(w *world, trouble bool) (held bool, err error) {
	if err := w.setUp(2, 134); err != nil {
		return false, err
	}
	for _, e := range w.engines {
		e.events, e.gap = earlyEvents, earlyGap
	}
	r := w.routers[0]
	var mu sync.Mutex
	var clients sync.WaitGroup
	looked, wholes := 0, 0
	for number := range earlyStreams {
		clients.Go(func() {
			looks, whole := w.looksComplete(r, number)
			mu.Lock()
			defer mu.Unlock()
			if looks {
				looked++
			}
			if whole {
				wholes++
			}
		})
	}
	time.Sleep(earlyEvents * earlyGap / 2)
	if trouble {
		r.signal(syscall.SIGKILL)
	}
	clients.Wait()
	w.note("%d of %d answers look complete, %d are", looked, earlyStreams, wholes)
	if !trouble && wholes < earlyStreams {
		return false, fmt.Errorf("%d of %d answers were whole without the disruption", wholes, earlyStreams)
	}
	return looked == wholes, nil
}
