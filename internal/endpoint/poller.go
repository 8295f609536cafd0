package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/ring"
)

// PollResult is what came of one Question.
type PollResult struct {
	Engine  ident.Engine
	Address string
	Report  protocol.LoadReport
	// Err is not nil when no report could be read.
	Err error
}

// LoadReader reads the load report of one back end; engine.Observer is one.
type LoadReader interface {
	Load(ctx context.Context, address string) (protocol.LoadReport, error)
}

// Poller reads load reports with a fixed number of goroutines. Questions and
// answers pass through bounded rings: a question that finds its ring full is
// dropped and will fall due again; an answer replaces older ones.
type Poller struct {
	reader    LoadReader
	timeout   time.Duration
	questions *ring.Ring[PollRequest]
	answers   *ring.Ring[PollResult]
	workers   sync.WaitGroup
}

// NewPoller returns a poller whose reads each take at most timeout. The rings
// hold at most capacity items.
func NewPoller(reader LoadReader, timeout time.Duration, capacity int) *Poller {
	return &Poller{
		reader:    reader,
		timeout:   timeout,
		questions: ring.New[PollRequest]("load-questions", capacity, ring.RefuseNew),
		answers:   ring.New[PollResult]("load-answers", capacity, ring.DropOldest),
	}
}

// Start runs so many workers until ctx ends.
func (p *Poller) Start(ctx context.Context, workers int) {
	for range workers {
		p.workers.Go(func() { p.work(ctx) })
	}
}

// Wait returns when every worker has ended.
func (p *Poller) Wait() { p.workers.Wait() }

// Enqueue queues questions.
func (p *Poller) Enqueue(questions []PollRequest) {
	for _, question := range questions {
		p.questions.Push(question)
	}
}

// Results returns the ring of answers.
func (p *Poller) Results() *ring.Ring[PollResult] { return p.answers }

// Rings returns the counters of both rings.
func (p *Poller) Rings() []func() ring.Counters {
	return []func() ring.Counters{p.questions.Counters, p.answers.Counters}
}

func (p *Poller) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.questions.Ready():
		}
		for question, ok := p.questions.Pop(); ok; question, ok = p.questions.Pop() {
			p.read(ctx, question)
		}
	}
}

func (p *Poller) read(ctx context.Context, question PollRequest) {
	bounded, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	report, err := p.reader.Load(bounded, question.Address)
	if ctx.Err() != nil {
		return
	}
	p.answers.Push(PollResult{Engine: question.Engine, Address: question.Address, Report: report, Err: err})
}
