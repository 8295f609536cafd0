package membership_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/membership/simnet"
)

// TestOwnersAreTheHighestScores compares the owners with a complete ranking.
func TestOwnersAreTheHighestScores(t *testing.T) {
	is := is.New(t)
	view := membership.View{}
	for index := range 40 {
		view.Members = append(view.Members, membership.Member{
			Node: ident.Node(fmt.Sprintf("router-%02d", index)), State: membership.State(index % 5 % 4),
		})
	}
	for key := range 50 {
		name := fmt.Sprint("key-", key)
		ranked := slices.DeleteFunc(slices.Clone(view.Members), func(member membership.Member) bool {
			return member.State == membership.Leaving || member.State == membership.Dead
		})
		slices.SortFunc(ranked, func(a, b membership.Member) int {
			return cmp.Compare(membership.RendezvousScore(name, string(b.Node)), membership.RendezvousScore(name, string(a.Node)))
		})
		for _, count := range []int{0, 1, 2, 3, len(ranked), 1000} {
			is.Equal(view.Owners(name, count), ranked[:min(count, len(ranked))])
		}
	}
	is.Equal(len(membership.View{}.Owners("key", 2)), 0)
}

// TestFleetVersionKeepsOwners activates a new fleet version on every router: each must
// observe the change of each other one, without an event that affects ownership.
func TestFleetVersionKeepsOwners(t *testing.T) {
	is := is.New(t)
	network := startCluster(t, 8, simnet.Config{Seed: 1})
	network.Run(time.Minute)
	for _, node := range network.Nodes {
		node.TakeEvents()
		network.Do(node, func(machine *membership.Machine, now time.Time) { machine.SetFleetVersion(now, 3, "sha256-abc") })
	}
	network.Run(time.Minute)
	for _, node := range network.Nodes {
		advanced := map[ident.Node]int{}
		for _, event := range node.TakeEvents() {
			is.True(event.Kind != membership.MemberChanged)
			if event.Kind == membership.MemberVersionChanged {
				is.Equal(event.Member.FleetVersion, uint64(3))
				advanced[event.Member.Node]++
			}
		}
		is.Equal(len(advanced), len(network.Nodes))
	}
}
