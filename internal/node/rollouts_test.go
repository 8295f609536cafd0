package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

func testState(service ident.Service, revision uint64, phase canary.Phase) canary.State {
	return canary.State{Order: canary.Order{Service: service, Target: "v2", Revision: revision}, Phase: phase}
}

func testOrder(service ident.Service, revision uint64) canary.Order {
	return canary.Order{Service: service, Target: "v2", Revision: revision}
}

func TestMergeRollouts(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := []struct {
		name         string
		older, newer []canary.State
		want         []canary.State
	}{
		{"the newer phase", []canary.State{testState("s", 1, canary.Observing)}, []canary.State{testState("s", 1, canary.Promoting)}, []canary.State{testState("s", 1, canary.Promoting)}},
		{"a final phase stays", []canary.State{testState("s", 1, canary.RolledBack)}, []canary.State{testState("s", 1, canary.Promoting)}, []canary.State{testState("s", 1, canary.RolledBack)}},
		{"a final phase ends with the next order", []canary.State{testState("s", 1, canary.RolledBack)}, []canary.State{testState("s", 2, canary.Observing)}, []canary.State{testState("s", 2, canary.Observing)}},
		{"a state that one read lacks", []canary.State{testState("t", 1, canary.Succeeded)}, []canary.State{testState("s", 2, canary.Observing)}, []canary.State{testState("s", 2, canary.Observing), testState("t", 1, canary.Succeeded)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			older := &knownRollouts{states: tt.older, readAt: at.Add(time.Second), statesAt: at, orders: []canary.Order{testOrder("s", 9)}}
			newer := &knownRollouts{states: tt.newer, readAt: at, statesAt: at.Add(time.Second)}
			for _, merged := range []*knownRollouts{older.merge(newer), newer.merge(older)} {
				is.Equal(merged.states, tt.want)
				is.Equal(len(merged.orders), 1) // the newer orders, whichever read has the newer states
			}
			is.Equal((*knownRollouts)(nil).merge(newer), newer)
		})
	}
}

func TestPendingRollouts(t *testing.T) {
	tests := []struct {
		name  string
		known *knownRollouts
		want  bool
	}{
		{"nothing", nil, false},
		{"an order without a state", &knownRollouts{orders: []canary.Order{testOrder("s", 1)}}, true},
		{"a running rollout", &knownRollouts{orders: []canary.Order{testOrder("s", 1)}, states: []canary.State{testState("s", 1, canary.Promoting)}}, true},
		{"a finished rollout", &knownRollouts{orders: []canary.Order{testOrder("s", 1)}, states: []canary.State{testState("s", 1, canary.Succeeded)}}, false},
		{"an order after a finished rollout", &knownRollouts{orders: []canary.Order{testOrder("s", 2)}, states: []canary.State{testState("s", 1, canary.Succeeded)}}, true},
		{"a running rollout with a withdrawn order", &knownRollouts{states: []canary.State{testState("s", 1, canary.Observing)}}, true},
		{"a finished rollout with a withdrawn order", &knownRollouts{states: []canary.State{testState("s", 1, canary.RolledBack)}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { is.New(t).Equal(tt.known.pending(), tt.want) })
	}
}

// Rollouts received by a peer equal those sent, as of the same times.
func TestRolloutsRoundTripToPeer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	known := &knownRollouts{
		orders: []canary.Order{testOrder("s", 3)}, states: []canary.State{testState("s", 2, canary.RolledBack)},
		storeTime: 7 * time.Second, absentAt: 6 * time.Second, readAt: now.Add(-300 * time.Millisecond), statesAt: now.Add(-time.Second),
	}
	is.Equal(peerRollouts(known.forPeer(now), now), known)
	known.statesAt = time.Time{}
	is.Equal(peerRollouts(known.forPeer(now), now), known)
	is.True(peerRollouts((*knownRollouts)(nil).forPeer(now), now) == nil)
}

// An unreadable row counts as a rollout that has not begun, with the row's version.
func TestUnreadableStateIsOverwritten(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	states := &rolloutStates{table: store, timeout: time.Second}
	state, version, err := states.read(t.Context(), "s")
	is.NoErr(err)
	is.Equal(version, uint64(0))
	is.Equal(state.Order.Service, ident.Service("s"))
	_, err = store.Commit(t.Context(), protocol.Transaction{Writes: []protocol.Write{{Key: statePrefix + "s", Value: []byte("bad")}}})
	is.NoErr(err)
	state, version, err = states.read(t.Context(), "s")
	is.NoErr(err)
	is.Equal(version, uint64(1))
	is.Equal(state.Phase, canary.Phase(0))
	listed, err := states.list(t.Context())
	is.NoErr(err)
	is.Equal(len(listed), 0)
}

// A permit of an unknown sender is dropped, and the router list is read again.
func TestPermitOfUnknownSenderIsDropped(t *testing.T) {
	is := is.New(t)
	peer, stranger := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	var answered []netip.AddrPort
	c := newCanaries(canaryBounds, &canaries{
		metrics: newMetrics(func() gaugeValues { return gaugeValues{} }), peers: func() []netip.AddrPort { return []netip.AddrPort{peer} },
		send: func(to netip.AddrPort, _ datagram) { answered = append(answered, to) },
	})
	c.applyList(time.Now(), recordsOf(oldRelease, newRelease))
	c.setRollouts(time.Now(), &knownRollouts{orders: []canary.Order{{Service: "s", Target: newRelease, Duration: time.Minute, Revision: 1}}, readAt: time.Now()})
	permit := &canary.Permit{
		Order: canary.Order{Service: "s", Target: newRelease, Duration: time.Minute, Revision: 1}, Fence: 1, Phase: canary.Succeeded,
		Proved: []ident.Release{oldRelease},
	}
	allowed := func() backend.Releases { return c.Choose(time.Now(), canary.ChooseRequest{Service: "s", First: true}) }
	c.receive(stranger, &datagram{Permit: permit})
	releases := allowed()
	is.True(!releases.Allows(newRelease))
	is.True(releases.Allows(oldRelease))
	is.True(c.routersReadDue)
	is.Equal(len(answered), 0)
	c.receive(peer, &datagram{Permit: permit})
	releases = allowed()
	is.True(releases.Allows(newRelease))
	is.True(!releases.Allows(oldRelease))
	is.Equal(answered, []netip.AddrPort{peer})
}
