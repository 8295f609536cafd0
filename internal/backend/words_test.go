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

var wordsQuery = Query{Service: "s", Model: "m", SpreadKey: 1}

// Once a back end said that it leaves nothing takes that back but its next life, whichever source
// is heard in whichever order.
func TestNothingButANewLifeTakesBackThatABackEndLeaves(t *testing.T) {
	at := time.Unix(1000, 0)
	leaves := func(r *Registry) { r.ObserveAdvertised(at, "e@1", at, Advertised{Draining: true}, SourceAnswer) }
	tests := []struct {
		name string
		// course is what happens after the list named the first life, up to two seconds later.
		course func(r *Registry)
		chosen ident.Incarnation
	}{
		{"an answer", leaves, ""},
		{"a report", func(r *Registry) { r.ObserveAdvertised(at, "e@1", at, Advertised{Draining: true}, SourceReport) }, ""},
		{"another router", func(r *Registry) { r.ApplyUpdates(at, []StateUpdate{{Instance: "e@1", Draining: true}}) }, ""},
		{"a row", func(r *Registry) {
			row := listOf(2, "e@1")
			row[0].Draining = true
			r.ApplyList(at.Add(time.Second), row)
		}, ""},
		{"and its row is written anew", func(r *Registry) {
			leaves(r)
			r.ApplyList(at.Add(time.Second), listOf(9, "e@1"))
		}, ""},
		{"and its row is written late", func(r *Registry) {
			leaves(r)
			r.ApplyList(at.Add(time.Second), listOf(0, "e@1"))
		}, ""},
		{"and its row goes and comes back", func(r *Registry) {
			leaves(r)
			r.ApplyList(at.Add(time.Second), nil)
			r.ApplyList(at.Add(2*time.Second), listOf(9, "e@1"))
		}, ""},
		{"after its row went, which comes back", func(r *Registry) {
			r.ApplyList(at.Add(time.Second), nil)
			leaves(r)
			r.ApplyList(at.Add(2*time.Second), listOf(9, "e@1"))
		}, ""},
		{"told before its row was read", func(r *Registry) {
			r.ApplyList(at.Add(time.Second), nil)
			r.ApplyUpdates(at.Add(time.Second), []StateUpdate{{Instance: "f@1", Draining: true}})
			r.ApplyList(at.Add(2*time.Second), listOf(9, "f@1"))
		}, ""},
		{"and the store comes back from an older copy", func(r *Registry) {
			leaves(r)
			r.StoreRestored(at.Add(time.Second))
			r.ApplyList(at.Add(time.Second), nil)
			r.ApplyList(at.Add(2*time.Second), listOf(1, "e@1"))
		}, ""},
		{"and an answer that was overtaken does not say so", func(r *Registry) {
			leaves(r)
			r.ObserveAdvertised(at.Add(time.Second), "e@1", at.Add(-time.Second), Advertised{}, SourceAnswer)
		}, ""},
		{"and a router does not know", func(r *Registry) {
			leaves(r)
			r.ApplyUpdates(at.Add(time.Second), []StateUpdate{{Instance: "e@1", Sequence: 1, Limited: true, Rate: 100}})
		}, ""},
		{"and its next life begins", func(r *Registry) {
			leaves(r)
			r.ApplyList(at.Add(time.Second), listOf(2, "e@2"))
		}, "e@2"},
		{"and words of the former life come late", func(r *Registry) {
			r.ApplyList(at.Add(time.Second), listOf(2, "e@2"))
			leaves(r)
			r.ApplyUpdates(at.Add(time.Second), []StateUpdate{{Instance: "e@1", Draining: true}})
		}, "e@2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(Config{})
			r.ApplyList(at, listOf(1, "e@1"))
			tt.course(r)
			choice, _, found := r.Pick(at.Add(5*time.Second), &wordsQuery)
			is.Equal(found, tt.chosen != "")
			is.Equal(choice.Instance, tt.chosen)
			for _, record := range r.Records() {
				is.Equal(record.Draining, record.Instance != tt.chosen)
			}
		})
	}
}

// What a list that is passed on says of a back end includes what that said itself.
func TestAListThatIsPassedOnTellsWhoLeaves(t *testing.T) {
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

// Where all leave, what comes soon after the first word is still served there, and what comes
// later is refused.
func TestTheLastBackEndsServeForAMoment(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{DrainServeTime: time.Second})
	r.ApplyList(at, listOf(1, "e", "f"))
	r.ObserveAdvertised(at, "e", at, Advertised{Draining: true}, SourceAnswer)
	choice, _, _ := r.Pick(at, &wordsQuery)
	is.Equal(choice.Instance, ident.Incarnation("f")) // it stays
	r.ObserveAdvertised(at, "f", at, Advertised{Draining: true}, SourceAnswer)
	_, flight, found := r.Pick(at.Add(900*time.Millisecond), &wordsQuery)
	is.True(found)
	is.True(!flight.MustWithdraw(at.Add(900 * time.Millisecond)))
	is.True(flight.MustWithdraw(at.Add(time.Second))) // its connection took too long to open
	_, _, found = r.Pick(at.Add(time.Second), &wordsQuery)
	is.True(!found)
	is.Equal(r.Availability(at.Add(time.Second), &wordsQuery), AllDraining{})
	r.ApplyList(at.Add(2*time.Second), listOf(2, "e", "f", "g"))
	choice, _, _ = r.Pick(at.Add(2*time.Second), &wordsQuery)
	is.Equal(choice.Instance, ident.Incarnation("g"))
}

// What other routers tell of lives that nobody lists takes bounded memory.
func TestNewsOfUnlistedLivesAreBounded(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	for index := range 2 * maxFormers {
		r.ApplyUpdates(at, []StateUpdate{{Instance: ident.Incarnation(string(rune('a' + index))), Draining: true}})
	}
	is.True(len(r.formers) <= maxFormers)
	r.ApplyList(at.Add(2*formerKept), nil)
	is.Equal(len(r.formers), 0)
}
