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
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
	"github.com/fieldpond/fieldpond/internal/routing"
)

// network delivers directory messages between the cores of several routers, or
// drops all of them.
type network struct {
	cores   map[ident.Node]*Core
	dropAll bool
}

func newNetwork(t *testing.T, nodes ...ident.Node) *network {
	t.Helper()
	is := is.New(t)
	view := membership.View{}
	for _, node := range nodes {
		view.Members = append(view.Members, membership.Member{Node: node, Zone: zone})
	}
	net := &network{cores: make(map[ident.Node]*Core)}
	for _, node := range nodes {
		scheduler, err := routing.NewPredictive(routing.Config{})
		is.NoErr(err)
		store, err := beliefs.New(beliefs.Config{}, start)
		is.NoErr(err)
		prefixes, err := directory.New(directory.Config{}, store)
		is.NoErr(err)
		core := New(Config{
			Scheduler: scheduler, Beliefs: store, Directory: prefixes, Queue: admission.NewQueue(admission.Config{}),
			Hop: func(ident.Zone) time.Duration { return 0 },
		})
		view.Self = node
		core.SetView(view)
		var targets []endpoint.Target
		for index := range 8 {
			name := fmt.Sprintf("engine-%d", index)
			targets = append(targets, endpoint.Target{Engine: ident.Engine(name), Address: name + ":1", Zone: zone})
		}
		core.Configure(start, targets)
		for _, target := range targets {
			core.ObserveReport(start, target.Engine, newReport(ident.Incarnation(target.Engine)+"-1"))
		}
		net.cores[node] = core
	}
	return net
}

// settle delivers messages until none is left and returns all placements.
func (n *network) settle(now time.Time, from ident.Node, effects Effects) []Placed {
	placed := effects.Placed
	for _, envelope := range effects.Messages {
		if n.dropAll {
			continue
		}
		replies := n.cores[envelope.To].HandleDirectoryMessage(now, from, envelope.Message)
		placed = append(placed, n.settle(now, envelope.To, replies)...)
	}
	return placed
}

func TestDirectorySharesCachedPrefixes(t *testing.T) {
	is := is.New(t)
	net := newNetwork(t, "router-1", "router-2", "router-3")
	now := start

	first := net.settle(now, "router-1", net.cores["router-1"].Offer(now, newJob("r1", time.Second)))
	is.Equal(len(first), 1)
	// Rendezvous would choose another engine now.
	filled := first[0].Candidate.Endpoint
	net.cores["router-1"].RecordStart(now, AttemptKeyOf("r1", 1), filled.Incarnation, protocol.Usage{PromptTokens: 256})
	now = now.Add(time.Second)
	net.settle(now, "router-1", net.cores["router-1"].Tick(now))

	for _, node := range []ident.Node{"router-2", "router-3"} {
		job := newJob("again-"+string(node), time.Second)
		placed := net.settle(now, node, net.cores[node].Offer(now, job))
		is.Equal(len(placed), 1)
		is.True(placed[0].Candidate.CreditTokens > 200) // known although this router never dispatched it
		is.Equal(placed[0].Candidate.Endpoint.Engine, filled.Engine)
	}
}

func TestLookupTimeoutReleasesParkedJob(t *testing.T) {
	is := is.New(t)
	net := newNetwork(t, "router-1", "router-2", "router-3")
	net.dropAll = true
	parked := 0
	for node, core := range net.cores {
		effects := core.Offer(start, newJob("r-"+string(node), time.Second))
		if len(effects.Placed) == 1 {
			continue // this router owns the shard itself
		}
		parked++
		next, waits := core.NextTick()
		is.True(waits)
		is.Equal(next, start.Add(lookupTimeout))
		is.Equal(len(core.Tick(next).Placed), 1)
	}
	is.Equal(parked, 2)
}
