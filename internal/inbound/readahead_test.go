package inbound_test

import (
	"bytes"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/inbound"
)

// slowClient reads an answer at a number of bytes a second, 0 for never.
type slowClient struct {
	bytesPerSecond int
	interrupted    chan struct{}

	mu      sync.Mutex
	got     bytes.Buffer
	flushes int
}

func newSlowClient(bytesPerSecond int) *slowClient {
	return &slowClient{bytesPerSecond: bytesPerSecond, interrupted: make(chan struct{})}
}

func (c *slowClient) Write(data []byte) (int, error) {
	var read <-chan time.Time
	if c.bytesPerSecond > 0 {
		read = time.After(time.Duration(len(data)) * time.Second / time.Duration(c.bytesPerSecond))
	}
	select {
	case <-read:
	case <-c.interrupted:
		return 0, errors.New("interrupted")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.got.Write(data)
}

func (c *slowClient) Flush() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushes++
	return nil
}

func (c *slowClient) Interrupt() { close(c.interrupted) }

// An answer that a client reads slowly must be taken from the back end at once, and reach the
// client whole.
func TestSlowClientDelaysNoBackEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := newSlowClient(10_000)
		ahead := inbound.New(inbound.Config{}).NewReadAhead(client)
		piece := bytes.Repeat([]byte("x"), 1000)
		begun := time.Now()
		for range 100 {
			is.NoErr(ahead.Write(piece))
			is.NoErr(ahead.Flush())
		}
		is.True(time.Since(begun) < 100*time.Millisecond)
		ahead.Close()
		is.Equal(client.got.Len(), 100_000)
		is.True(client.flushes > 0)
		is.True(time.Since(begun) >= 9*time.Second)
	})
}

// Many clients that read nothing must not use more than their part of the memory, and must be
// given up before a back end cuts off its answer.
func TestMemoryOfSlowClientsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const memory, clients = 8 << 20, 50
		all := inbound.New(inbound.Config{MaxBodyBytes: memory})
		piece := make([]byte, 64<<10)
		var waiting sync.WaitGroup
		var mu sync.Mutex
		accepted, slow := 0, 0
		for range clients {
			waiting.Go(func() {
				ahead := all.NewReadAhead(newSlowClient(0))
				for range 100 {
					begun := time.Now()
					err := ahead.Write(piece)
					mu.Lock()
					if err == nil {
						accepted += len(piece)
					}
					mu.Unlock()
					if err != nil {
						mu.Lock()
						slow++
						mu.Unlock()
						if !errors.Is(err, inbound.ErrSlowClient) || time.Since(begun) > 2*time.Second {
							t.Error("not given up in time", err)
						}
						break
					}
				}
				time.Sleep(time.Second)
				ahead.Interrupt()
			})
		}
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		is.True(accepted <= memory/2)
		mu.Unlock()
		// The bodies of other clients' requests still find memory.
		is.True(all.Reserve(memory / 2))
		all.Release(memory / 2)
		waiting.Wait()
		is.Equal(slow, clients)
		is.True(all.Reserve(memory)) // everything was released
	})
}

func TestFailedClientEndsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := newSlowClient(0)
		ahead := inbound.New(inbound.Config{}).NewReadAhead(client)
		is.NoErr(ahead.Write([]byte("event")))
		synctest.Wait()
		client.Interrupt()
		synctest.Wait()
		is.True(ahead.Write([]byte("event")) != nil)
		ahead.Close()
	})
}

// A client that reads at once must get its answer while others, which read nothing, use up the memory.
func TestFastClientIsServedBesideSlowOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := inbound.New(inbound.Config{MaxBodyBytes: 256 << 10})
		var slow []*inbound.ReadAhead
		for range 20 {
			ahead := all.NewReadAhead(newSlowClient(0))
			slow = append(slow, ahead)
			go func() { _ = ahead.Write(make([]byte, 64<<10)) }()
		}
		synctest.Wait()
		client := newSlowClient(100 << 20)
		ahead := all.NewReadAhead(client)
		begun := time.Now()
		body := bytes.Repeat([]byte("0123456789"), 100<<10)
		for piece := range slices.Chunk(body, 16<<10) {
			is.NoErr(ahead.Write(piece))
		}
		ahead.Close()
		is.True(bytes.Equal(client.got.Bytes(), body))
		is.True(time.Since(begun) < time.Second)
		for _, ahead := range slow {
			ahead.Interrupt()
		}
		is.True(all.Reserve(256 << 10)) // everything was released
	})
}

// Many small writes that a client has not read must count with the memory that they take.
func TestSmallWritesCountWithTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const memory = 1 << 20
		all := inbound.New(inbound.Config{MaxBodyBytes: memory})
		ahead := all.NewReadAhead(newSlowClient(0))
		is.NoErr(ahead.Write(make([]byte, 5<<10)))
		synctest.Wait()
		for range 10 {
			is.NoErr(ahead.Write([]byte("event")))
		}
		const taken = 17 << 10 // one chunk that is being written, and one
		is.True(!all.Reserve(memory - taken + 1))
		is.True(all.Reserve(memory - taken))
		all.Release(memory - taken)
		ahead.Interrupt()
		is.True(all.Reserve(memory))
	})
}
