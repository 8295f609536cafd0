package scorer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/internal/routing/scorer"
)

const ms = time.Millisecond

func TestTimeToFirstToken(t *testing.T) {
	plugin := scorer.TimeToFirstToken{DefaultPrefillPerToken: ms, RequestDuration: 100 * ms}
	snapshot := &framework.Snapshot{Hop: func(ident.Zone) time.Duration { return 2 * ms }}
	cases := []struct {
		name   string
		load   framework.Load
		credit float64
		want   time.Duration
	}{
		{"idle, nothing cached", framework.Load{}, 0, 1002 * ms},
		{"idle, partly cached", framework.Load{}, 600, 402 * ms},
		{"credit above the prompt", framework.Load{}, 5000, 2 * ms},
		{"own slope and a queue", framework.Load{QueuedPrefillTokens: 50, PrefillPerToken: 2 * ms}, 900, 302 * ms},
		{"free batch slot", framework.Load{Running: 3, MaxRunning: 4, Waiting: 9}, 1000, 2 * ms},
		{"full batch", framework.Load{Running: 4, MaxRunning: 4, Waiting: 3}, 1000, 102 * ms},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			list := []framework.Candidate{{Endpoint: &framework.Endpoint{Load: test.load}, CreditTokens: test.credit}}
			plugin.Score(&framework.Request{PromptTokens: 1000}, snapshot, list)
			is.New(t).Equal(list[0].Cost, test.want)
		})
	}
}

func TestRecomputation(t *testing.T) {
	is := is.New(t)
	list := []framework.Candidate{{Endpoint: &framework.Endpoint{}, CreditTokens: 800}, {Endpoint: &framework.Endpoint{}, CreditTokens: 300}}
	plugin := scorer.Recomputation{DefaultPrefillPerToken: ms}
	plugin.Score(&framework.Request{}, nil, list)
	is.Equal(list[1].Cost, time.Duration(0)) // no weight, no cost
	plugin.Score(&framework.Request{RecomputationWeight: 1.5}, nil, list)
	is.Equal(list[0].Cost, time.Duration(0))
	is.Equal(list[1].Cost, 750*ms)
	plugin.Floor = 2
	plugin.Score(&framework.Request{RecomputationWeight: 1.5}, nil, list)
	is.Equal(list[1].Cost, 1750*ms)
}
