package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// Advertised is what one answer of a back end says of that back end, whichever call it answers.
type Advertised struct {
	// Limit is nil if nothing is said of a limit.
	Limit AdvertisedLimit
	// Draining says that the back end is about to end and wants no new work.
	Draining bool
	// Backoff is for how long the back end wants nothing from this router; 0 if it did not ask.
	Backoff time.Duration
}

// AdvertisedFunc takes in what the answer to a call that was sent at a time says of its back end.
type AdvertisedFunc func(instance ident.Incarnation, sentAt time.Time, said Advertised, by Source)

// Source is where a word of a back end came from.
type Source string

// The sources of words.
const (
	SourceAnswer Source = "answer"
	SourceReport Source = "report"
	SourceOrder  Source = "order"
	SourcePeer   Source = "router"
	SourceList   Source = "list"
)

// words are what one life of a back end said of itself, by whichever way it was heard. They
// outlast its row, and end with that life.
//
// No source goes before another: each word has an order of its own, in which it does not matter
// when a source is heard. That a back end leaves only ever begins. Of limits the one with the
// highest sequence holds, of rests the one that ends last. So a row that is written late, an
// answer that was overtaken or a router that knows less takes nothing back.
type words struct {
	limit   limit
	leaving leaving
	rest    rest
}

// leaving is that a back end is about to end; the zero value means that it isn't.
type leaving struct {
	// since is when this router first heard so, from by.
	since time.Time
	by    Source
}

// begun reports whether the back end leaves.
func (l *leaving) begun() bool { return !l.since.IsZero() }

// begins takes in that the back end leaves, and reports whether that is news.
func (l *leaving) begins(now time.Time, by Source) bool {
	if l.begun() {
		return false
	}
	l.since, l.by = now, by
	return true
}

// own reports whether the back end said so itself, to this router or to another one.
func (l *leaving) own() bool { return l.begun() && l.by != SourceList }

// AdvertisedChange is what an answer of a back end changed in what is believed of it.
type AdvertisedChange struct {
	// Limit is the change of its limit, if LimitChanged.
	Limit        LimitChange
	LimitChanged bool
	// DrainBegan says that it was not known to leave before.
	DrainBegan bool
	// Backoff is for how long it wants nothing from this router from now on; 0 if it did not ask.
	Backoff time.Duration
}

// ConcernsPeers reports whether other routers are to be told.
func (h *AdvertisedChange) ConcernsPeers() bool { return h.LimitChanged || h.DrainBegan }

// ObserveAdvertised takes in what an answer says of its back end; the call was sent at a time.
func (r *Registry) ObserveAdvertised(now time.Time, instance ident.Incarnation, sentAt time.Time, said Advertised, by Source) AdvertisedChange {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	heard := AdvertisedChange{}
	known := r.wordsOf(instance)
	if known == nil {
		return heard
	}
	heard.Limit, heard.LimitChanged = known.limit.take(now, sentAt, said.Limit)
	if said.Draining && r.config.Disabled.On(mechanism.BackendWords) {
		heard.DrainBegan = known.leaving.begins(now, by)
	}
	if said.Backoff > 0 && r.config.Disabled.On(mechanism.BackendWords) {
		heard.Backoff = said.Backoff
		known.rest.asked(now, said.Backoff)
	}
	return heard
}

// wordsOf returns the words of a life, nil if it is not known; the caller holds the mutex.
func (r *Registry) wordsOf(instance ident.Incarnation) *words {
	if known := r.byID[instance]; known != nil {
		return known.words
	}
	if known, gone := r.formers[instance]; gone {
		return known.words
	}
	return nil
}

// UnavailableCounts returns the numbers of the back ends in the list that leave, and of those that want
// nothing from this router now.
func (r *Registry) UnavailableCounts(now time.Time) (leaving, resting int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range r.byID {
		if known.leaving.begun() {
			leaving++
		}
		if known.rest.on(now) {
			resting++
		}
	}
	return leaving, resting
}
