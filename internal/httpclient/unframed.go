package httpclient

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/connend"
)

// requestWrite is how far the transport has written a request, which it may do again on another connection. It calls
// the methods from goroutines of its own.
type requestWrite struct {
	mutex sync.Mutex
	// ended is closed once the request was written or that failed, err is why; it is nil before the request has a
	// connection.
	ended  chan struct{}
	closed bool
	err    error
}

// begin records that the request got a connection.
func (w *requestWrite) begin() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended, w.err, w.closed = make(chan struct{}), nil, false
}

// end records that the request was written, or why not.
func (w *requestWrite) end(info httptrace.WroteRequestInfo) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed || w.ended == nil {
		return
	}
	w.err, w.closed = info.Err, true
	close(w.ended)
}

// await waits until the request was written, and returns an error if it was not, or not in time.
func (w *requestWrite) await() error {
	w.mutex.Lock()
	ended := w.ended
	w.mutex.Unlock()
	select {
	case <-ended:
	case <-time.After(connend.ReceiptTimeout):
		return connend.ErrNotReceived
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.err
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	request *requestWrite
}

// Read implements io.Reader. It returns io.EOF only if the whole request was written.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		if failed := b.request.await(); failed != nil {
			return count, failed
		}
	}
	return count, err
}

// isUnframed reports whether the body of a response ends with its connection.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
