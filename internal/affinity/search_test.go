package affinity_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/affinity"
)

func routers(count int) []netip.AddrPort {
	var addrs []netip.AddrPort
	for index := range count {
		addrs = append(addrs, netip.MustParseAddrPort(fmt.Sprintf("10.%d.%d.1:99", index/250, index%250)))
	}
	return addrs
}

// Guards against records that no router finds again, since the one that asks knows other routers.
func TestRoutersThatKnowDifferentRoutersShareHolders(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, count := range []int{4, 7, 40, 300, 2000} {
		all := routers(count)
		without := func() []netip.AddrPort {
			missing := max(count/20, 1)
			known := slices.Clone(all)
			random.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
			return known[missing:]
		}
		for range 200 {
			key := affinity.KeyOf("t", "h", "/", "r")
			key[0], key[1] = byte(random.Uint32()), byte(random.Uint32())
			held := slices.Clone(affinity.Holders(key, without()))
			shared := slices.ContainsFunc(affinity.Holders(key, without()), func(addr netip.AddrPort) bool { return slices.Contains(held, addr) })
			if !shared {
				t.Fatalf("%d routers: no holder is shared", count)
			}
		}
	}
}

func search(known int, change func(*affinity.SearchConfig)) (*affinity.Search, []netip.AddrPort) {
	config := affinity.SearchConfig{Key: affinity.KeyOf("t", "h", "/", "r"), Service: "s", Routers: routers(known), All: true}
	change(&config)
	return affinity.NewSearch(start, config), config.Routers
}

// answerAll lets all routers that are asked answer at a time.
func answerAll(s *affinity.Search, now time.Time, answer affinity.Answer) {
	for _, addr := range s.Due(now) {
		s.Answer(addr, &answer)
	}
}

func none(*affinity.SearchConfig) {}

func TestHoldersAreAskedFirstAndAgain(t *testing.T) {
	is := is.New(t)
	s, all := search(7, none)
	first := s.Due(start)
	is.Equal(len(first), affinity.HolderCount)
	is.Equal(len(s.Due(start)), 0)
	second := s.Due(s.Next(start))
	is.Equal(len(second), len(all)) // nobody has answered
	s.Answer(all[0], &affinity.Answer{Known: true, Origin: v2, TTL: time.Minute})
	is.Equal(s.Result(start), affinity.Found{Origin: v2, TTL: time.Minute})
}

func TestAnswersOfRoutersThatWereNotAskedAreIgnored(t *testing.T) {
	is := is.New(t)
	s, all := search(7, none)
	asked := s.Due(start)
	for _, addr := range append(all, netip.MustParseAddrPort("10.9.9.9:1")) {
		if !slices.Contains(asked, addr) {
			s.Answer(addr, &affinity.Answer{Known: true, Origin: v2})
		}
	}
	is.Equal(s.Result(start), nil)
}

