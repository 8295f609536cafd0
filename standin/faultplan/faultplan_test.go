package faultplan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
)

const example = `
seed: 7
faults:
  - {at: 10s, duration: 5s, target: engine-1, kind: crash}
  - {at: 12s, duration: 1m, target: "engine-*", kind: event_loss, parameters: {probability: 0.25}}
  - {at: 20s, duration: 2s, target: engine-2, kind: event_loss, parameters: {probability: 1}}
  - {at: 30s, target: "*", kind: rate, parameters: {rate: 2.5, delay: 250ms}}
`

func TestActive(t *testing.T) {
	cases := []struct {
		target  string
		kind    Kind
		elapsed time.Duration
		active  bool
		at      time.Duration
	}{
		{"engine-1", Crash, 9999 * time.Millisecond, false, 0},
		{"engine-1", Crash, 10 * time.Second, true, 10 * time.Second},
		{"engine-1", Crash, 15 * time.Second, false, 0},
		{"engine-2", Crash, 11 * time.Second, false, 0},
		{"engine-2", EventLoss, 21 * time.Second, true, 20 * time.Second}, // the later start takes precedence
		{"engine-2", EventLoss, 23 * time.Second, true, 12 * time.Second},
		{"table", Rate, 900 * time.Hour, true, 30 * time.Second}, // no duration: until the end of the run
	}
	plan, err := Parse([]byte(example))
	is.New(t).NoErr(err)
	for _, test := range cases {
		t.Run(test.target+" "+string(test.kind)+" "+test.elapsed.String(), func(t *testing.T) {
			is := is.New(t)
			found, active := plan.Active(test.target, test.kind, test.elapsed)
			is.Equal(active, test.active)
			is.Equal(time.Duration(found.At), test.at)
		})
	}
	is := is.New(t)
	is.Equal(plan.TransitionTimes("engine-1"), []time.Duration{10 * time.Second, 12 * time.Second, 15 * time.Second, 30 * time.Second, 72 * time.Second})
	plan.Prune(30 * time.Second)
	is.Equal(len(plan.Faults), 2)
}

func TestParseRejectsInvalidPlans(t *testing.T) {
	cases := map[string]string{
		"unknown field":      "faults: [{at: 1s, target: a, kind: crash, colour: red}]",
		"unknown parameter":  "faults: [{at: 1s, target: a, kind: crash, parameters: {p: 1}}]",
		"no target":          "faults: [{at: 1s, kind: crash}]",
		"no kind":            "faults: [{at: 1s, target: a}]",
		"negative time":      "faults: [{at: -1s, target: a, kind: crash}]",
		"bad duration":       "faults: [{at: 1, target: a, kind: crash}]",
		"probability":        "faults: [{at: 1s, target: a, kind: crash, parameters: {probability: 1.5}}]",
		"not a number":       "faults: [{at: 1s, target: a, kind: crash, parameters: {probability: .nan}}]",
		"factor below one":   "faults: [{at: 1s, target: a, kind: slow, parameters: {factor: 0.5}}]",
		"broken pattern":     "faults: [{at: 1s, target: \"[\", kind: crash}]",
		"not a YAML mapping": "- 1",
	}
	for name, content := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(content))
			is.New(t).True(fault.Is(err, fault.InvalidSettings))
		})
	}
}
