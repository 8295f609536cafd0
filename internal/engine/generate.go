package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/httpclient"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/sse"
)

const (
	pathGenerate = "/v1/generate"
	pathStreams  = "/v1/streams/"
)

// Generate implements Generator. It waits for the first event, which should be
// the start event; Next returns it first.
func (c *HTTPClient) Generate(ctx context.Context, address string, request protocol.GenerateRequest) (EventStream, error) {
	encoded, err := json.Marshal(request)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "the generation cannot be encoded")
	}
	out := exchange{
		method: http.MethodPost, address: address, path: pathGenerate,
		contentType: contentTypeJSON, body: encoded,
	}
	stream, err := c.openStream(ctx, out)
	if err != nil {
		return nil, err
	}
	if stream.first, err = stream.read(); err != nil {
		stream.Close()
		return nil, err
	}
	stream.peeked = true
	return stream, nil
}

// Resume implements Generator. The engine checks the incarnation by the stream
// name; the caller checks it in every event.
func (c *HTTPClient) Resume(ctx context.Context, address string, target ResumeTarget) (EventStream, error) {
	header := http.Header{}
	header.Set(protocol.HeaderIncarnation, string(target.Incarnation))
	query := "?from=" + strconv.FormatUint(target.From, 10)
	stream, err := c.openStream(ctx, exchange{
		method: http.MethodGet, address: address, header: header,
		path: pathStreams + url.PathEscape(string(target.Stream)) + query,
	})
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// Cancel implements Generator.
func (c *HTTPClient) Cancel(ctx context.Context, address string, stream ident.Stream) error {
	response, err := c.send(ctx, exchange{
		method: http.MethodDelete, address: address, path: pathStreams + url.PathEscape(string(stream)),
	})
	if err != nil {
		return err
	}
	body, err := httpclient.ReadBody(response, maxRefusalBytes)
	if err != nil {
		return backendLost(err, "the answer of back end %s to a cancellation is incomplete", address)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
		return nil
	}
	refused, found := refusalFault(response, body)
	if !found {
		return backendLost(nil, "cancellation at back end %s failed with status %d", address, response.StatusCode)
	}
	if isRefusal(refused, protocol.RefusalUnknownStream) {
		return nil
	}
	return refused
}

// openStream sends the exchange and returns its answer as an event stream.
func (c *HTTPClient) openStream(ctx context.Context, out exchange) (*eventStream, error) {
	connection, err := c.openEvents(ctx, out)
	if err != nil {
		return nil, err
	}
	return &eventStream{connection: connection, ran: fault.RanUnknown}, nil
}

// eventStream implements EventStream.
type eventStream struct {
	connection *eventConnection
	first      protocol.StreamEvent
	peeked     bool
	ended      bool
	// ran becomes "yes" with the first chunk.
	ran fault.Ran
}

// Next implements EventStream. It returns an error event like any other; the
// stream counts as broken after it.
func (s *eventStream) Next() (protocol.StreamEvent, error) {
	if s.peeked {
		s.peeked = false
		return s.first, nil
	}
	return s.read()
}

func (s *eventStream) read() (protocol.StreamEvent, error) {
	if s.ended {
		return protocol.StreamEvent{}, io.EOF
	}
	var event protocol.StreamEvent
	if err := s.connection.next(&event); err != nil {
		return protocol.StreamEvent{}, err.WithRan(s.ran)
	}
	switch event.Kind {
	case protocol.EventChunk:
		s.ran = fault.RanYes
	case protocol.EventEnd:
		s.ended = true
	}
	return event, nil
}

// Close implements EventStream.
func (s *eventStream) Close() { s.connection.close() }

// eventConnection is one open event stream of a back end.
type eventConnection struct {
	address string
	body    io.Closer
	cancel  context.CancelFunc
	reader  *sse.Reader
}

func (c *HTTPClient) openEvents(ctx context.Context, out exchange) (*eventConnection, error) {
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.sendChecked(ctx, out)
	if err != nil {
		cancel()
		return nil, err
	}
	return &eventConnection{
		address: out.address, body: response.Body, cancel: cancel,
		reader: sse.NewReader(response.Body, c.options.MaxEventBytes),
	}, nil
}

// next decodes the data of the next event. It never returns io.EOF: only an end
// event proves that a stream is complete.
func (e *eventConnection) next(into any) *fault.Fault {
	event, err := e.reader.Next()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return backendLost(err, "the stream of back end %s was interrupted", e.address)
	}
	if err := json.Unmarshal(event.Data, into); err != nil {
		return backendLost(err, "the stream of back end %s is malformed", e.address)
	}
	return nil
}

// close may be called concurrently with next.
func (e *eventConnection) close() {
	e.cancel()
	_ = e.body.Close()
}
