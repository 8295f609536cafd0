package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/health"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

// Whatever comes as a datagram breaks nothing; unless it tells of new weights, engines
// that were listed may still be chosen.
func FuzzDatagram(f *testing.F) {
	seeds := []datagram{
		{Health: &health.Notification{Silent: []ident.Incarnation{"a"}, Answering: []ident.Incarnation{"b"}}},
		{Health: &health.Notification{Queues: []health.Queue{{Instance: "a", Waiting: -1}, {Instance: "b", Waiting: 1 << 62}}}},
		{Rollout: &rollout.Notification{Model: model, Version: 2, Loaded: []ident.Incarnation{"x"}}},
		{Permit: &canary.Permit{Order: fuzzedOrder, Fence: 1, Phase: canary.Promoting, Clock: time.Hour, MaxSends: 1 << 63, MaxBackends: 1 << 30}},
		{Report: &canary.Report{Service: "s", Revision: 1, Incarnation: 7, Sent: 1 << 63, Tallies: []canary.Tally{{Route: "r", Answers: 2, Failures: 3}}}},
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
		(&notifier{recipients: &recipients{}, backends: known, canaries: fuzzedCanaries(now)}).receive(netip.AddrPort{}, encoded)
		_, flight, found := known.Pick(now, &backend.Query{Service: "s", Model: model})
		if found {
			flight.End(now, backend.Abandoned)
			return
		}
		var told datagram
		if cbor.Unmarshal(encoded, &told) != nil || told.Rollout == nil {
			t.Fatal("a datagram shut all engines out")
		}
	})
}

var fuzzedOrder = canary.Order{Service: "s", Target: newRelease, Duration: time.Minute, Revision: 1}

// fuzzedCanaries returns those of a holder that directs a rollout, and to which the sender of
// the fuzzed datagram is a router of the roster.
func fuzzedCanaries(now time.Time) *canaries {
	c := newCanaries(guardedBounds, &canaries{
		metrics: newMetrics(func() reading { return reading{} }), peers: func() []netip.AddrPort { return []netip.AddrPort{{}} },
		send: func(netip.AddrPort, datagram) {},
	})
	c.applyList(now, recordsOf(oldRelease, newRelease))
	c.setRollouts(now, &knownRollouts{orders: []canary.Order{fuzzedOrder}, readAt: now})
	c.hold(now, 1)
	c.directing.observe(now, c.rollouts, recordsOf(oldRelease, newRelease), c.peers())
	c.directing.director.ApplyState(now, canary.State{Order: fuzzedOrder, Phase: canary.Observing}, 1)
	return c
}
