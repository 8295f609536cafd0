package eventlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Filter selects the lines of a Timeline. Exactly one field is set.
type Filter struct {
	// Request selects the lines about one request.
	Request string
	// Instance selects the lines about one back end, except those about requests.
	Instance string
	// Configuration selects the lines about configurations and versions.
	Configuration bool
	// Rollout selects the lines about rollouts of this service.
	Rollout string
}

// rolloutEventPrefix is the prefix of the names of rollout events.
const rolloutEventPrefix = "rollout_"

// configurationEvents are the names of events about configurations and versions.
var configurationEvents = map[string]bool{
	"configuration_adopted": true, "configuration_row_outdated": true, "version_named": true, "version_recalled": true,
	"version_row_outdated": true, "naming_not_kept": true, "namings_not_found": true,
	"dependency_lost": true, "dependency_regained": true,
}

func (f Filter) matches(line map[string]any) bool {
	switch {
	case f.Request != "":
		return line["request"] == ID(f.Request)
	case f.Instance != "":
		return line["instance"] == f.Instance && line["request"] == nil
	case f.Rollout != "":
		event, _ := line["event"].(string)
		return strings.HasPrefix(event, rolloutEventPrefix) && line["service"] == f.Rollout
	default:
		event, _ := line["event"].(string)
		return configurationEvents[event]
	}
}

// Timeline merges the matching lines of several logs in order of time.
type Timeline struct {
	filter Filter
	lines  []map[string]any
}

// NewTimeline returns an empty timeline.
func NewTimeline(filter Filter) *Timeline { return &Timeline{filter: filter} }

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Read adds the matching lines of one log. Lines without a JSON object are
// skipped.
func (t *Timeline) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var line map[string]any
		if json.Unmarshal(text[begin:], &line) == nil && t.filter.matches(line) {
			t.lines = append(t.lines, line)
		}
	}
	return scanner.Err()
}

// leadingFields are the fields printed first, in this order.
var leadingFields = []string{"at", "node", "event"}

// Lines returns the lines as text in order of time. Each router's times come
// from its own clock.
func (t *Timeline) Lines() []string {
	slices.SortStableFunc(t.lines, func(a, b map[string]any) int {
		return strings.Compare(fmt.Sprint(a["at"]), fmt.Sprint(b["at"]))
	})
	texts := make([]string, 0, len(t.lines))
	for _, line := range t.lines {
		texts = append(texts, formatLine(line))
	}
	return texts
}

func formatLine(line map[string]any) string {
	var text strings.Builder
	for _, name := range leadingFields {
		fmt.Fprintf(&text, "%v  ", line[name])
	}
	for _, name := range slices.Sorted(maps.Keys(line)) {
		if slices.Contains(leadingFields, name) || name == "level" || name == "request" {
			continue
		}
		fmt.Fprintf(&text, "%s=%v ", name, line[name])
	}
	return strings.TrimRight(text.String(), " ")
}
