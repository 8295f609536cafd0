package api

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/resume"
)

// doneData is the data of the event that ends a complete stream.
const doneData = "[DONE]"

// errSlowReader disconnects a caller that reads too slowly; the stream remains
// resumable.
var errSlowReader = errors.New("the caller reads too slowly")

// streamSink writes an answer as server-sent events. One goroutine writes the
// chunks from a bounded buffer.
type streamSink struct {
	server  *Server
	builder answerBuilder
	tenant  ident.Tenant
	writer  http.ResponseWriter
	// callerContext ends when the caller disconnects.
	callerContext context.Context

	started bool
	// roleSent is set once the caller has received the role of the answer.
	roleSent bool
	lastID   string
	frames   chan []byte
	failed   chan struct{}
	writing  sync.WaitGroup
}

func (e *exchange) newStreamSink(builder answerBuilder) *streamSink {
	return &streamSink{
		server:        e.server,
		builder:       builder,
		tenant:        e.tenant,
		writer:        e.writer,
		callerContext: e.request.Context(),
		frames:        make(chan []byte, e.server.config.BufferedChunks),
		failed:        make(chan struct{}),
	}
}

// Chunk implements dispatch.Sink.
func (s *streamSink) Chunk(chunk dispatch.Chunk) error {
	if !s.started {
		s.start()
	}
	id, err := s.server.tokens.Seal(resume.Token{
		Tenant:   s.tenant,
		Service:  s.builder.service,
		Node:     s.server.config.Node,
		Chat:     s.builder.chat,
		Created:  s.builder.created,
		Position: chunk.Position,
	})
	if err != nil {
		return err
	}
	s.lastID = id
	withRole := !s.roleSent
	s.roleSent = true
	return s.push(frame("", id, s.builder.chunk(chunk.Text, chunk.Position.Version, withRole)))
}

// start sends the headers and starts the writing goroutine.
func (s *streamSink) start() {
	s.started = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
	s.writing.Go(s.write)
}

// write writes frames until the buffer is closed. After a failure it only drains
// the buffer, so that push does not block.
func (s *streamSink) write() {
	control := http.NewResponseController(s.writer)
	broken := false
	for next := range s.frames {
		if broken {
			continue
		}
		// Without deadline support (in tests) there is no time limit.
		_ = control.SetWriteDeadline(time.Now().Add(s.server.config.WriteTimeout))
		_, err := s.writer.Write(next)
		if err == nil && len(s.frames) == 0 {
			err = control.Flush()
		}
		if err != nil {
			broken = true
			close(s.failed)
		}
	}
}

// push queues a frame for the writing goroutine. It returns errSlowReader if the
// caller has disconnected or reads too slowly.
func (s *streamSink) push(next []byte) error {
	select {
	case <-s.failed:
		return errSlowReader
	default:
	}
	select {
	case s.frames <- next:
		return nil
	default:
	}
	timer := time.NewTimer(s.server.config.WriteTimeout)
	defer timer.Stop()
	select {
	case s.frames <- next:
		return nil
	case <-s.failed:
		return errSlowReader
	case <-timer.C:
		return errSlowReader
	}
}

// finish ends the stream with the last chunk and [DONE], or with an error event.
// It returns the fault if nothing was written.
func (s *streamSink) finish(completion dispatch.Completion, err error) error {
	if !s.started {
		if err != nil {
			return err
		}
		s.start()
	}
	if err != nil {
		s.server.reportFault(s.callerContext, fault.From(err))
		_ = s.push(frame("error", "", s.server.errorBody(fault.From(err))))
	} else {
		// The id of the last chunk: a resumption from it repeats the end.
		_ = s.push(append(frame("", s.lastID, s.builder.lastChunk(completion)), "data: "+doneData+"\n\n"...))
	}
	close(s.frames)
	s.writing.Wait()
	return nil
}

// frame renders one server-sent event with JSON data, which is one line.
func frame(event, id string, data any) []byte {
	var text bytes.Buffer
	if event != "" {
		text.WriteString("event: " + event + "\n")
	}
	if id != "" {
		text.WriteString("id: " + id + "\n")
	}
	text.WriteString("data: ")
	// Encoding the types of this package cannot fail.
	_ = json.NewEncoder(&text).Encode(data)
	text.WriteString("\n")
	return text.Bytes()
}
