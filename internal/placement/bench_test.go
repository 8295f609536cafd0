package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/routing"
)

// BenchmarkRequest offers, places, starts and ends one request. Every engine
// serves the model, which is the most work for the scheduler.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{12, 100, 860} {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			core := benchCore(b, engines)
			now, index := start, 0
			b.ReportAllocs()
			for b.Loop() {
				index++
				now = now.Add(88 * time.Millisecond)
				job := newJob(fmt.Sprint(index), time.Second)
				placed := core.Offer(now, job).Placed
				if len(placed) != 1 {
					b.Fatal("not placed")
				}
				incarnation := placed[0].Candidate.Endpoint.Incarnation
				core.RecordStart(now, job.Key, incarnation, protocol.Usage{PromptTokens: 256})
				core.RecordEnd(now, job.Key, Result{Incarnation: incarnation, TimeToFirstToken: time.Second, Duration: time.Second})
			}
		})
	}
}

func benchCore(b *testing.B, engines int) *Core {
	is := is.New(b)
	scheduler, err := routing.NewPredictive(routing.Config{})
	is.NoErr(err)
	store, err := beliefs.New(beliefs.Config{}, start)
	is.NoErr(err)
	core := New(Config{
		Scheduler: scheduler, Beliefs: store, Queue: admission.NewQueue(admission.Config{}),
		NewLimiter: func() admission.Limiter { return admission.NewGradientLimiter(admission.LimitBounds{}) },
		Hop:        func(ident.Zone) time.Duration { return 0 },
	})
	var targets []endpoint.Target
	for index := range engines {
		name := fmt.Sprintf("engine-%03d", index)
		targets = append(targets, endpoint.Target{Engine: ident.Engine(name), Address: name + ":1", Zone: zone})
	}
	core.Configure(start, targets)
	for _, target := range targets {
		core.ObserveReport(start, target.Engine, newReport(ident.Incarnation(target.Engine)+"-1"))
	}
	return core
}
