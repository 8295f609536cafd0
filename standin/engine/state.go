package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/standin/faultplan"
)

// Batch size and keep-alive interval of the cache event stream.
const (
	maxBatchEvents = 256
	keepAlivePause = 2 * time.Second
)

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	var report protocol.LoadReport
	err := s.do(r.Context(), func(now time.Time) { report = s.model.LoadReport(now) })
	if !s.answerFailure(w, err, nil) {
		s.writeJSON(w, report)
	}
}

func (s *Server) cacheSnapshot(w http.ResponseWriter, r *http.Request) {
	var snapshot protocol.CacheSnapshot
	err := s.do(r.Context(), func(now time.Time) { snapshot = s.model.Snapshot(now) })
	if !s.answerFailure(w, err, nil) {
		s.writeJSON(w, snapshot)
	}
}

// cacheEvents streams the published cache events after a sequence number, in batches.
func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := sequenceParameter(r, "after")
	if err != nil {
		s.writeRefusal(w, s.refuse(protocol.RefusalBadRequest, "the after parameter must be a sequence number"))
		return
	}
	current := s.incarnation.Load()
	writer := s.startEvents(w, current)
	keepAlive := time.NewTicker(keepAlivePause)
	defer keepAlive.Stop()
	for {
		changed := current.feed.changed.wait()
		for events := current.feed.after(after, maxBatchEvents); len(events) > 0; events = current.feed.after(after, maxBatchEvents) {
			after = events[len(events)-1].Sequence
			batch := protocol.CacheEventBatch{Incarnation: current.id, Events: events}
			if !writer.write("cache", after, batch) {
				return
			}
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if !writer.comment() {
				return
			}
		case <-current.crashed:
			panic(http.ErrAbortHandler)
		case <-s.stopping:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) cacheExport(w http.ResponseWriter, r *http.Request) {
	var request protocol.TransferRequest
	if !s.readJSON(w, r, &request) {
		return
	}
	var content []byte
	var count int
	var refusal *protocol.Refusal
	err := s.do(r.Context(), func(now time.Time) { content, count, refusal = s.model.Export(now, request) })
	if s.answerFailure(w, err, refusal) || !s.transfer(r.Context(), count) {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(protocol.HeaderIncarnation, string(s.incarnation.Load().id))
	_, _ = w.Write(content)
}

func (s *Server) cacheImport(w http.ResponseWriter, r *http.Request) {
	salt, err := strconv.ParseUint(r.Header.Get(protocol.HeaderSalt), 10, 64)
	if err != nil {
		s.writeRefusal(w, s.refuse(protocol.RefusalBadRequest, protocol.HeaderSalt+" must be the salt as a decimal number"))
		return
	}
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTransferBytes))
	if err != nil {
		s.writeRefusal(w, s.refuse(protocol.RefusalBadRequest, "the body is broken or too large"))
		return
	}
	var result protocol.TransferResult
	var refusal *protocol.Refusal
	err = s.do(r.Context(), func(now time.Time) { result, refusal = s.model.Import(now, prefix.Salt(salt), content) })
	if !s.answerFailure(w, err, refusal) && s.transfer(r.Context(), result.Imported) {
		s.writeJSON(w, result)
	}
}

// transfer waits for the transfer time; it returns false if the caller disconnects.
func (s *Server) transfer(ctx context.Context, blocks int) bool {
	return sleep(ctx, time.Duration(blocks)*s.options.Model.TransferPerBlock)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order protocol.Order
	if !s.readJSON(w, r, &order) {
		return
	}
	var result protocol.OrderResult
	var refusal *protocol.Refusal
	err := s.do(r.Context(), func(now time.Time) { result, refusal = s.model.Order(now, order) })
	if !s.answerFailure(w, err, refusal) {
		s.writeJSON(w, result)
	}
}

// supportedFaults are the kinds of faults that an engine can simulate.
var supportedFaults = []faultplan.Kind{
	faultplan.Crash, faultplan.Stall, faultplan.Cut, faultplan.EventLoss, faultplan.EventDelay,
	faultplan.LoadLag, faultplan.DuplicateChunks, faultplan.SwapChunks, faultplan.LoseEnd,
	faultplan.Slow, faultplan.RefuseFull, faultplan.Drain,
}

// FaultRequest is the body of POST /rehearsal/faults.
type FaultRequest struct {
	Kind       faultplan.Kind       `json:"kind"`
	Duration   faultplan.Duration   `json:"duration"`
	Parameters faultplan.Parameters `json:"parameters"`
}

func (s *Server) injectFault(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if !s.readJSON(w, r, &request) {
		return
	}
	added := faultplan.Fault{
		Duration: request.Duration, Target: s.name, Kind: request.Kind, Parameters: request.Parameters,
	}
	if !slices.Contains(supportedFaults, added.Kind) {
		s.writeRefusal(w, s.refuse(protocol.RefusalBadRequest, "the fault kind is not supported by engines"))
		return
	}
	if err := added.Validate(); err != nil {
		s.writeRefusal(w, s.refuse(protocol.RefusalBadRequest, "fault is invalid: "+err.Error()))
		return
	}
	if added.Kind == faultplan.Crash {
		// A crash closes this connection too, so the response is sent first.
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		_ = s.do(r.Context(), func(now time.Time) { s.inject(now, added) })
		return
	}
	accepted := false
	err := s.do(r.Context(), func(now time.Time) { accepted = s.inject(now, added) })
	var refusal *protocol.Refusal
	if !accepted {
		refusal = s.refuse(protocol.RefusalFull, "too many faults are active; clear them first")
	}
	if !s.answerFailure(w, err, refusal) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// clearFaults ends all faults, including planned ones.
func (s *Server) clearFaults(w http.ResponseWriter, r *http.Request) {
	err := s.do(r.Context(), func(now time.Time) {
		s.plan.Faults = nil
		s.applyFaults(now)
	})
	if !s.answerFailure(w, err, nil) {
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) writeTruth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("X-Dropped", strconv.FormatUint(s.truth.Dropped(), 10))
	_, _ = s.truth.WriteTo(w)
}

// readJSON decodes a request body, or responds with a refusal and returns false.
func (s *Server) readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err := decoder.Decode(target); err != nil {
		s.writeRefusal(w, s.refuse(protocol.RefusalBadRequest, "the body is not the expected JSON: "+err.Error()))
		return false
	}
	return true
}

func (s *Server) writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(protocol.HeaderIncarnation, string(s.incarnation.Load().id))
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) writeRefusal(w http.ResponseWriter, refusal *protocol.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(protocol.HeaderIncarnation, string(refusal.Incarnation))
	w.Header().Set(protocol.HeaderRan, string(refusal.Ran))
	if refusal.RetryAfterMillis > 0 {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(refusalStatus(refusal.Kind))
	_ = json.NewEncoder(w).Encode(refusal)
}

// answerFailure responds to a refusal or to a full command ring and returns true.
// If it is unknown whether the work runs, it aborts the connection.
func (s *Server) answerFailure(w http.ResponseWriter, err error, refusal *protocol.Refusal) bool {
	switch {
	case fault.Is(err, fault.Overloaded):
		s.writeRefusal(w, s.refuse(protocol.RefusalFull, "too many commands are waiting"))
		return true
	case err != nil:
		panic(http.ErrAbortHandler)
	case refusal != nil:
		s.writeRefusal(w, refusal)
		return true
	}
	return false
}
