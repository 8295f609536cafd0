package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, path, key string
	headers               []string
	body                  string
	deadlineMs            int
}

// text returns the request as bytes on the wire.
func (r *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, host, r.id, r.deadlineMs)
	if r.key != "" {
		fmt.Fprintf(&b, "Api-Key: %s\r\n", r.key)
	}
	for _, header := range r.headers {
		b.WriteString(header + "\r\n")
	}
	if r.body != "" || r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.String() + "\r\n" + r.body
}

// result is what a client got.
type result struct {
	status int
	seal   string
	body   string
	whole  bool
	err    error
	took   time.Duration
	// retryAfter is the time after which the client may come back, 0 if none is told.
	retryAfter time.Duration
}

// send sends one request on a connection of its own.
func send(front string, r *request) (got result) {
	begun := time.Now()
	defer func() { got.took = time.Since(begun) }()
	conn, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(r.deadlineMs)*time.Millisecond + time.Second))
	if _, err := io.WriteString(conn, r.text()); err != nil {
		return result{err: err}
	}
	return readAnswer(bufio.NewReader(conn), r.method)
}

// readAnswer reads one answer.
func readAnswer(reader *bufio.Reader, method string) result {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return result{
		status: response.StatusCode, seal: response.Header.Get("Response-Seal"), body: string(body), whole: err == nil, err: err,
		retryAfter: time.Duration(min(seconds, 60) * float64(time.Second)),
	}
}

// errNotReady means that a router did not become ready.
var errNotReady = errors.New("a router is not ready in time")

// awaitReady waits until a router says that it is ready.
func (r *router) awaitReady(within time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for begun := time.Now(); time.Since(begun) < within; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + r.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}