func TestResultOfSearch(t *testing.T) {
	prior := func(config *affinity.SearchConfig) { config.Prior, config.HasPrior = "v1", true }
	quorum := func(config *affinity.SearchConfig) { prior(config); config.Quorum = true }
	some := func(config *affinity.SearchConfig) { prior(config); config.All = false }
	agrees := affinity.Answer{Prior: "v1", HasPrior: true}
	foundPrior := affinity.Found{Origin: v1, TTL: affinity.MaxTTL}
	tests := []struct {
		name string
		// known is the number of other routers, answering how many of them answer.
		known, answering int
		config           func(*affinity.SearchConfig)
		answer           affinity.Answer
		want             affinity.Result
	}{
		{"a conflict", 7, 7, none, affinity.Answer{Known: true, Conflicting: true}, affinity.Conflicting{}},
		{"nobody knows", 7, 7, none, affinity.Answer{}, affinity.Unknown{Complete: true}},
		{"nobody answers", 7, 0, none, affinity.Answer{}, affinity.Unknown{}},
		{"one does not answer", 7, 6, prior, agrees, affinity.Unknown{}},
		{"all knew one release before", 7, 7, prior, agrees, foundPrior},
		{"one knew another release before", 7, 7, prior, affinity.Answer{Prior: "v2", HasPrior: true}, affinity.Unknown{Complete: true}},
		{"a restarted router knew none before", 7, 7, prior, affinity.Answer{}, affinity.Unknown{Complete: true}},
		{"not all routers are known", 7, 7, some, agrees, affinity.Unknown{Complete: true}},
		{"an old list, most agree", 7, 4, quorum, agrees, foundPrior},
		{"an old list, few agree", 7, 2, quorum, agrees, affinity.Unknown{}},
		{"an old list, others know more", 7, 4, quorum, affinity.Answer{}, affinity.Unknown{}},
		{"a single router", 0, 0, none, affinity.Answer{}, affinity.Unknown{Complete: true}},
		{"a single router with an old list", 0, 0, quorum, affinity.Answer{}, foundPrior},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, all := search(tt.known, tt.config)
			for now := start; now.Before(start.Add(affinity.SearchTime)); now = now.Add(10 * time.Millisecond) {
				for _, addr := range s.Due(now) {
					if slices.Index(all, addr) < tt.answering {
						s.Answer(addr, &tt.answer)
					}
				}
			}
			is.Equal(s.Result(start.Add(affinity.SearchTime)), tt.want)
		})
	}
}

// Where only the holders are asked, the search must tell what they know, and whether any of them did.
func TestResultOfSearchAmongHolders(t *testing.T) {
	tests := []struct {
		name             string
		known, answering int
		answer           affinity.Answer
		want             affinity.Result
	}{
		{"one has a record", 7, 7, affinity.Answer{Known: true, Origin: affinity.Origin{Service: "s", Release: "v2"}, TTL: time.Minute}, affinity.Found{Origin: affinity.Origin{Service: "s", Release: "v2"}, TTL: time.Minute}},
		{"none has one", 7, 7, affinity.Answer{Prior: "v1", HasPrior: true}, affinity.Unknown{Complete: true}},
		{"one knows of several releases", 7, 7, affinity.Answer{Several: true}, affinity.Unknown{Complete: true, Several: true}},
		{"none answers", 7, 0, affinity.Answer{}, affinity.Unknown{}},
		{"there are no others", 0, 0, affinity.Answer{}, affinity.Unknown{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, all := search(tt.known, func(cfg *affinity.SearchConfig) { cfg.HoldersOnly, cfg.Prior, cfg.HasPrior = true, "v1", true })
			asked := map[netip.AddrPort]bool{}
			for now := start; now.Before(start.Add(affinity.HoldersSearchTime)); now = now.Add(10 * time.Millisecond) {
				for _, addr := range s.Due(now) {
					asked[addr] = true
					if slices.Index(all, addr) < tt.answering {
						s.Answer(addr, &tt.answer)
					}
				}
			}
			is.Equal(s.Result(start.Add(affinity.HoldersSearchTime)), tt.want)
			is.True(len(asked) <= affinity.HolderCount)
		})
	}
}

// A router that knows fewer routers than another one must not conclude from the answers of those.
func TestRoutersThatAreNotKnownMayHaveARecord(t *testing.T) {
	for _, tt := range []struct {
		routers int
		found   bool
	}{{8, true}, {9, false}} {
		s, _ := search(7, func(cfg *affinity.SearchConfig) { cfg.Prior, cfg.HasPrior = "v1", true })
		for _, now := range []time.Time{start, start.Add(50 * time.Millisecond)} {
			answerAll(s, now, affinity.Answer{Prior: "v1", HasPrior: true, Routers: tt.routers})
		}
		_, found := s.Result(start.Add(affinity.SearchTime)).(affinity.Found)
		is.New(t).Equal(found, tt.found)
	}
}

func TestSearchEndsOnceAllHaveAnswered(t *testing.T) {
	is := is.New(t)
	s, _ := search(7, none)
	answerAll(s, start, affinity.Answer{})
	answerAll(s, start, affinity.Answer{})
	is.Equal(s.Result(start), affinity.Unknown{Complete: true})
}
