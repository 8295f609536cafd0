package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/ring"
)

// PollResult is the result of one PollRequest.
type PollResult struct {
	Engine  ident.Engine
	Address string
	Report  protocol.LoadReport
	// Err is not nil if no report could be read.
	Err error
}

// LoadReader reads the load report of one back end; engine.Observer is one.
type LoadReader interface {
	Load(ctx context.Context, address string) (protocol.LoadReport, error)
}

// Poller reads load reports with a fixed number of goroutines. Requests and results pass
// through bounded rings: a request that finds its ring full is dropped and becomes due again; a
// result replaces older ones.
type Poller struct {
	reader   LoadReader
	timeout  time.Duration
	requests *ring.Ring[PollRequest]
	results  *ring.Ring[PollResult]
	workers  sync.WaitGroup
}

// NewPoller returns a poller whose reads each take at most timeout, and whose rings hold at
// most capacity items.
func NewPoller(reader LoadReader, timeout time.Duration, capacity int) *Poller {
	return &Poller{
		reader:   reader,
		timeout:  timeout,
		requests: ring.New[PollRequest]("load-questions", capacity, ring.RefuseNew),
		results:  ring.New[PollResult]("load-answers", capacity, ring.DropOldest),
	}
}

// Start runs this many workers until ctx ends.
func (p *Poller) Start(ctx context.Context, workers int) {
	for range workers {
		p.workers.Go(func() { p.work(ctx) })
	}
}

// Wait returns when every worker has ended.
func (p *Poller) Wait() { p.workers.Wait() }

// Enqueue queues requests for the workers, and drops those that find no room.
func (p *Poller) Enqueue(requests []PollRequest) {
	for _, request := range requests {
		p.requests.Push(request)
	}
}

// Results returns the ring of results.
func (p *Poller) Results() *ring.Ring[PollResult] { return p.results }

// Rings returns the counters of both rings.
func (p *Poller) Rings() []func() ring.Counters {
	return []func() ring.Counters{p.requests.Counters, p.results.Counters}
}

func (p *Poller) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.requests.Ready():
		}
		for request, ok := p.requests.Pop(); ok; request, ok = p.requests.Pop() {
			p.read(ctx, request)
		}
	}
}

func (p *Poller) read(ctx context.Context, request PollRequest) {
	bounded, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	report, err := p.reader.Load(bounded, request.Address)
	if ctx.Err() != nil {
		return
	}
	p.results.Push(PollResult{Engine: request.Engine, Address: request.Address, Report: report, Err: err})
}
