package rollout

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// A version under which engines crash while they load it would take one engine after the other,
// as each is back with the weights that it had and is ordered again: of 18 engines 302 lives ended
// in a minute, and 14 were away at once (a model of a fleet whose engines are back after 2 s). With
// the bounds below 7 end, and 4 are away at once.

const (
	// crashesToDoubt is the number of engines that must have ended while they loaded a version
	// that no engine has, before it is loaded by one at a time.
	crashesToDoubt = 3
	// firstDoubtPause is the time from such an end to the next load, which doubles with each one
	// up to maxDoubtPause. It is short, as engines may crash for reasons of their own: the first
	// load that ends well ends the doubt.
	firstDoubtPause = 500 * time.Millisecond
	maxDoubtPause   = time.Minute
)

// weights are a version of a model.
type weights struct {
	model   ident.Model
	version int
}

// SuspectVersion says that engines ended while they loaded a version that no engine has.
type SuspectVersion struct {
	Model   ident.Model
	Version int
	// Ended is the number of engines that did.
	Ended int
}

// doubt is what is held against a version.
type doubt struct {
	ended int
	// pause is the time from the last end to the next load, which may begin at next; that is
	// zero until the time of the last end is known.
	pause time.Duration
	next  time.Time
	told  bool
}

// noteEnds takes in which engines under order are not listed any more. Those that leave as planned
// are told as draining before.
func (p *Planner) noteEnds(records []backend.Record) {
	listed := make(map[ident.Incarnation]struct{}, len(records))
	for _, record := range records {
		listed[record.Instance] = struct{}{}
	}
	for instance, engine := range p.engines {
		if _, there := listed[instance]; there || engine.ordered == 0 {
			continue
		}
		loaded := weights{engine.orderedModel, engine.ordered}
		known := p.doubts[loaded]
		if known == nil {
			known = &doubt{}
			p.doubts[loaded] = known
		}
		known.ended++
		known.pause = min(max(2*known.pause, firstDoubtPause), maxDoubtPause)
		known.next = time.Time{}
	}
}

// review drops doubts that a load or a newer version has ended, and dates the ends that were noted.
func (p *Planner) review(now time.Time) {
	for loaded, known := range p.doubts {
		if p.has(loaded) || p.models[loaded.model].Version != loaded.version {
			delete(p.doubts, loaded)
			continue
		}
		if known.next.IsZero() {
			known.next = now.Add(known.pause)
		}
	}
}

// has reports whether an engine has a version or a newer one.
func (p *Planner) has(loaded weights) bool {
	for _, engine := range p.engines {
		if engine.versions[loaded.model] >= loaded.version {
			return true
		}
	}
	return false
}

// doubted reports whether an engine may not load the newest version of a model now.
func (p *Planner) doubted(now time.Time, model ident.Model) bool {
	loaded := weights{model, p.models[model].Version}
	known := p.doubts[loaded]
	if known == nil || known.ended < crashesToDoubt {
		return false
	}
	if now.Before(known.next) {
		return true
	}
	for _, engine := range p.engines {
		if engine.ordered == loaded.version && engine.orderedModel == model {
			return true
		}
	}
	return false
}

// Doubts returns the versions that came to be doubted since the last call.
func (p *Planner) Doubts() []SuspectVersion {
	var doubts []SuspectVersion
	for loaded, known := range p.doubts {
		if known.ended < crashesToDoubt || known.told {
			continue
		}
		known.told = true
		doubts = append(doubts, SuspectVersion{Model: loaded.model, Version: loaded.version, Ended: known.ended})
	}
	return doubts
}
