// Package engine is the HTTP server around the engine model: it implements the
// engine protocol (see internal/engine/protocol) in real time, simulates faults
// on its connections and keeps the truth log.
//
// It also serves a fault injection API:
//
//	POST /rehearsal/faults   FaultRequest  injects a fault now
//	DELETE /rehearsal/faults               ends every fault
//	GET  /rehearsal/truth    truth records as JSON lines
//
// Goroutines: only the model goroutine accesses the model and the fault plan; the
// network goroutine opens and closes the listener; the weights goroutine fetches
// weights. Handlers send commands to the model goroutine through a bounded ring.
package engine

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/ring"
	"github.com/fieldpond/fieldpond/standin/engine/model"
	"github.com/fieldpond/fieldpond/standin/faultplan"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// Capacities of the rings between goroutines.
const (
	commandCapacity = 1024
	networkCapacity = 64
	fetchCapacity   = 64
)

// Options configure one engine process.
type Options struct {
	// Model is the behaviour; New sets its ExternalWeights.
	Model model.Config
	// Plan is the fault schedule, with times relative to New; nil means none.
	Plan *faultplan.Plan
	// Seed seeds the random source. The seed of the plan takes precedence.
	Seed int64
	// Weights is the base URL of the weight store; empty loads without fetching.
	Weights string
	// TruthWriter also receives the truth records as JSON lines; nil means none.
	TruthWriter io.Writer
	// Grace is how long a generation continues without a connected reader;
	// default 5 s.
	Grace time.Duration
	// Retention is how long an ended stream can still be resumed; default 30 s.
	Retention time.Duration
	// DrainTimeout bounds the wait for streams to end on shutdown; default 60 s.
	DrainTimeout time.Duration
	// Logger defaults to the global logger.
	Logger log.Interface
}

func (o Options) withDefaults() Options {
	plan := faultplan.Plan{}
	if o.Plan != nil {
		plan = *o.Plan
		plan.Faults = slices.Clone(plan.Faults)
	}
	o.Plan = &plan
	if o.Plan.Seed != 0 {
		o.Seed = o.Plan.Seed
	}
	if o.Grace <= 0 {
		o.Grace = 5 * time.Second
	}
	if o.Retention <= 0 {
		o.Retention = 30 * time.Second
	}
	if o.DrainTimeout <= 0 {
		o.DrainTimeout = 60 * time.Second
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	o.Weights = strings.TrimSuffix(o.Weights, "/")
	o.Model.ExternalWeights = o.Weights != ""
	return o
}

// Server is one engine process.
type Server struct {
	options Options
	name    string
	started time.Time
	truth   *truth.Log

	// model, plan, lastCut and lastSweep belong to the model goroutine.
	model   *model.Engine
	plan    *faultplan.Plan
	lastCut faultplan.Duration
	// lastSweep is when expired streams were last removed.
	lastSweep time.Time

	commands *ring.Ring[command]
	network  *ring.Ring[networkState]
	fetches  *ring.Ring[protocol.Order]

	incarnation atomic.Pointer[incarnationState]
	distortions atomic.Pointer[distortions]
	cuts        broadcast
	// stopping is closed when the process is drained, stopped when the model
	// goroutine has ended.
	stopping chan struct{}
	stopped  chan struct{}
}

// New returns a server with a running model; Run serves it.
func New(options Options) (*Server, error) {
	options = options.withDefaults()
	if err := options.Model.Validate(); err != nil {
		return nil, err
	}
	if options.Model.Name == "" {
		return nil, fault.New(fault.InvalidSettings, "the engine name is not set").WithRemedy("set --name")
	}
	now := time.Now()
	id := ident.Incarnation(ident.NewUniqueID())
	random := rand.New(rand.NewPCG(uint64(options.Seed), seedOf(string(options.Model.Name))))
	server := &Server{
		options:  options,
		name:     string(options.Model.Name),
		started:  now,
		truth:    truth.NewLog(truth.DefaultCapacity, options.TruthWriter),
		model:    model.New(options.Model, id, random, now),
		plan:     options.Plan,
		lastCut:  -1,
		commands: ring.New[command]("engine-commands", commandCapacity, ring.RefuseNew),
		network:  ring.New[networkState]("engine-network", networkCapacity, ring.RefuseNew),
		fetches:  ring.New[protocol.Order]("engine-fetches", fetchCapacity, ring.RefuseNew),
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	server.incarnation.Store(newIncarnation(id))
	server.distortions.Store(&distortions{})
	return server, nil
}

// Run serves on the listener until the context ends, then drains the engine and
// returns. Run may be called only once.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	var goroutines errgroup.Group
	goroutines.Go(func() error { s.runModel(inner); return nil })
	goroutines.Go(func() error { s.runWeights(inner); return nil })
	networkDone := make(chan error, 1)
	go func() { networkDone <- s.runNetwork(inner, listener) }()
	var err error
	select {
	case <-ctx.Done():
		s.drain()
		close(s.stopping)
		err = <-networkDone
	case err = <-networkDone:
	}
	stop()
	_ = goroutines.Wait()
	if err == nil {
		err = s.truth.Err()
	}
	return err
}

// drain rejects new work and waits until the model is idle, up to DrainTimeout.
func (s *Server) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.DrainTimeout)
	defer cancel()
	s.options.Logger.WithField("engine", s.name).Info("engine is draining")
	idle := false
	for first := true; !idle; first = false {
		err := s.do(ctx, func(now time.Time) {
			if first {
				s.model.Drain(now)
			}
			idle = s.model.Idle()
		})
		if err != nil {
			s.options.Logger.WithField("engine", s.name).Error("engine stopped before its streams ended")
			return
		}
		if !idle {
			sleep(ctx, maxPause)
		}
	}
}

