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
	// SweepLease is the name of the lease of the one router that sweeps, and
	// the key by which contenders are chosen.
	SweepLease = "claims/sweep"
	// sweepInterval is how often the sweeper looks whether a request is due.
	sweepInterval = 250 * time.Millisecond
	// sweepTimeout bounds one request.
	sweepTimeout = 5 * time.Second
)

// SweeperOptions joins a Sweeper to the rest of a router.
type SweeperOptions struct {
	Node  ident.Node
	Table store.Table
	// Contends says whether this router shall try to hold the lease.
	Contends func() bool
	// Prefixes returns the prefixes of all rows, by SweepPrefix.
	Prefixes func() []string
	Config   SweepConfig
}

// Sweeper is the shell around a Sweep: while it holds the lease SweepLease it
// makes the sweep's requests. Run it once.
type Sweeper struct {
	options SweeperOptions
	elector *lease.Elector
	mutex   sync.Mutex
	sweep   *Sweep
	held    bool
}

// NewSweeper returns a sweeper that does nothing until Run.
func NewSweeper(options SweeperOptions) *Sweeper {
	return &Sweeper{
		options: options, sweep: NewSweep(options.Config),
		elector: lease.NewElector(options.Table, lease.Config{}, SweepLease, options.Node),
	}
}

// Held reports whether this router is the one that sweeps.
func (s *Sweeper) Held() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.held
}

// Counters returns what was counted so far.
func (s *Sweeper) Counters() SweepCounters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sweep.Counters()
}

// Run is the duty that sweeps until ctx ends; it then hands the lease over.
func (s *Sweeper) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.elector.Run(ctx) })
	defer duties.Wait()
	wait.Every(ctx, sweepInterval, func() {
		s.elector.Contend(s.options.Contends())
		if request, due := s.next(); due {
			s.perform(ctx, request)
		}
	})
}

// next returns the request that is due. Losing the lease ends a pass.
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

// perform makes one request and tells the sweep of its end.
func (s *Sweeper) perform(ctx context.Context, request SweepRequest) {
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
