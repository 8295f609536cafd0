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

// stated returns the state of a service's rollout.
func stated(service ident.Service, revision uint64, phase canary.Phase) canary.State {
	return canary.State{Order: canary.Order{Service: service, Target: "v2", Revision: revision}, Phase: phase}
}

func ordered(service ident.Service, revision uint64) canary.Order {
	return canary.Order{Service: service, Target: "v2", Revision: revision}
}

func TestWhatTwoReadsTellTogether(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := []struct {
		name         string
		older, newer []canary.State
		want         []canary.State
	}{
		{"the newer phase", []canary.State{stated("s", 1, canary.Observing)}, []canary.State{stated("s", 1, canary.Promoting)}, []canary.State{stated("s", 1, canary.Promoting)}},
		{"a verdict stays", []canary.State{stated("s", 1, canary.RolledBack)}, []canary.State{stated("s", 1, canary.Promoting)}, []canary.State{stated("s", 1, canary.RolledBack)}},
		{"a verdict ends with the next order", []canary.State{stated("s", 1, canary.RolledBack)}, []canary.State{stated("s", 2, canary.Observing)}, []canary.State{stated("s", 2, canary.Observing)}},
		{"a state that one read lacks", []canary.State{stated("t", 1, canary.Succeeded)}, []canary.State{stated("s", 2, canary.Observing)}, []canary.State{stated("s", 2, canary.Observing), stated("t", 1, canary.Succeeded)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			older := &knownRollouts{states: tt.older, readAt: at.Add(time.Second), statesAt: at, orders: []canary.Order{ordered("s", 9)}}
			newer := &knownRollouts{states: tt.newer, readAt: at, statesAt: at.Add(time.Second)}
			for _, joined := range []*knownRollouts{older.merge(newer), newer.merge(older)} {
				is.Equal(joined.states, tt.want)
				is.Equal(len(joined.orders), 1) // the newer orders, whoever read the newer states
			}
			is.Equal((*knownRollouts)(nil).merge(newer), newer)
		})
	}
}

func TestWhatIsPending(t *testing.T) {
	tests := []struct {
		name  string
		known *knownRollouts
		want  bool
	}{
		{"nothing", nil, false},
		{"an order without a state", &knownRollouts{orders: []canary.Order{ordered("s", 1)}}, true},
		{"a rollout that runs", &knownRollouts{orders: []canary.Order{ordered("s", 1)}, states: []canary.State{stated("s", 1, canary.Promoting)}}, true},
		{"one that is over", &knownRollouts{orders: []canary.Order{ordered("s", 1)}, states: []canary.State{stated("s", 1, canary.Succeeded)}}, false},
		{"an order after one that is over", &knownRollouts{orders: []canary.Order{ordered("s", 2)}, states: []canary.State{stated("s", 1, canary.Succeeded)}}, true},
		{"one that runs without its order", &knownRollouts{states: []canary.State{stated("s", 1, canary.Observing)}}, true},
		{"one that is over without its order", &knownRollouts{states: []canary.State{stated("s", 1, canary.RolledBack)}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { is.New(t).Equal(tt.known.pending(), tt.want) })
	}
}

// What passes to a peer is the same there, as of the same times.
func TestRolloutsPassToAPeer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	known := &knownRollouts{
		orders: []canary.Order{ordered("s", 3)}, states: []canary.State{stated("s", 2, canary.RolledBack)},
		storeTime: 7 * time.Second, absentAt: 6 * time.Second, readAt: now.Add(-300 * time.Millisecond), statesAt: now.Add(-time.Second),
	}
	is.Equal(peerRollouts(known.forPeer(now), now), known)
	known.statesAt = time.Time{}
	is.Equal(peerRollouts(known.forPeer(now), now), known)
	is.True(peerRollouts((*knownRollouts)(nil).forPeer(now), now) == nil)
}

// A row that cannot be read counts as a rollout that has not begun, under its version.
func TestAStateThatCannotBeReadIsWrittenOver(t *testing.T) {
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

// Whoever is not of the roster permits nothing, and asks for a look at the roster.
func TestAStrangersPermitIsDropped(t *testing.T) {
	is := is.New(t)
	friend, stranger := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	var answered []netip.AddrPort
	c := newCanaries(guardedBounds, &canaries{
		metrics: newMetrics(func() reading { return reading{} }), peers: func() []netip.AddrPort { return []netip.AddrPort{friend} },
		send: func(to netip.AddrPort, _ datagram) { answered = append(answered, to) },
	})
	c.applyList(time.Now(), recordsOf(oldRelease, newRelease))
	c.setRollouts(time.Now(), &knownRollouts{orders: []canary.Order{{Service: "s", Target: newRelease, Duration: time.Minute, Revision: 1}}, readAt: time.Now()})
	permit := &canary.Permit{
		Order: canary.Order{Service: "s", Target: newRelease, Duration: time.Minute, Revision: 1}, Fence: 1, Phase: canary.Succeeded,
		Proved: []ident.Release{oldRelease},
	}
	choice := func() backend.Releases { return c.Choose(time.Now(), canary.ChooseRequest{Service: "s", First: true}) }
	c.receive(stranger, &datagram{Permit: permit})
	releases := choice()
	is.True(!releases.Allows(newRelease))
	is.True(releases.Allows(oldRelease))
	is.True(c.wanted)
	is.Equal(len(answered), 0)
	c.receive(friend, &datagram{Permit: permit})
	releases = choice()
	is.True(releases.Allows(newRelease))
	is.True(!releases.Allows(oldRelease))
	is.Equal(answered, []netip.AddrPort{friend})
}
