package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// adopterWorld is the truth around one Adopter: accepted files, and a second
// sound file for each version that was never accepted.
type adopterWorld struct {
	accepted [][]byte
	never    [][]byte
	byDigest map[Digest][]byte
}

func newAdopterWorld(versions int) *adopterWorld {
	world := &adopterWorld{byDigest: map[Digest][]byte{}}
	for version := range versions {
		accepted, never := smallFile(fmt.Sprint("a", version)), smallFile(fmt.Sprint("n", version))
		world.accepted, world.never = append(world.accepted, accepted), append(world.never, never)
		world.byDigest[DigestOf(accepted)], world.byDigest[DigestOf(never)] = accepted, never
	}
	return world
}

func (w *adopterWorld) pair(version Version) Pair {
	return Pair{Version: version, Digest: DigestOf(w.accepted[version-1])}
}

// TestAdopterNeverReverts feeds the machine true, stale, false and broken
// answers in any order, then lets the table and peers answer truly.
func TestAdopterNeverReverts(t *testing.T) {
	world := newAdopterWorld(6)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		adopter := NewAdopter(now, func() float64 { return 0.5 })
		adopter.SetSurroundings(now, Surroundings{
			Poller: rapid.Bool().Draw(t, "poller"), Members: rapid.SampledFrom([]int{3, 100}).Draw(t, "members"),
			Peers: []Peer{{Address: "p1", SameZone: true, Poller: true}, {Address: "p2"}},
		})
		tableVersion := Version(1)
		var open []AdoptAction
		tabled := map[Pair]bool{}
		last := Pair{}
		observe := func(actions []AdoptAction) {
			for _, action := range actions {
				if action.Kind != ActionAdopt {
					open = append(open, action)
					continue
				}
				if action.Pair.Version < last.Version {
					t.Fatalf("reverted from %v to %v", last, action.Pair)
				}
				if action.Pair.Version == last.Version && !tabled[action.Pair] {
					t.Fatalf("replaced %v by %v without the table's word", last, action.Pair)
				}
				if DigestOf(action.Body) != action.Pair.Digest {
					t.Fatalf("adopted a body that is not %v", action.Pair)
				}
				last = action.Pair
			}
		}
		answer := func(action AdoptAction, honest bool) {
			version := Version(rapid.IntRange(1, int(tableVersion)).Draw(t, "answer"))
			if honest {
				version = tableVersion
			}
			fails := !honest && rapid.IntRange(0, 2).Draw(t, "fails") == 0
			switch {
			case action.Kind == ActionPollTable && fails:
				adopter.PollFailed(now, 0)
			case action.Kind == ActionPollTable:
				tabled[world.pair(version)] = true // a late answer may be an old one
				adopter.HeadPolled(now, world.pair(version), true)
			case action.Kind == ActionAskPeer && fails:
				adopter.PeerFailed(action.Address)
			case action.Kind == ActionAskPeer:
				adopter.PeerAnswered(now, action.Address, world.pair(version))
			case fails || world.byDigest[action.Pair.Digest] == nil:
				adopter.FetchFailed(now)
			case !honest && rapid.IntRange(0, 3).Draw(t, "wrong") == 0:
				observe(adopter.BodyReceived(now, rapid.SampledFrom([][]byte{nil, []byte("x"), world.never[0]}).Draw(t, "body")))
			default:
				observe(adopter.BodyReceived(now, world.byDigest[action.Pair.Digest]))
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds")) * time.Millisecond)
			version := Version(rapid.IntRange(1, int(tableVersion)).Draw(t, "version"))
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				tableVersion = min(tableVersion+1, Version(len(world.accepted)))
			case 1:
				adopter.Heard(now, world.pair(version), "p1")
			case 2:
				adopter.Heard(now, Pair{Version: version, Digest: DigestOf(world.never[version-1])}, "p2")
			case 3:
				adopter.Heard(now, Pair{Version: tableVersion + 5, Digest: "nobody has this"}, "p2")
			default:
				if len(open) > 0 {
					index := rapid.IntRange(0, len(open)-1).Draw(t, "open")
					action := open[index]
					open = append(open[:index:index], open[index+1:]...)
					answer(action, false)
				}
			}
			observe(adopter.Tick(now))
		}
		for range 400 {
			for _, action := range append([]AdoptAction(nil), open...) {
				open = open[1:]
				answer(action, true)
			}
			observe(adopter.Tick(now))
			now = later(now, adopter.NextTick(now))
		}
		if adopter.Current() != world.pair(tableVersion) {
			t.Fatalf("in force %v, accepted %v", adopter.Current(), world.pair(tableVersion))
		}
	})
}

// TestStartTakesTheTablesWordFirst: a peer that lags must not bring back an
// older version on a node that restarts while the table answers.
func TestStartTakesTheTablesWordFirst(t *testing.T) {
	world := newAdopterWorld(3)
	cases := []struct {
		name  string
		table bool
		want  Version
	}{{"table answers", true, 3}, {"table is down", false, 2}}
	for _, test := range cases {
		now := time.Unix(1000, 0)
		adopter := NewAdopter(now, func() float64 { return 0.5 })
		adopter.SetSurroundings(now, Surroundings{Members: 3, Peers: []Peer{{Address: "p1"}, {Address: "p2"}}})
		adopter.PeerAnswered(now, "p1", world.pair(1))
		for _, action := range adopter.Tick(now) {
			if action.Kind == ActionFetchBody {
				t.Errorf("%s: fetched %v before the table was heard", test.name, action.Pair)
			}
		}
		adopter.PeerAnswered(now, "p2", world.pair(2))
		if test.table {
			adopter.HeadPolled(now, world.pair(3), true)
		} else {
			adopter.PollFailed(now, 0)
		}
		for _, action := range adopter.Tick(now) {
			if action.Kind == ActionFetchBody {
				adopter.BodyReceived(now, world.byDigest[action.Pair.Digest])
			}
		}
		if adopter.Current() != world.pair(test.want) {
			t.Errorf("%s: in force %v, want version %d", test.name, adopter.Current(), test.want)
		}
	}
}
