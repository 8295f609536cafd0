package faultboard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/standin/faultboard"
)

func newBoard() *faultboard.Board {
	return faultboard.New(7, []string{"outage", "slow"}, []string{"table", "objects"})
}

func TestDraw(t *testing.T) {
	start := time.Unix(1000, 0)
	onTable := faultboard.Fault{Service: "table", Kind: "slow", DurationMillis: 1000, DelayMillis: 30, OnlyWrites: true}
	cases := []struct {
		name    string
		service string
		write   bool
		after   time.Duration
		delay   time.Duration
	}{
		{"applies to writes", "table", true, 0, 30 * time.Millisecond},
		{"excludes reads", "table", false, 0, 0},
		{"excludes other services", "objects", true, 0, 0},
		{"active until its end", "table", true, 999 * time.Millisecond, 30 * time.Millisecond},
		{"inactive at its end", "table", true, time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			board := newBoard()
			is.NoErr(board.Inject(onTable, start))
			drawn := board.Draw(c.service, c.write, start.Add(c.after))
			is.Equal(drawn.Delay("slow"), c.delay)
			is.Equal(drawn.Has("slow"), c.delay > 0)
			is.True(!drawn.Has("outage"))
		})
	}
}

func TestProbabilityIsSeeded(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	pattern := func() (affected []bool, count int) {
		board := newBoard()
		is.NoErr(board.Inject(faultboard.Fault{Kind: "outage", DurationMillis: 1, Probability: 0.25}, start))
		for range 1000 {
			hit := board.Draw("table", true, start).Has("outage")
			affected = append(affected, hit)
			if hit {
				count++
			}
		}
		return affected, count
	}
	first, count := pattern()
	second, _ := pattern()
	is.Equal(first, second)
	is.True(count > 200 && count < 300) // the seed makes the count the same in every run
}

func TestInjectRejectsInvalidFaults(t *testing.T) {
	for _, bad := range []faultboard.Fault{
		{Kind: "unknown", DurationMillis: 1}, {Kind: "slow"}, {Kind: "slow", DurationMillis: 1, Service: "unknown"},
		{Kind: "slow", DurationMillis: 1, Probability: 1.5}, {Kind: "slow", DurationMillis: 1, DelayMillis: -1},
	} {
		is.New(t).True(fault.Is(newBoard().Inject(bad, time.Time{}), fault.BadRequest))
	}
}
