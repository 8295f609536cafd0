package inbound

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
)

const (
	// defaultHeadBytes limits the header of a request before a configuration is known.
	defaultHeadBytes = 32 << 10
	// fieldBytes is about the memory that net/http takes for a field, beside its bytes; these are held twice while
	// the request is sent to a back end.
	fieldBytes   = 200
	copiesOfHead = 2
	// unreservedHeadBytes is the memory of a head that each connection may use without a reservation, so that
	// ordinary requests are read while large ones use up the memory.
	unreservedHeadBytes = 16 << 10
	// readerBytes is the size of the buffer of net/http, which holds the beginning of the next request.
	readerBytes = 4 << 10
	// lingerTime and lingerBytes bound what is read and dropped after a refusal: closing a connection with unread
	// bytes resets it, and the client may lose the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
	// headLogInterval is the least time between two log lines on heads that are refused.
	headLogInterval = time.Second
)

// head counts the first line and the header of a request as they are read. It is used by the goroutine that reads
// from the connection.
type head struct {
	// bytes and lines were read so far, empty lines not counted. line has the first bytes of the last line, and
	// lineBytes its length.
	bytes, lines int
	line         [1]byte
	lineBytes    int
	// whole is whether the header has ended.
	whole bool
	// behind is the number of bytes that were read after its end; linesBehind of them that end a line were among
	// the last ones, and endsChunks is whether the last ones end a body in chunks.
	behind      int64
	linesBehind int
	endsChunks  bool
	// single is the byte that was read after all these while the request was served, if hasSingle.
	single    [1]byte
	hasSingle bool
	// inherited is whether some of what was counted was read before the head was due, so that it may not belong
	// to it.
	inherited bool
}

// read counts what was read while a head is due.
func (h *head) read(data []byte) {
	for len(data) > 0 && !h.whole {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		h.bytes += len(data) - len(rest)
		h.addToLine(line)
		if ended {
			h.endLine()
		}
		data = rest
	}
	h.readBehind(data)
}

func (h *head) addToLine(data []byte) {
	if h.lineBytes == 0 {
		copy(h.line[:], data)
	}
	h.lineBytes += len(data)
}

// endLine ends a line. An empty one ends the header, except in front of the first line.
func (h *head) endLine() {
	empty := h.lineBytes == 0 || h.lineBytes == 1 && h.line[0] == '\r'
	h.lineBytes = 0
	switch {
	case !empty:
		h.lines++
	case h.lines > 0 && !h.inherited:
		h.whole = true
	}
}

// lastChunk ends a body in chunks.
var lastChunk = []byte("0\r\n\r\n")

// readBehind counts what was read after the head.
func (h *head) readBehind(data []byte) {
	h.behind += int64(len(data))
	h.linesBehind, h.endsChunks = bytes.Count(data, []byte("\n")), bytes.HasSuffix(data, lastChunk)
}

// readSingle keeps a byte that was read while the request is served, beside what the buffer of net/http holds.
func (h *head) readSingle(data []byte) {
	copy(h.single[:], data)
	h.hasSingle = true
}

// next returns the count of the next head, some of which net/http may have read already, behind a body whose length
// is negative if it is not known.
func (h *head) next(bodyBytes int64) (next head) {
	if h.inherited || h.behind != bodyBytes && (bodyBytes >= 0 || !h.endsChunks) {
		read := int(min(h.behind, readerBytes))
		next = head{bytes: read, lines: min(h.linesBehind, read), inherited: true}
	}
	if h.hasSingle {
		next.read(h.single[:])
	}
	return next
}

// memory returns about how much memory the head takes.
func (h *head) memory() int64 { return copiesOfHead*int64(h.bytes) + fieldBytes*int64(h.lines) }

// headRefusal is why a head is not read to its end.
type headRefusal uint8

const (
	headAccepted headRefusal = iota
	// headTooLarge is for a head above its limit.
	headTooLarge
	// headOverMemory is for a head for which there is no memory beside those of others.
	headOverMemory
)

func (r headRefusal) String() string {
	if r == headTooLarge {
		return "too_large"
	}
	return "memory"
}

// recordHead records that a part of a head was read on a connection, and returns why the rest may not be read.
func (c *Clients) recordHead(conn *Conn) headRefusal {
	limit := c.limits().HeaderBytes
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.closed {
		return headAccepted
	}
	if conn.phase == phaseIdle {
		c.setPhaseLocked(conn, phaseHeader)
		conn.phaseSince = time.Now()
	}
	// The limit is for the header; the first line may have as many bytes.
	if conn.head.bytes > 2*limit {
		c.headsRefused++
		return headTooLarge
	}
	if !c.reserveHeadLocked(conn) {
		c.headsRefused++
		return headOverMemory
	}
	return headAccepted
}

// reserveHeadLocked reserves the memory of what was read of a head, and reports whether the limit allows that;
// the caller holds the mutex.
func (c *Clients) reserveHeadLocked(conn *Conn) bool {
	more := max(conn.head.memory()-unreservedHeadBytes, 0) - conn.headMemory
	if more <= 0 {
		return true
	}
	if c.headMemory+more > c.cfg.MaxHeadMemory {
		return false
	}
	c.headMemory += more
	conn.headMemory += more
	return true
}

// releaseHeadLocked frees the memory of a head; the caller holds the mutex.
func (c *Clients) releaseHeadLocked(conn *Conn) {
	c.headMemory -= conn.headMemory
	conn.headMemory = 0
}

// refuseHead answers a request whose head is not read to its end.
func (c *Conn) refuseHead(reason headRefusal) {
	status, fields := http.StatusRequestHeaderFieldsTooLarge, ""
	if reason == headOverMemory {
		status, fields = http.StatusServiceUnavailable, "Retry-After: "+c.clients.retryAfter()+"\r\n"
	}
	c.clients.logHeadRefusal(c, reason)
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n%s\r\n", status, http.StatusText(status), fields)
	if _, err := io.WriteString(c.TCPConn, answer); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
}

// retryAfter returns the value of Retry-After for clients that are turned away, in seconds.
func (c *Clients) retryAfter() string {
	return strconv.FormatFloat(c.cfg.RetryAfter.Seconds(), 'f', -1, 64)
}

// logHeadRefusal logs that a head was refused, unless another one was logged just before.
func (c *Clients) logHeadRefusal(conn *Conn, reason headRefusal) {
	now := time.Now()
	c.mu.Lock()
	count := c.headsRefused
	due := now.Sub(c.headLoggedAt) >= headLogInterval
	if due {
		c.headLoggedAt = now
	}
	c.mu.Unlock()
	if due {
		log.WithFields(log.Fields{"client": conn.RemoteAddr().String(), "reason": reason.String(), "bytes": conn.head.bytes, "count": count}).Warn("client_head_refused")
	}
}
