package application

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/faultboard"
)

// Kinds of faults, all for ServiceApplication.
const (
	// FaultRefuseFull refuses before execution.
	FaultRefuseFull = "refuse_full"
	// FaultRunThenCut executes, then closes the connection without a response.
	FaultRunThenCut = "run_then_cut"
	// FaultCutBefore reads the body, then closes the connection without
	// executing.
	FaultCutBefore = "cut_before"
	// FaultStall waits without executing for delay_millis or, if that is 0,
	// until the client disconnects; then it closes the connection.
	FaultStall = "stall"
	// FaultSlow adds delay_millis to the execution time.
	FaultSlow = "slow"
)

// ServiceApplication is the only service that faults may target.
const ServiceApplication = "application"

// TruthPath serves the truth log as JSON lines.
const TruthPath = "/rehearsal/truth"

// maxBodyBytes limits a request body.
const maxBodyBytes = 16 << 20

// retryAfterMillis is the retry delay in every refusal.
const retryAfterMillis = 200

// Options configures a Server.
type Options struct {
	// Incarnation identifies this process lifetime; empty means a new one.
	Incarnation ident.Incarnation
	// ExecutionTime is the duration of one execution.
	ExecutionTime time.Duration
	// MaxRunning limits concurrent executions; 0 is no limit.
	MaxRunning int
	// Seed seeds the fault probabilities.
	Seed uint64
	// TruthWriter receives a JSON line before each execution, so that records
	// outlast the process; nil means none.
	TruthWriter io.Writer
}

// Validate checks that no option is negative.
func (o Options) Validate() error {
	if o.ExecutionTime < 0 || o.MaxRunning < 0 {
		return fault.New(fault.InvalidSettings, "the execution time or the limit of the application stand-in is negative").
			WithRemedy("give 0 or more")
	}
	return nil
}

// Server is the application stand-in. It is safe for concurrent use.
type Server struct {
	options Options
	board   *faultboard.Board
	router  *mux.Router
	truth   truthLog

	mutex    sync.Mutex
	running  int
	draining bool
}

// NewServer returns a stand-in with an empty truth log.
func NewServer(options Options) *Server {
	if options.Incarnation == "" {
		options.Incarnation = ident.Incarnation(ident.NewUniqueID())
	}
	server := &Server{
		options: options,
		board: faultboard.New(options.Seed,
			[]string{FaultRefuseFull, FaultRunThenCut, FaultCutBefore, FaultStall, FaultSlow},
			[]string{ServiceApplication}),
		router: mux.NewRouter().UseEncodedPath().SkipClean(true),
		truth:  truthLog{executionCounts: map[idempotencyScope]int{}, writer: options.TruthWriter},
	}
	server.router.HandleFunc("/v1/services/{service}{path:.*}", server.serveRequest)
	server.router.HandleFunc("/v1/load", server.serveLoad).Methods(http.MethodGet)
	server.router.HandleFunc(TruthPath, server.serveTruth).Methods(http.MethodGet)
	server.board.Register(server.router)
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(protocol.HeaderIncarnation, string(s.options.Incarnation))
	s.router.ServeHTTP(w, r)
}

// Drain makes the stand-in refuse all new requests.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
}

// Executions returns the truth log.
func (s *Server) Executions() []Execution { return s.truth.all() }

// startExecution reserves capacity for one execution, or returns the reason of
// the refusal.
func (s *Server) startExecution() (refused protocol.RefusalKind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return protocol.RefusalDraining
	}
	if s.options.MaxRunning > 0 && s.running >= s.options.MaxRunning {
		return protocol.RefusalFull
	}
	s.running++
	return ""
}

func (s *Server) endExecution() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

// refuse responds with a refusal without execution.
func (s *Server) refuse(w http.ResponseWriter, kind protocol.RefusalKind) {
	status := http.StatusTooManyRequests
	if kind == protocol.RefusalDraining {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set(protocol.HeaderRan, string(fault.RanNo))
	writeJSON(w, status, protocol.Refusal{
		Kind: kind, Message: "refused before execution", Ran: fault.RanNo,
		Incarnation: s.options.Incarnation, RetryAfterMillis: retryAfterMillis,
	})
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	report := protocol.LoadReport{
		Incarnation: s.options.Incarnation, MeasuredAt: time.Now(), Draining: s.draining,
		Running: s.running, MaxRunning: s.options.MaxRunning,
	}
	s.mutex.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (s *Server) serveTruth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, execution := range s.truth.all() {
		if encoder.Encode(execution) != nil {
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
