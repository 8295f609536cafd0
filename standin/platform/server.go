package platform

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/standin/faultboard"
)

// Services that faults may target.
const (
	ServiceTable    = "table"
	ServiceObjects  = "objects"
	ServiceWeights  = "weights"
	ServiceMachines = "machines"
)

// Kinds of faults.
const (
	// FaultOutage closes the connection without running the operation.
	FaultOutage = "outage"
	// FaultSlow delays the operation, which runs even if the client disconnects.
	FaultSlow = "slow"
	// FaultLoseAnswer runs the operation, then closes the connection without a
	// response.
	FaultLoseAnswer = "lose_answer"
	// FaultRate responds as if the rate limit were exhausted.
	FaultRate = "rate"
)

// maxBodyBytes limits a request body.
const maxBodyBytes = 64 << 20

// retryAfterSeconds is the Retry-After of a rate-limited response.
const retryAfterSeconds = 1

// burstSeconds is the burst size, in seconds of the rate limit.
const burstSeconds = 0.1

// Options configures a Server. Rates are requests per second; 0 is no limit.
type Options struct {
	TableRate, ObjectRate, WeightRate, MachineRate float64
	// Lag is the delay until a change of the machine list is visible.
	Lag time.Duration
	// Machines is the initial machine list.
	Machines []protocol.Machine
	// WeightGigabytes is the simulated size of one model version, and
	// WeightGigabytesPerSecond the transfer speed; 0 is no delay.
	WeightGigabytes, WeightGigabytesPerSecond float64
	// Seed seeds the fault probabilities.
	Seed uint64
}

// Validate checks that no option is negative.
func (o Options) Validate() error {
	if min(o.TableRate, o.ObjectRate, o.WeightRate, o.MachineRate, o.WeightGigabytes, o.WeightGigabytesPerSecond) < 0 || o.Lag < 0 {
		return fault.New(fault.InvalidSettings, "a rate, size or lag of the platform stand-in is negative").
			WithRemedy("give 0 or more; a rate of 0 is no limit")
	}
	return nil
}

// Server is the platform stand-in. It is safe for concurrent use.
type Server struct {
	options Options
	board   *faultboard.Board
	router  *mux.Router

	mutex    sync.Mutex
	table    *Table
	history  history
	machines *MachineLog
	objects  map[objectName][]byte
}

type objectName struct{ zone, key string }

// NewServer returns a stand-in with empty stores.
func NewServer(options Options) *Server {
	server := &Server{
		options: options,
		board: faultboard.New(options.Seed,
			[]string{FaultOutage, FaultSlow, FaultLoseAnswer, FaultRate},
			[]string{ServiceTable, ServiceObjects, ServiceWeights, ServiceMachines}),
		router:   mux.NewRouter().UseEncodedPath().SkipClean(true),
		table:    NewTable(),
		machines: NewMachineLog(options.Lag, options.Machines),
		objects:  map[objectName][]byte{},
	}
	server.routes()
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) routes() {
	table := s.withFaults(ServiceTable, s.options.TableRate)
	objects := s.withFaults(ServiceObjects, s.options.ObjectRate)
	weights := s.withFaults(ServiceWeights, s.options.WeightRate)
	machines := s.withFaults(ServiceMachines, s.options.MachineRate)
	s.router.HandleFunc("/table/v1/transactions", table(s.commit)).Methods(http.MethodPost)
	s.router.HandleFunc("/table/v1/rows", table(s.listRows)).Methods(http.MethodGet)
	s.router.HandleFunc("/table/v1/rows/{key}", table(s.readRow)).Methods(http.MethodGet)
	s.router.HandleFunc("/objects/v1/{zone}/{key}", objects(s.putObject)).Methods(http.MethodPut)
	s.router.HandleFunc("/objects/v1/{zone}/{key}", objects(s.getObject)).Methods(http.MethodGet)
	s.router.HandleFunc("/weights/v1/{model}/{version}", weights(s.fetchWeights)).Methods(http.MethodGet)
	s.router.HandleFunc("/machines/v1/list", machines(s.listMachines)).Methods(http.MethodGet)
	s.router.HandleFunc("/rehearsal/machines", s.replaceMachines).Methods(http.MethodPut)
	s.router.HandleFunc("/rehearsal/history", s.serveHistory).Methods(http.MethodGet)
	s.board.Register(s.router)
}

// operation executes one request whose body was read completely.
type operation func(r *http.Request, body []byte) reply

// reply is a complete HTTP response.
type reply struct {
	status      int
	contentType string
	body        []byte
}

// withFaults returns a wrapper that applies the service's rate limit and faults
// to an operation.
func (s *Server) withFaults(service string, perSecond float64) func(operation) http.HandlerFunc {
	limiter := newLimiter(perSecond)
	return func(run operation) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			drawn := s.board.Draw(service, r.Method != http.MethodGet, time.Now())
			if drawn.Has(FaultOutage) {
				panic(http.ErrAbortHandler)
			}
			if drawn.Has(FaultRate) || !limiter.Allow() {
				rejectRateLimited(w)
				return
			}
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
			if err != nil {
				http.Error(w, "the body is incomplete or too large", http.StatusRequestEntityTooLarge)
				return
			}
			// The operation runs even if the client has disconnected, as a
			// real platform may commit after the client's timeout.
			time.Sleep(drawn.Delay(FaultSlow))
			response := run(r, body)
			if drawn.Has(FaultLoseAnswer) {
				panic(http.ErrAbortHandler)
			}
			response.send(w)
		}
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond*burstSeconds))))
}

func rejectRateLimited(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	http.Error(w, "rate limit exceeded; the operation was not run", http.StatusTooManyRequests)
}

func (r reply) send(w http.ResponseWriter) {
	if r.contentType != "" {
		w.Header().Set("Content-Type", r.contentType)
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body)
}
