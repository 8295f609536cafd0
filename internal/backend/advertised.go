package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// Said is what one answer of a back end says of that back end, whichever call it answers.
type Said struct {
	// Limit is nil if nothing is said of a limit.
	Limit ToldLimit
	// Leaving says that the back end is about to end and wants no new work.
	Leaving bool
	// Rest is for how long the back end wants nothing from this router; 0 if it did not ask.
	Rest time.Duration
}

// Ear takes in what the answer to a call that was sent at a time says of its back end.
type Ear func(instance ident.Incarnation, sentAt time.Time, said Said, by Source)

// Source is where a word of a back end came from.
type Source string

// The sources of words.
const (
	ByAnswer Source = "answer"
	ByReport Source = "report"
	ByOrder  Source = "order"
	ByRouter Source = "router"
	ByList   Source = "list"
)

// advertisedState are what one life of a back end said of itself, by whichever way it was heard. They
// outlast its row, and end with that life.
//
// No source goes before another: each word has an order of its own, in which it does not matter
// when a source is heard. That a back end leaves only ever begins. Of limits the one with the
// highest sequence holds, of rests the one that ends last. So a row that is written late, an
// answer that was overtaken or a router that knows less takes nothing back.
type advertisedState struct {
	limit   limit
	drain   drain
	backoff backoff
}

// drain is that a back end is about to end; the zero value means that it isn't.
type drain struct {
	// since is when this router first heard so, from by.
	since time.Time
	by    Source
}

// active reports whether the back end leaves.
func (l *drain) active() bool { return !l.since.IsZero() }

// begin takes in that the back end leaves, and reports whether that is news.
func (l *drain) begin(now time.Time, by Source) bool {
	if l.active() {
		return false
	}
	l.since, l.by = now, by
	return true
}

// advertised reports whether the back end said so itself, to this router or to another one.
func (l *drain) advertised() bool { return l.active() && l.by != ByList }

// Heard is what an answer of a back end changed in what is believed of it.
type Heard struct {
	// Limit is the change of its limit, if LimitChanged.
	Limit        LimitChange
	LimitChanged bool
	// Leaving says that it was not known to leave before.
	Leaving bool
	// Rest is for how long it wants nothing from this router from now on; 0 if it did not ask.
	Rest time.Duration
}

// News reports whether other routers are to be told.
func (h *Heard) News() bool { return h.LimitChanged || h.Leaving }

// TakeSaid takes in what an answer says of its back end; the call was sent at a time.
func (r *Registry) TakeSaid(now time.Time, instance ident.Incarnation, sentAt time.Time, advertised Said, by Source) Heard {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change := Heard{}
	known := r.advertisedStateOf(instance)
	if known == nil {
		return change
	}
	change.Limit, change.LimitChanged = known.limit.observe(now, sentAt, advertised.Limit)
	if advertised.Leaving && r.config.Off.On(mechanism.BackendWords) {
		change.Leaving = known.drain.begin(now, by)
	}
	if advertised.Rest > 0 && r.config.Off.On(mechanism.BackendWords) {
		change.Rest = advertised.Rest
		known.backoff.extend(now, advertised.Rest)
	}
	return change
}

// advertisedStateOf returns the words of a life, nil if it is not known; the caller holds the mutex.
func (r *Registry) advertisedStateOf(instance ident.Incarnation) *advertisedState {
	if known := r.byID[instance]; known != nil {
		return known.advertisedState
	}
	if known, gone := r.removed[instance]; gone {
		return known.advertised
	}
	return nil
}

// Wishes returns the numbers of the back ends in the list that leave, and of those that want
// nothing from this router now.
func (r *Registry) Wishes(now time.Time) (draining, backingOff int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range r.byID {
		if known.drain.active() {
			draining++
		}
		if known.backoff.active(now) {
			backingOff++
		}
	}
	return draining, backingOff
}
