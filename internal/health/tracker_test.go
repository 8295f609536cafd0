package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/health"
	"github.com/fieldpond/fieldpond/internal/ident"
)

var start = time.Unix(1000, 0)

const watched = 6

func name(index int) ident.Incarnation { return ident.Incarnation(fmt.Sprintf("i-%d", index)) }

func tracker() *health.Tracker {
	var records []backend.Record
	for index := range watched {
		records = append(records, backend.Record{Instance: name(index)})
	}
	tracked := health.NewTracker(health.Config{})
	tracked.Watch(start, records)
	return tracked
}

// timeout is how long a check of an engine that does not answer takes.
const timeout = 300 * time.Millisecond

// simulateChecks checks engines for a time; answers returns whether an engine answers at a time
// after the start. It returns the time after the start at which each engine was first silent.
func simulateChecks(tracked *health.Tracker, last time.Duration, answers func(index int, after time.Duration) bool) map[ident.Incarnation]time.Duration {
	first := make(map[ident.Incarnation]time.Duration)
	missedAt := make(map[ident.Incarnation]time.Duration)
	for after := time.Duration(0); after <= last; after += 10 * time.Millisecond {
		now := start.Add(after)
		for instance, at := range missedAt {
			if after >= at {
				tracked.ObserveMiss(now, instance)
				delete(missedAt, instance)
			}
		}
		for _, record := range tracked.Due(now) {
			var index int
			_, _ = fmt.Sscanf(string(record.Instance), "i-%d", &index)
			if answers(index, after) {
				tracked.ObserveAnswer(now, record.Instance, 0, 1)
			} else {
				missedAt[record.Instance] = after + timeout
			}
		}
		for _, instance := range tracked.Silent(now) {
			if _, known := first[instance]; !known {
				first[instance] = after
			}
		}
	}
	return first
}

func TestSilentEngines(t *testing.T) {
	const dies = time.Second
	tests := []struct {
		name    string
		answers func(index int, after time.Duration) bool
		silent  int
	}{
		{"all answer", func(int, time.Duration) bool { return true }, 0},
		{"one dies", func(index int, after time.Duration) bool { return index != 2 || after < dies }, 1},
		{"half of them die", func(index int, after time.Duration) bool { return index >= watched/2 || after < dies }, watched / 2},
		{"this router is cut off", func(_ int, after time.Duration) bool { return after < dies }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tracked := tracker()
			first := simulateChecks(tracked, 3*dies, tt.answers)
			is.Equal(len(first), tt.silent)
			for _, silentFrom := range first {
				is.True(silentFrom >= dies)
				is.True(silentFrom <= dies+1200*time.Millisecond)
			}
		})
	}
}

func TestOneMissedCheckIsNotSilence(t *testing.T) {
	is := is.New(t)
	checks := 0
	first := simulateChecks(tracker(), 5*time.Second, func(index int, _ time.Duration) bool {
		if index == 1 {
			checks++
		}
		return index != 1 || checks%2 == 0
	})
	is.Equal(len(first), 0)
}

func TestSilentEngineThatAnswersIsReportedOnce(t *testing.T) {
	is := is.New(t)
	tracked := tracker()
	simulateChecks(tracked, time.Second, func(index int, _ time.Duration) bool { return index != 3 })
	now := start.Add(time.Second)
	before := tracked.Silent(now)
	is.Equal(before, []ident.Incarnation{name(3)})
	tracked.ObserveAnswer(now, name(3), 0, 1)
	is.Equal(health.NewNotification(before, tracked.Silent(now)), health.Notification{Answering: []ident.Incarnation{name(3)}})
	is.Equal(health.NewNotification(nil, before), health.Notification{Silent: before})
	tracked.ObserveMiss(start, "gone")
	tracked.ObserveAnswer(start, "gone", 4, 1)
	is.Equal(len(tracked.QueueUpdates()), 0)
}

func TestQueuesAreReportedUntilEmpty(t *testing.T) {
	is := is.New(t)
	tracked := tracker()
	tracked.ObserveAnswer(start, name(4), 7, 1)
	tracked.ObserveAnswer(start, name(1), 2, 1)
	is.Equal(tracked.QueueUpdates(), []health.Queue{{Instance: name(1), Waiting: 2}, {Instance: name(4), Waiting: 7}})
	tracked.ObserveAnswer(start, name(4), 0, 1)
	tracked.ObserveMiss(start, name(1))
	is.Equal(tracked.QueueUpdates(), []health.Queue{{Instance: name(1)}, {Instance: name(4)}})
	is.Equal(len(tracked.QueueUpdates()), 0)
}

// A postponed check is no evidence of silence, and is due again.
func TestPostponedCheckIsNoEvidence(t *testing.T) {
	is := is.New(t)
	tracked := tracker()
	due := 0
	for after := time.Duration(0); after <= 3*time.Second; after += 10 * time.Millisecond {
		for _, record := range tracked.Due(start.Add(after)) {
			due++
			tracked.Postpone(start.Add(after), record.Instance)
		}
		is.Equal(len(tracked.Silent(start.Add(after))), 0)
	}
	is.True(due >= 6*watched)
	is.Equal(len(tracked.QueueUpdates()), 0)
}

// The checks of one router must not grow with the engines that it checks.
func TestChecksPerSecondAreBounded(t *testing.T) {
	is := is.New(t)
	for _, engines := range []int{40, 200, 2000} {
		var records []backend.Record
		for index := range engines {
			records = append(records, backend.Record{Instance: ident.Incarnation(fmt.Sprint(index))})
		}
		tracked := health.NewTracker(health.Config{})
		tracked.Watch(start, records)
		checks := 0
		const seconds = 40
		for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(50 * time.Millisecond) {
			for _, due := range tracked.Due(now) {
				checks++
				tracked.ObserveAnswer(now, due.Instance, 0, 1)
			}
		}
		is.True(checks <= 110*seconds)
		is.True(checks >= 70*seconds)
	}
}

// Idle engines that several routers check are checked less often, busy ones are not.
func TestSharedIdleEnginesAreCheckedLessOften(t *testing.T) {
	tests := []struct {
		name    string
		shared  bool
		running int
		after   time.Duration
	}{
		{"alone, idle", false, 0, 400 * time.Millisecond}, {"alone, busy", false, 1, 400 * time.Millisecond},
		{"shared, idle", true, 0, 1600 * time.Millisecond}, {"shared, busy", true, 1, 400 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tracked := health.NewTracker(health.Config{})
			tracked.SetShared(tt.shared)
			tracked.Watch(start, []backend.Record{{Instance: name(1)}})
			is.Equal(len(tracked.Due(start)), 1)
			tracked.ObserveAnswer(start, name(1), 0, tt.running)
			is.Equal(len(tracked.Due(start.Add(tt.after-time.Millisecond))), 0)
			is.Equal(len(tracked.Due(start.Add(tt.after))), 1)
		})
	}
}