type networkState int

const (
	networkDown networkState = iota
	networkUp
)

// Times of the network goroutine.
const (
	relistenPause   = 100 * time.Millisecond
	shutdownTimeout = 10 * time.Second
	headerTimeout   = 10 * time.Second
)

// runNetwork serves the listener. While the engine is down the listener is closed,
// so that connections are refused; then it listens on the same address again.
func (s *Server) runNetwork(ctx context.Context, listener net.Listener) error {
	address := listener.Addr().String()
	for {
		server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		state, err := s.awaitNetwork(ctx, served, networkDown)
		if err != nil {
			return err
		}
		if state != networkDown {
			return s.shutDown(server)
		}
		_ = server.Close()
		<-served
		if state, err = s.awaitNetwork(ctx, nil, networkUp); err != nil || state != networkUp {
			return err
		}
		if listener, err = s.relisten(ctx, address); err != nil || listener == nil {
			return err
		}
	}
}

// awaitNetwork waits for the wanted state; it returns the other one if the
// process stops first.
func (s *Server) awaitNetwork(ctx context.Context, served <-chan error, wanted networkState) (networkState, error) {
	other := networkDown + networkUp - wanted
	for {
		select {
		case <-s.network.Ready():
			for state, ok := s.network.Pop(); ok; state, ok = s.network.Pop() {
				if state == wanted {
					return wanted, nil
				}
			}
		case err := <-served:
			return other, errors.Wrap(err, "serve engine protocol")
		case <-s.stopping:
			return other, nil
		case <-ctx.Done():
			return other, nil
		}
	}
}

func (s *Server) shutDown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
		return errors.Wrap(err, "finish open connections")
	}
	return nil
}

// relisten listens on the address again. It returns nil if the process stops.
func (s *Server) relisten(ctx context.Context, address string) (net.Listener, error) {
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		s.options.Logger.WithError(err).WithField("engine", s.name).Warn("listening again failed, retrying")
		if !sleep(ctx, relistenPause) {
			return nil, errors.Wrap(err, "listen again")
		}
		select {
		case <-s.stopping:
			return nil, nil
		default:
		}
	}
}

// sleep waits and reports whether the context is still active.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
