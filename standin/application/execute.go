package application

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/faultboard"
)

// Answer is the response body of an executed request.
type Answer struct {
	// Booking is a unique identifier of this execution's effect.
	Booking string `json:"booking"`
	// Executed counts the executions of the tenant's idempotency key so far.
	Executed int `json:"executed"`
	// Digest is Digest(tenant, idempotency key, body) of the request.
	Digest    string        `json:"digest"`
	Tenant    ident.Tenant  `json:"tenant"`
	RequestID ident.Request `json:"request_id"`
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	drawn := s.board.Draw(ServiceApplication, r.Method != http.MethodGet, time.Now())
	if drawn.Has(FaultRefuseFull) {
		s.refuse(w, protocol.RefusalFull)
		return
	}
	if refused := s.startExecution(); refused != "" {
		s.refuse(w, refused)
		return
	}
	defer s.endExecution()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body is incomplete or too large", http.StatusRequestEntityTooLarge)
		return
	}
	if drawn.Has(FaultCutBefore) {
		panic(http.ErrAbortHandler)
	}
	if drawn.Has(FaultStall) {
		stall(r, drawn.Delay(FaultStall))
	}
	answer := s.execute(r, body, drawn)
	if drawn.Has(FaultRunThenCut) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, answer)
}

// stall waits without executing, then closes the connection.
func stall(r *http.Request, delay time.Duration) {
	var over <-chan time.Time
	if delay > 0 {
		over = time.After(delay)
	}
	select {
	case <-over:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// execute records the execution at its start and waits for the execution time.
// It continues if the client disconnects.
func (s *Server) execute(r *http.Request, body []byte, drawn faultboard.Drawn) Answer {
	execution, executed := s.truth.add(Execution{
		Time:           time.Now(),
		Incarnation:    s.options.Incarnation,
		RequestID:      ident.Request(r.Header.Get(protocol.HeaderRequest)),
		Attempt:        r.Header.Get(protocol.HeaderAttempt),
		IdempotencyKey: r.Header.Get(protocol.HeaderIdempotencyKey),
		Tenant:         ident.Tenant(r.Header.Get(protocol.HeaderTenant)),
		Service:        ident.Service(pathVariable(r, "service")),
		Method:         r.Method,
		Path:           pathVariable(r, "path"),
		Query:          r.URL.RawQuery,
		BodyDigest:     bodyDigest(body),
	})
	time.Sleep(s.options.ExecutionTime + drawn.Delay(FaultSlow))
	return Answer{
		Booking:   string(s.options.Incarnation) + "-" + strconv.FormatUint(execution.Order, 10),
		Executed:  executed,
		Digest:    Digest(execution.Tenant, execution.IdempotencyKey, body),
		Tenant:    execution.Tenant,
		RequestID: execution.RequestID,
	}
}

// pathVariable returns an unescaped path variable.
func pathVariable(r *http.Request, name string) string {
	escaped := mux.Vars(r)[name]
	plain, err := url.PathUnescape(escaped)
	if err != nil {
		return escaped
	}
	return plain
}
