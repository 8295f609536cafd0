package claim

import (
	"context"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/lease"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// SweepLease is the name of the lease of the one router that sweeps, and the key by which
	// contenders are chosen.
	SweepLease = "claims/sweep"
	// sweepInterval is the time between two checks for a due request.
	sweepInterval = 250 * time.Millisecond
	// sweepTimeout bounds one request.
	sweepTimeout = 5 * time.Second
)

// SweeperOptions configures a Sweeper.
type SweeperOptions struct {
	Node  ident.Node
	Table store.Table
	// Contends reports whether this router contends for the lease.
	Contends func() bool
	// Prefixes returns the prefixes of all rows, by SweepPrefix.
	Prefixes func() []string
	Config   SweepConfig
}

// Sweeper runs a Sweep: while it holds the lease SweepLease it makes the sweep's requests. Run
// it once.
type Sweeper struct {
	options SweeperOptions
	elector *lease.Elector
	mutex   sync.Mutex
	sweep   *Sweep
	held    bool
}

// NewSweeper returns a sweeper that is inactive until Run.
func NewSweeper(options SweeperOptions) *Sweeper {
	return &Sweeper{
		options: options, sweep: NewSweep(options.Config),
		elector: lease.NewElector(options.Table, lease.Config{}, SweepLease, options.Node),
	}
}

// Held reports whether this router holds the lease.
func (s *Sweeper) Held() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.held
}

// Counters returns a copy of the counters.
func (s *Sweeper) Counters() SweepCounters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sweep.Counters()
}

// Run sweeps until ctx ends, and then releases the lease.
func (s *Sweeper) Run(ctx context.Context) {
	var background sync.WaitGroup
	background.Go(func() { s.elector.Run(ctx) })
	defer background.Wait()
	wait.Every(ctx, sweepInterval, func() {
		s.elector.Contend(s.options.Contends())
		if request, due := s.next(); due {
			s.make(ctx, request)
		}
	})
}

// next returns the request that is due. Losing the lease aborts the pass.
func (s *Sweeper) next() (SweepRequest, bool) {
	_, err := s.elector.Held()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.held = err == nil
	if !s.held {
		s.sweep.Reset()
		return SweepRequest{}, false
	}
	return s.sweep.Next(time.Now(), s.options.Prefixes())
}

// make makes one request and passes its result to the sweep.
func (s *Sweeper) make(ctx context.Context, request SweepRequest) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	if request.Prefix != "" {
		list, err := s.options.Table.List(ctx, request.Prefix, request.Limit)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.sweep.Listed(time.Now(), list, fault.From(err))
		return
	}
	result, err := s.options.Table.Commit(ctx, request.Transaction)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sweep.Deleted(time.Now(), result, fault.From(err))
}
