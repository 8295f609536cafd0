package membership

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// TestMachineInvariants sends arbitrary authentic messages to a machine.
func TestMachineInvariants(t *testing.T) {
	names := []ident.Node{"a", "b", "c", "self", "z"}
	rumours := rapid.Custom(func(t *rapid.T) Rumour {
		return Rumour{
			Node:          rapid.SampledFrom(names).Draw(t, "node"),
			GossipAddress: rapid.SampledFrom([]string{"", "x:1", "y:2"}).Draw(t, "address"),
			Incarnation:   rapid.Uint64Range(0, 12).Draw(t, "incarnation"),
			State:         State(rapid.IntRange(0, 3).Draw(t, "state")),
			FleetVersion:  rapid.Uint64Range(0, 3).Draw(t, "version"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(0)
		self := Member{Node: "self", GossipAddress: "s:1", Incarnation: 5}
		machine, err := NewMachine(now, self, Timing{}, rand.New(rand.NewSource(1)))
		if err != nil {
			t.Fatal(err)
		}
		before := machine.View()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.Bool().Draw(t, "tick") {
				machine.Tick(now)
			} else {
				machine.Step(now, "x:1", &Message{
					Kind:     MessageKind(rapid.IntRange(int(KindPing), int(KindGossip)).Draw(t, "kind")),
					Sequence: rapid.Uint64Range(0, 9).Draw(t, "sequence"),
					From:     rapid.SampledFrom(names).Draw(t, "from"),
					Target:   rapid.SampledFrom(names).Draw(t, "target"),
					Rumours:  rapid.SliceOfN(rumours, 0, 4).Draw(t, "rumours"),
					Buckets:  make([]byte, bucketCount*bucketBytes),
				})
			}
			after := machine.View()
			checkInvariants(t, before, after)
			before = after
			codec, _ := NewCodec(testKey)
			for _, envelope := range machine.Ready().Messages {
				if _, err := codec.Seal(&envelope.Message); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

func checkInvariants(t *rapid.T, before, after View) {
	sorted := slices.IsSortedFunc(after.Members, func(a, b Member) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	if !sorted {
		t.Fatal("the view is not sorted, or contains a node twice")
	}
	for _, member := range after.Members {
		if member.Node == after.Self && member.State != Alive {
			t.Fatal("a running router sees itself as", member.State)
		}
		for _, former := range before.Members {
			if former.Node != member.Node {
				continue
			}
			if member.Incarnation < former.Incarnation {
				t.Fatal("an incarnation decreased:", member, former)
			}
			if member.Incarnation == former.Incarnation && member.State < former.State {
				t.Fatal("a state decreased within an incarnation:", member, former)
			}
		}
	}
}
