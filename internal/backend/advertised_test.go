package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// listOf returns records of back ends of one service that run a model.
func listOf(revision uint64, instances ...ident.Incarnation) []Record {
	var records []Record
	for _, instance := range instances {
		records = append(records, Record{
			Instance: instance, Service: "s", Models: map[ident.Model]int{"m": 1}, Revision: revision,
		})
	}
	return records
}

var modelQuery = Query{Service: "s", Model: "m", SpreadKey: 1}

// Once a back end advertised a drain, only its next incarnation gets work, whatever other
// sources report in any order.
func TestOnlyNewIncarnationEndsDrain(t *testing.T) {
	at := time.Unix(1000, 0)
	advertiseDrain := func(r *Registry) { r.ObserveAdvertised(at, "e@1", at, Advertised{Draining: true}, SourceAnswer) }
	tests := []struct {
		name string
		// course is what happens in the two seconds after the first list.
		course func(r *Registry)
		chosen ident.Incarnation
	}{
		{"an answer", advertiseDrain, ""},
		{"a report", func(r *Registry) { r.ObserveAdvertised(at, "e@1", at, Advertised{Draining: true}, SourceReport) }, ""},
		{"a peer", func(r *Registry) { r.ApplyUpdates(at, []StateUpdate{{Instance: "e@1", Draining: true}}) }, ""},
		{"the list", func(r *Registry) {
			records := listOf(2, "e@1")
			records[0].Draining = true
			r.ApplyList(at.Add(time.Second), records)
		}, ""},
		{"and its entry is written again", func(r *Registry) {
			advertiseDrain(r)
			r.ApplyList(at.Add(time.Second), listOf(9, "e@1"))
		}, ""},
		{"and its entry is written late", func(r *Registry) {
			advertiseDrain(r)
			r.ApplyList(at.Add(time.Second), listOf(0, "e@1"))
		}, ""},
		{"and it is unlisted and listed again", func(r *Registry) {
			advertiseDrain(r)
			r.ApplyList(at.Add(time.Second), nil)
			r.ApplyList(at.Add(2*time.Second), listOf(9, "e@1"))
		}, ""},
		{"while it is unlisted, and it is listed again", func(r *Registry) {
			r.ApplyList(at.Add(time.Second), nil)
			advertiseDrain(r)
			r.ApplyList(at.Add(2*time.Second), listOf(9, "e@1"))
		}, ""},
		{"reported before it was listed", func(r *Registry) {
			r.ApplyList(at.Add(time.Second), nil)
			r.ApplyUpdates(at.Add(time.Second), []StateUpdate{{Instance: "f@1", Draining: true}})
			r.ApplyList(at.Add(2*time.Second), listOf(9, "f@1"))
		}, ""},
		{"and the store is restored from an older copy", func(r *Registry) {
			advertiseDrain(r)
			r.StoreRestored(at.Add(time.Second))
			r.ApplyList(at.Add(time.Second), nil)
			r.ApplyList(at.Add(2*time.Second), listOf(1, "e@1"))
		}, ""},
		{"and a reordered answer omits it", func(r *Registry) {
			advertiseDrain(r)
			r.ObserveAdvertised(at.Add(time.Second), "e@1", at.Add(-time.Second), Advertised{}, SourceAnswer)
		}, ""},
		{"and a peer's update omits it", func(r *Registry) {
			advertiseDrain(r)
			r.ApplyUpdates(at.Add(time.Second), []StateUpdate{{Instance: "e@1", Sequence: 1, Limited: true, Rate: 100}})
		}, ""},
		{"and its next incarnation begins", func(r *Registry) {
			advertiseDrain(r)
			r.ApplyList(at.Add(time.Second), listOf(2, "e@2"))
		}, "e@2"},
		{"and updates of the former incarnation come late", func(r *Registry) {
			r.ApplyList(at.Add(time.Second), listOf(2, "e@2"))
			advertiseDrain(r)
			r.ApplyUpdates(at.Add(time.Second), []StateUpdate{{Instance: "e@1", Draining: true}})
		}, "e@2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(Config{})
			r.ApplyList(at, listOf(1, "e@1"))
			tt.course(r)
			choice, _, found := r.Pick(at.Add(5*time.Second), &modelQuery)
			is.Equal(found, tt.chosen != "")
			is.Equal(choice.Instance, tt.chosen)
			for _, record := range r.Records() {
				is.Equal(record.Draining, record.Instance != tt.chosen)
			}
		})
	}
}

// A list that is sent on includes the drains that back ends advertised.
func TestMarkDraining(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.ApplyList(at, listOf(1, "e", "f"))
	r.ObserveAdvertised(at, "e", at, Advertised{Draining: true}, SourceAnswer)
	records := listOf(2, "e", "f")
	r.MarkDraining(records)
	is.True(records[0].Draining)
	is.True(!records[1].Draining)
}

// If all back ends are draining, attempts are placed there for a moment after the drains began,
// and refused later.
func TestLastDrainingBackendsServeBriefly(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{DrainServeTime: time.Second})
	r.ApplyList(at, listOf(1, "e", "f"))
	r.ObserveAdvertised(at, "e", at, Advertised{Draining: true}, SourceAnswer)
	choice, _, _ := r.Pick(at, &modelQuery)
	is.Equal(choice.Instance, ident.Incarnation("f")) // the only one that is not draining
	r.ObserveAdvertised(at, "f", at, Advertised{Draining: true}, SourceAnswer)
	_, attempt, found := r.Pick(at.Add(900*time.Millisecond), &modelQuery)
	is.True(found)
	is.True(!attempt.MustWithdraw(at.Add(900 * time.Millisecond)))
	is.True(attempt.MustWithdraw(at.Add(time.Second))) // the connection setup took too long
	_, _, found = r.Pick(at.Add(time.Second), &modelQuery)
	is.True(!found)
	is.Equal(r.Availability(at.Add(time.Second), &modelQuery), AllDraining{})
	r.ApplyList(at.Add(2*time.Second), listOf(2, "e", "f", "g"))
	choice, _, _ = r.Pick(at.Add(2*time.Second), &modelQuery)
	is.Equal(choice.Instance, ident.Incarnation("g"))
}

// State updates of peers about unlisted back ends take bounded memory.
func TestStateUpdatesOfUnlistedBackendsAreBounded(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	for index := range 2 * maxRemoved {
		r.ApplyUpdates(at, []StateUpdate{{Instance: ident.Incarnation(string(rune('a' + index))), Draining: true}})
	}
	is.True(len(r.removed) <= maxRemoved)
	r.ApplyList(at.Add(2*removedTTL), nil)
	is.Equal(len(r.removed), 0)
}
