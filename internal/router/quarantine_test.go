package router

// These tests guard against routers that resend a request which crashes engines, or that do not
// share the evidence of crashes.

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/addrtest"
	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/peer"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
	storeprotocol "github.com/fieldpond/fieldpond/internal/store/protocol"
)

// unavailableTable is a store.Table that is down.
type unavailableTable struct{}

var errTableDown = fault.New(fault.StoreUnavailable, "down")

// Commit implements store.Table.
func (unavailableTable) Commit(context.Context, storeprotocol.Transaction) (storeprotocol.TransactionResult, error) {
	return storeprotocol.TransactionResult{}, errTableDown
}

// Read implements store.Table.
func (unavailableTable) Read(context.Context, string) (storeprotocol.Row, bool, error) {
	return storeprotocol.Row{}, false, errTableDown
}

// List implements store.Table.
func (unavailableTable) List(context.Context, string, int) (storeprotocol.RowList, error) {
	return storeprotocol.RowList{}, errTableDown
}

// fixedReport is an engine.Observer with a fixed result.
type fixedReport struct {
	engine.Observer
	incarnation ident.Incarnation
	err         error
}

// Load implements engine.Observer.
func (r fixedReport) Load(context.Context, string) (protocol.LoadReport, error) {
	return protocol.LoadReport{Incarnation: r.incarnation}, r.err
}

// quarantineFleet holds the quarantines of several routers that call each other.
type quarantineFleet struct {
	t   *testing.T
	all []*quarantines

	mu      sync.Mutex
	members []membership.Member
}

func (f *quarantineFleet) view() membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return membership.View{Members: slices.Clone(f.members)}
}

func (f *quarantineFleet) start(observer fixedReport) *quarantines {
	f.t.Helper()
	key := []byte(strings.Repeat("k", 32))
	client, err := peer.NewClient(key, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	self := ident.Node(fmt.Sprint("n", len(f.all)))
	q := newQuarantines(guard.Config{Table: unavailableTable{}, Timeout: time.Second}, observer, client, self, f.view)
	server, err := peer.NewServer(key, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := peer.Handle(server, methodQuarantine, q.serve); err != nil {
		f.t.Fatal(err)
	}
	listening := httptest.NewServer(server)
	f.all = append(f.all, q)
	f.mu.Lock()
	f.members = append(f.members, membership.Member{Node: self, HTTPAddress: strings.TrimPrefix(listening.URL, "http://")})
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 3)
	for _, run := range []func(context.Context){q.Run, q.runCalls, q.pollPeers} {
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}
	f.t.Cleanup(func() {
		cancel()
		for range cap(ended) {
			<-ended
		}
		client.Close()
		listening.Close()
	})
	return q
}

func crashSubject(body string) *quarantine.Subject {
	return &quarantine.Subject{Identity: quarantine.Identity{Tenant: "t", Body: []byte(body)}}
}

// becomesQuarantined calls send until the router quarantines the request, for 3 s at most.
func becomesQuarantined(q *quarantines, body string, send func()) bool {
	for range 300 {
		send()
		if q.Check(time.Now(), crashSubject(body)) != nil {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func crashPlacement(name string) dispatch.Placement {
	return dispatch.Placement{Engine: ident.Engine(name), Address: name, Incarnation: "1"}
}

// Routers that each observe one crash must all quarantine the request, and so must a router that
// starts later, while the table is down.
func TestRoutersExchangeCrashEvidence(t *testing.T) {
	is := is.New(t)
	f := &quarantineFleet{t: t}
	for range 3 {
		f.start(fixedReport{err: fault.Wrap(syscall.ECONNREFUSED, fault.BackendLost, "refused")})
	}
	for _, q := range f.all {
		is.True(becomesQuarantined(q, "guilty", func() {
			// Repeatedly, as the routers' goroutines may not have started yet.
			for index, reporter := range f.all {
				reporter.ObserveBroken(time.Now(), crashSubject("guilty"), crashPlacement(fmt.Sprint("e", index)))
			}
		}))
		is.True(q.Check(time.Now(), crashSubject("other")) == nil)
	}
	newcomer := f.start(fixedReport{})
	is.True(becomesQuarantined(newcomer, "guilty", func() {}))
}

func TestProbeResultByLoadReport(t *testing.T) {
	refused := fault.Wrap(syscall.ECONNREFUSED, fault.BackendLost, "refused")
	tests := []struct {
		name     string
		observer fixedReport
		want     guard.ProbeResult
	}{
		{"the same incarnation", fixedReport{incarnation: "1"}, guard.ProbeAlive},
		{"another incarnation", fixedReport{incarnation: "2"}, guard.ProbeEnded},
		{"refused", fixedReport{err: refused}, guard.ProbeRefused},
		{"silence", fixedReport{err: context.DeadlineExceeded}, guard.ProbeInconclusive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := &quarantines{engines: tt.observer}
			placement := crashPlacement("e")
			is.New(t).Equal(q.target(&placement).Probe(t.Context(), time.Now()), tt.want)
		})
	}
}

// A refused TCP connection must be recognised through all layers of the client.
func TestProbeDetectsRefusedConnection(t *testing.T) {
	client := engine.NewHTTPClient(engine.Options{})
	defer client.CloseIdle()
	q := &quarantines{engines: client}
	placement := crashPlacement(addrtest.Free(t).String())
	is.New(t).Equal(q.target(&placement).Probe(t.Context(), time.Now()), guard.ProbeRefused)
}

// A draining engine that ends must not count as crashed.
func TestDrainingEngineHasNotCrashed(t *testing.T) {
	is := is.New(t)
	q := &quarantines{draining: make(map[ident.Engine]ident.Incarnation)}
	q.engineChanged(endpoint.Change{Kind: endpoint.ChangeDraining, Engine: "e", Incarnation: "1"})
	is.True(q.DrainingOrUnlisted(incarnationKey("e", "1")))
	is.True(!q.DrainingOrUnlisted(incarnationKey("e", "2")))
	q.engineChanged(endpoint.Change{Kind: endpoint.ChangeRemoved, Engine: "e"})
	is.True(!q.DrainingOrUnlisted(incarnationKey("e", "1")))
}
