package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/affinity"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/health"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

// No datagram causes a panic, and none but a rollout notification makes all listed engines
// unavailable.
func FuzzDatagram(f *testing.F) {
	seeds := []datagram{
		{Health: &health.Notification{Silent: []ident.Incarnation{"a"}, Answering: []ident.Incarnation{"b"}}},
		{Health: &health.Notification{Queues: []health.Queue{{Instance: "a", Waiting: -1}, {Instance: "b", Waiting: 1 << 62}}}},
		{Rollout: &rollout.Notification{Model: model, Version: 2, Loaded: []ident.Incarnation{"x"}}},
		{Permit: &canary.Permit{Order: fuzzOrder, Fence: 1, Phase: canary.Promoting, Clock: time.Hour, MaxSends: 1 << 63, MaxBackends: 1 << 30}},
		{Report: &canary.Report{Service: "s", Revision: 1, Incarnation: 7, Sent: 1 << 63, Tallies: []canary.Tally{{Route: "r", Answers: 2, Failures: 3}}}},
		{Streams: &affinity.Message{
			Records: []affinity.Record{{Origin: affinity.Origin{Service: "s", Release: "v1"}, TTL: 1 << 62}},
			Asks:    []affinity.Ask{{Service: "s"}}, Answers: []affinity.Answer{{Known: true, TTL: -1}},
		}},
		{},
	}
	for _, seed := range seeds {
		encoded, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add([]byte("no notice"))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		now := time.Now()
		known := backend.NewRegistry(backend.Config{})
		models := map[ident.Model]int{model: 1}
		known.ApplyList(now, []backend.Record{
			{Instance: "a", Service: "s", Models: models}, {Instance: "b", Service: "s", Models: models},
		})
		streamsOfRouter := newStreams(&streams{backends: known})
		(&notifier{recipients: &recipients{}, backends: known, canaries: newFuzzCanaries(now), streams: streamsOfRouter}).receive(netip.AddrPort{}, encoded)
		if kept, _ := streamsOfRouter.counts(); kept > affinity.RecordsPerMessage {
			t.Fatalf("a datagram left %d records", kept)
		}
		_, attempt, found := known.Pick(now, &backend.Query{Service: "s", Model: model})
		if found {
			attempt.End(now, backend.Abandoned)
			return
		}
		var decoded datagram
		if cbor.Unmarshal(encoded, &decoded) != nil || decoded.Rollout == nil {
			t.Fatal("a datagram made all engines unavailable")
		}
	})
}

var fuzzOrder = canary.Order{Service: "s", Target: newRelease, Duration: time.Minute, Revision: 1}

// newFuzzCanaries returns the canaries of a router that directs a rollout and has the sender of
// the fuzzed datagram as a peer.
func newFuzzCanaries(now time.Time) *canaries {
	c := newCanaries(canaryBounds, &canaries{
		metrics: newMetrics(func() gaugeValues { return gaugeValues{} }), peers: func() []netip.AddrPort { return []netip.AddrPort{{}} },
		send: func(netip.AddrPort, datagram) {},
	})
	c.applyList(now, recordsOf(oldRelease, newRelease))
	c.setRollouts(now, &knownRollouts{orders: []canary.Order{fuzzOrder}, readAt: now})
	c.setFence(now, 1)
	c.term.observe(now, c.rollouts, recordsOf(oldRelease, newRelease), c.peers())
	c.term.director.ApplyState(now, canary.State{Order: fuzzOrder, Phase: canary.Observing}, 1)
	return c
}
