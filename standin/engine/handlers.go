package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Limits of request bodies, in bytes.
const (
	maxRequestBytes  = 16 << 20
	maxTransferBytes = 64 << 20
)

// Handler returns the HTTP handler of the engine protocol and the fault injection API.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(s.abortWhenDown)
	router.HandleFunc("/v1/generate", s.generate).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{stream}", s.resume).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{stream}", s.cancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/load", s.load).Methods(http.MethodGet)
	router.HandleFunc("/v1/cache/events", s.cacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/cache/snapshot", s.cacheSnapshot).Methods(http.MethodGet)
	router.HandleFunc("/v1/cache/export", s.cacheExport).Methods(http.MethodPost)
	router.HandleFunc("/v1/cache/import", s.cacheImport).Methods(http.MethodPost)
	router.HandleFunc("/v1/orders", s.order).Methods(http.MethodPost)
	router.HandleFunc("/rehearsal/faults", s.injectFault).Methods(http.MethodPost)
	router.HandleFunc("/rehearsal/faults", s.clearFaults).Methods(http.MethodDelete)
	router.HandleFunc("/rehearsal/truth", s.writeTruth).Methods(http.MethodGet)
	return router
}

// abortWhenDown aborts requests that arrive while the engine is down.
func (s *Server) abortWhenDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-s.incarnation.Load().crashed:
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// generate starts a generation and streams its events.
func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var request protocol.GenerateRequest
	if !s.readJSON(w, r, &request) {
		return
	}
	var stream ident.Stream
	var refusal *protocol.Refusal
	var current *incarnationState
	err := s.do(r.Context(), func(now time.Time) {
		current = s.incarnation.Load()
		stream, refusal = s.model.Submit(now, request)
	})
	if s.answerFailure(w, err, refusal) {
		return
	}
	s.writeStream(w, r, current, current.stream(stream), 0)
}

// resume sends the events of a stream of this incarnation from a sequence number on.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	from, err := sequenceParameter(r, "from")
	if err != nil {
		s.writeRefusal(w, s.refuse(protocol.RefusalBadRequest, "the from parameter must be a sequence number"))
		return
	}
	current := s.incarnation.Load()
	found := current.stream(ident.Stream(mux.Vars(r)["stream"]))
	if found == nil {
		s.writeRefusal(w, s.refuse(protocol.RefusalUnknownStream, "no such stream in this incarnation"))
		return
	}
	s.writeStream(w, r, current, found, from)
}

// cancel stops a generation; an unknown stream is no error.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	stream := ident.Stream(mux.Vars(r)["stream"])
	err := s.do(r.Context(), func(now time.Time) { s.model.Cancel(now, stream) })
	if s.answerFailure(w, err, nil) {
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeStream writes events until the stream ends, the reader disconnects or the
// engine crashes. A disconnect does not cancel the generation; see Options.Grace.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, current *incarnationState, source *streamLog, next uint64) {
	source.attach()
	defer func() { source.detach(time.Now()) }()
	cut := s.cuts.wait()
	writer := s.startEvents(w, current)
	distorted := &distorter{source: s.distortions.Load}
	for {
		changed := source.changed.wait()
		events, ended := source.from(next)
		for _, event := range events {
			next++
			if !writeDistorted(writer, distorted, event) {
				return
			}
		}
		if ended {
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-current.crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// writeDistorted writes the event as the distorter transforms it. It returns
// false if the connection must be closed and aborts it if it must be cut.
func writeDistorted(writer *eventWriter, distorted *distorter, event protocol.StreamEvent) bool {
	out, cut, lost := distorted.transform(event)
	for _, sent := range out {
		if !writer.write(string(sent.Kind), sent.Sequence, sent) {
			return false
		}
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
	return !lost
}

// eventWriter writes server-sent events.
type eventWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
}

func (s *Server) startEvents(w http.ResponseWriter, current *incarnationState) *eventWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(protocol.HeaderIncarnation, string(current.id))
	w.WriteHeader(http.StatusOK)
	started := &eventWriter{writer: w, controller: http.NewResponseController(w)}
	_ = started.controller.Flush()
	return started
}

// write writes one event; it returns false if it fails.
func (e *eventWriter) write(kind string, sequence uint64, data any) bool {
	content, err := json.Marshal(data)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(e.writer, "event: %s\nid: %d\ndata: %s\n\n", kind, sequence, content); err != nil {
		return false
	}
	return e.controller.Flush() == nil
}

// comment writes a comment line as a keep-alive; it returns false if it fails.
func (e *eventWriter) comment() bool {
	if _, err := fmt.Fprint(e.writer, ":\n\n"); err != nil {
		return false
	}
	return e.controller.Flush() == nil
}

func sequenceParameter(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// refuse returns a refusal for work that did not run.
func (s *Server) refuse(kind protocol.RefusalKind, message string) *protocol.Refusal {
	return &protocol.Refusal{Kind: kind, Message: message, Ran: fault.RanNo, Incarnation: s.incarnation.Load().id}
}

// refusalStatus maps a refusal to its HTTP status.
func refusalStatus(kind protocol.RefusalKind) int {
	switch kind {
	case protocol.RefusalFull:
		return http.StatusTooManyRequests
	case protocol.RefusalDraining:
		return http.StatusServiceUnavailable
	}
	return http.StatusConflict
}
