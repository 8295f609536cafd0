package detour

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pathStep is one input of Paths at a time, and what a plan must be right after it.
type pathStep struct {
	at time.Duration
	// direct and lost are addresses that were reached directly, or only by another router.
	direct, lost string
	// address is planned; the plan must make a direct attempt or not, and ask after a time.
	address   string
	probes    bool
	helpAfter time.Duration
}

// A router must use other routers once it loses its links, and its own soon after they work again.
func TestPlansFollowLostAndRegainedLinks(t *testing.T) {
	tests := []struct {
		name  string
		steps []pathStep
	}{
		{"a working link is used, and hedged", []pathStep{{address: "a", probes: true, helpAfter: hedgeDelay}}},
		{"one lost address says nothing of others", []pathStep{
			{lost: "a", address: "b", probes: true, helpAfter: hedgeDelay},
			{address: "a", probes: true, helpAfter: probeHeadStart},
			{address: "a"},
		}},
		{"three lost addresses stand for all", []pathStep{
			{lost: "a", address: "b", probes: true, helpAfter: hedgeDelay},
			{lost: "b", address: "c", probes: true, helpAfter: hedgeDelay},
			{lost: "e", address: "c", probes: true, helpAfter: probeHeadStart},
			{address: "c"},
			{address: "d"},
			{at: probeInterval, address: "d", probes: true, helpAfter: probeHeadStart},
			{at: probeInterval, address: "a"},
		}},
		{"one direct connection ends the loss of all", []pathStep{
			{lost: "a", address: "b", probes: true, helpAfter: hedgeDelay},
			{lost: "b", address: "c", probes: true, helpAfter: hedgeDelay},
			{lost: "e", address: "c", probes: true, helpAfter: probeHeadStart},
			{direct: "c", address: "d", probes: true, helpAfter: hedgeDelay},
		}},
		{"an address stays lost until it is reached itself", []pathStep{
			{lost: "a", address: "a", probes: true, helpAfter: probeHeadStart},
			{direct: "b", address: "a"},
			{direct: "a", address: "a", probes: true, helpAfter: hedgeDelay},
		}},
		{"a lost address is forgotten", []pathStep{
			{lost: "a", address: "a", probes: true, helpAfter: probeHeadStart},
			{at: lostTTL, address: "a", probes: true, helpAfter: hedgeDelay},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			paths := NewPaths()
			for _, step := range tt.steps {
				now := start.Add(step.at)
				if step.lost != "" {
					paths.ObserveLost(now, step.lost)
				}
				if step.direct != "" {
					paths.ObserveDirect(now, step.direct)
				}
				is.Equal(paths.Plan(now, step.address), Plan{Direct: step.probes, HelpAfter: step.helpAfter})
			}
		})
	}
}

// A router that reaches nothing must not testify against back ends.
func TestFailuresAtSeveralBackEndsAreNoProof(t *testing.T) {
	is := is.New(t)
	paths := NewPaths()
	paths.ObserveFailed("a")
	paths.ObserveFailed("a")
	is.True(paths.Credible())
	paths.ObserveFailed("b")
	is.True(!paths.Credible())
	paths.ObserveDirect(time.Unix(1000, 0), "c")
	is.True(paths.Credible())
	paths.ObserveFailed("a")
	paths.ObserveFailed("b")
	paths.ObserveAnswer()
	is.True(paths.Credible())
}

// The begin and the end of the loss of all back ends must each be reported once.
func TestLossOfAllIsReportedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	paths := NewPaths()
	is.True(!paths.ObserveLost(now, "a"))
	is.True(!paths.ObserveLost(now, "a"))
	is.True(!paths.ObserveLost(now, "b"))
	is.Equal(paths.AllLostFor(now), time.Duration(0))
	is.True(paths.ObserveLost(now, "e"))
	is.True(!paths.ObserveLost(now.Add(time.Second), "c"))
	is.True(paths.AllLost())
	is.Equal(paths.AllLostFor(now.Add(time.Second)), time.Second)
	is.True(paths.ObserveDirect(now, "c"))
	is.True(!paths.ObserveDirect(now, "c"))
	is.True(paths.Lost(now, "a"))
	is.True(!paths.Lost(now, "d"))
}
