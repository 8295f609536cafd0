package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// countingListener counts the bytes of every connection it accepts.
type countingListener struct {
	net.Listener
	read, written atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return &countingConnection{connection, l}, err
}

type countingConnection struct {
	net.Conn
	listener *countingListener
}

// Read implements net.Conn.
func (c *countingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.listener.read.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countingConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.listener.written.Add(int64(count))
	return count, err
}

// serveCounted starts a server that answers every request with body.
func serveCounted(b *testing.B, contentType string, body []byte) *countingListener {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	listener := &countingListener{Listener: plain}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", contentType)
		_, _ = writer.Write(body)
	})}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener
}

// BenchmarkLoadBytes reports the bytes above TCP of one load report on an open
// connection, and the time of client and server together.
func BenchmarkLoadBytes(b *testing.B) {
	is := is.New(b)
	body, err := json.Marshal(protocol.LoadReport{
		Incarnation: "engine-123-0123456789abcdef", Running: 31, MaxRunning: 64, PrefillMicrosPerToken: 100,
		CacheBlocks: 57000, CacheCapacityBlocks: 57000, BlockTokens: 16, Role: "mixed", Fence: 1,
		Loaded: []protocol.LoadedModel{{Model: "model-01", Version: "v1"}},
	})
	is.NoErr(err)
	listener := serveCounted(b, "application/json", body)
	client := engine.NewHTTPClient(engine.Options{})
	calls := 0.0
	b.ReportAllocs()
	for b.Loop() {
		calls++
		if _, err := client.Load(context.Background(), listener.Addr().String()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(listener.read.Load())/calls, "request-B")
	b.ReportMetric(float64(listener.written.Load())/calls-float64(len(body)), "reply-header-B")
	b.ReportMetric(float64(len(body)), "report-B")
}

// BenchmarkReadCacheEvents reports time, including the server's, and bytes per
// block stored or removed in an event stream.
func BenchmarkReadCacheEvents(b *testing.B) {
	const blocks, batches = 30, 2000
	is := is.New(b)
	var body []byte
	for sequence := uint64(1); sequence <= 2*batches; sequence += 2 {
		batch := protocol.CacheEventBatch{Incarnation: ident.Incarnation("engine-123-0123456789abcdef")}
		for part, kind := range []protocol.CacheEventKind{protocol.CacheStored, protocol.CacheRemoved} {
			event := protocol.CacheEvent{Sequence: sequence + uint64(part), Kind: kind}
			for block := range uint64(blocks / 2) {
				event.Hashes = append(event.Hashes, prefix.Hash((sequence<<8+block)*0x9e3779b97f4a7c15))
			}
			batch.Events = append(batch.Events, event)
		}
		data, err := json.Marshal(batch)
		is.NoErr(err)
		body = fmt.Appendf(body, "data: %s\n\n", data)
	}
	listener := serveCounted(b, "text/event-stream", body)
	client := engine.NewHTTPClient(engine.Options{})
	streams := 0
	for b.Loop() {
		streams++
		stream, err := client.CacheEvents(context.Background(), listener.Addr().String(), 0)
		is.NoErr(err)
		for range batches {
			if _, err := stream.Next(); err != nil {
				b.Fatal(err)
			}
		}
		stream.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(streams*batches*blocks), "ns/block")
	b.ReportMetric(float64(len(body))/(batches*blocks), "B/block")
}
