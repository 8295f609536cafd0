package router

import (
	"context"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/placement"
)

const (
	// smallFleet is the number of engines up to which every router reads every
	// cache event stream. In a larger fleet a router reads only those it owns.
	smallFleet = 32
	// streamOwners is the number of routers that read the events of an engine in
	// a larger fleet: the owner and one standby.
	streamOwners = 2
	// streamRetryDelay is the delay before a broken event stream is reopened.
	streamRetryDelay = 500 * time.Millisecond
	// snapshotTimeout bounds the read of a cache snapshot.
	snapshotTimeout = 5 * time.Second
)

// streamSource is an engine whose cache events are to be read.
type streamSource struct {
	Engine  ident.Engine
	Address string
}

// streamReaders runs one goroutine per cache event stream and per snapshot that
// this router reads.
type streamReaders struct {
	observer        engine.Observer
	placementRunner *placement.Runner
	mutex           sync.Mutex
	running         map[streamSource]context.CancelFunc
	background      sync.WaitGroup
}

func newStreamReaders(observer engine.Observer, placementRunner *placement.Runner) *streamReaders {
	return &streamReaders{observer: observer, placementRunner: placementRunner, running: make(map[streamSource]context.CancelFunc)}
}

// Set starts and stops readers so that exactly the given streams are read until
// ctx ends.
func (s *streamReaders) Set(ctx context.Context, sources []streamSource) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	keep := make(map[streamSource]bool, len(sources))
	for _, source := range sources {
		keep[source] = true
		if s.running[source] == nil {
			s.start(ctx, source)
		}
	}
	for source, stop := range s.running {
		if !keep[source] {
			stop()
			delete(s.running, source)
		}
	}
}

// Wait returns when every goroutine has ended.
func (s *streamReaders) Wait() { s.background.Wait() }

func (s *streamReaders) start(ctx context.Context, source streamSource) {
	bounded, stop := context.WithCancel(ctx)
	s.running[source] = stop
	s.background.Go(func() {
		for bounded.Err() == nil {
			s.read(bounded, source)
			sleep(bounded, streamRetryDelay)
		}
	})
}

// read reads batches from one connection until it breaks.
func (s *streamReaders) read(ctx context.Context, source streamSource) {
	var after uint64
	stream, err := s.observer.CacheEvents(ctx, source.Address, after)
	if err != nil {
		return
	}
	defer stream.Close()
	defer context.AfterFunc(ctx, stream.Close)()
	for {
		batch, err := stream.Next()
		if err != nil {
			return
		}
		s.placementRunner.ApplyCacheEvents(source.Engine, batch)
	}
}

// Snapshot reads an engine's cache snapshot in the background.
func (s *streamReaders) Snapshot(ctx context.Context, source streamSource) {
	s.background.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		snapshot, err := s.observer.CacheSnapshot(bounded, source.Address)
		if err == nil {
			s.placementRunner.ApplyCacheSnapshot(source.Engine, snapshot)
		}
	})
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
