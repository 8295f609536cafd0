package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// Short prompts move from engines with older weights to those with the newest if enough engines
// have those; long shared parts stay at their home.
func TestNewerWeightsArePreferred(t *testing.T) {
	const engines = 10
	short := func() *backend.Query {
		return &backend.Query{Service: "s", Model: model, HomeKey: 42, SharedTokens: 200, OwnTokens: 100}
	}
	tests := []struct {
		name      string
		query     *backend.Query
		newer     int
		published int
		without   []string
		// newest is whether an engine with the newest weights is chosen.
		newest bool
	}{
		{"a short prompt, most have them", short(), engines - 1, 2, nil, true},
		{"a short prompt, half have them", short(), engines / 2, 2, nil, true},
		{"a short prompt, none has them", short(), 0, 2, nil, false},
		{"a long shared part", query(), engines - 1, 2, nil, false},
		{"no version was published", short(), engines - 1, 0, nil, false},
		{"switched off", short(), engines - 1, 2, []string{string(mechanism.NewerWeights)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			disabled, fault := mechanism.ParseDisabled(tt.without)
			is.True(fault == nil)
			var records []backend.Record
			for index := range engines {
				records = append(records, engine(ident.Incarnation(fmt.Sprintf("i-%d", index)), 1))
			}
			known := backend.NewRegistry(backend.Config{Zone: "z", Disabled: disabled})
			known.ApplyList(start, records)
			home, attempt := pick(t, known, start, tt.query)
			attempt.End(start, backend.Answered)
			newer := 0
			for _, record := range records {
				if record.Instance != home.Instance && newer < tt.newer {
					known.ObserveVersion(record.Instance, model, 2)
					newer++
				}
			}
			if tt.published > 0 {
				tt.query.Expiries = []backend.Expiry{{Version: tt.published, At: start.Add(time.Minute)}}
			}
			choice, _ := pick(t, known, start, tt.query)
			is.Equal(choice.Version == 2, tt.newest)
			is.Equal(choice.Instance == home.Instance, !tt.newest)
		})
	}
}

// The headroom of a service falls as its answers come later than predicted.
func TestHeadroom(t *testing.T) {
	tests := []struct {
		name        string
		late        time.Duration
		least, most float64
	}{
		{"in time", 0, 1, 1},
		{"late", 200 * time.Millisecond, 0.3, 0.9},
		{"very late", 5 * time.Second, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(engine("a", 1))
			now := start
			for range 20 {
				choice, attempt := pick(t, known, now, query())
				now = now.Add(choice.Predicted + tt.late)
				attempt.ObserveBytes(now)
				attempt.End(now, backend.Answered)
			}
			headroom := known.Headroom(now, "s")
			is.True(headroom >= tt.least)
			is.True(headroom <= tt.most)
		})
	}
}
