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
	// suspectThreshold is the number of engines that must have ended while they loaded a version
	// that no engine has, before it is loaded by one at a time.
	suspectThreshold = 3
	// minSuspectPause is the time from such an end to the next load, which doubles with each one
	// up to maxSuspectPause. It is short, as engines may crash for reasons of their own: the first
	// load that ends well ends the doubt.
	minSuspectPause = 500 * time.Millisecond
	maxSuspectPause = time.Minute
)

// modelVersion are a version of a model.
type modelVersion struct {
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

// loadCrashes is what is held against a version.
type loadCrashes struct {
	count int
	// pause is the time from the last end to the next load, which may begin at next; that is
	// zero until the time of the last end is known.
	pause      time.Duration
	nextLoadAt time.Time
	reported   bool
}

// noteCrashes takes in which engines under order are not listed any more. Those that leave as planned
// are told as draining before.
func (p *Planner) noteCrashes(records []backend.Record) {
	listed := make(map[ident.Incarnation]struct{}, len(records))
	for _, record := range records {
		listed[record.Instance] = struct{}{}
	}
	for instance, engine := range p.engines {
		if _, present := listed[instance]; present || engine.ordered == 0 {
			continue
		}
		loading := modelVersion{engine.orderedModel, engine.ordered}
		crashes := p.crashes[loading]
		if crashes == nil {
			crashes = &loadCrashes{}
			p.crashes[loading] = crashes
		}
		crashes.count++
		crashes.pause = min(max(2*crashes.pause, minSuspectPause), maxSuspectPause)
		crashes.nextLoadAt = time.Time{}
	}
}

// reviewCrashes drops doubts that a load or a newer version has ended, and dates the ends that were noted.
func (p *Planner) reviewCrashes(now time.Time) {
	for loading, crashes := range p.crashes {
		if p.isLoaded(loading) || p.models[loading.model].Version != loading.version {
			delete(p.crashes, loading)
			continue
		}
		if crashes.nextLoadAt.IsZero() {
			crashes.nextLoadAt = now.Add(crashes.pause)
		}
	}
}

// isLoaded reports whether an engine has a version or a newer one.
func (p *Planner) isLoaded(wanted modelVersion) bool {
	for _, engine := range p.engines {
		if engine.versions[wanted.model] >= wanted.version {
			return true
		}
	}
	return false
}

// loadBlocked reports whether an engine may not load the newest version of a model now.
func (p *Planner) loadBlocked(now time.Time, model ident.Model) bool {
	newest := modelVersion{model, p.models[model].Version}
	crashes := p.crashes[newest]
	if crashes == nil || crashes.count < suspectThreshold {
		return false
	}
	if now.Before(crashes.nextLoadAt) {
		return true
	}
	for _, engine := range p.engines {
		if engine.ordered == newest.version && engine.orderedModel == model {
			return true
		}
	}
	return false
}

// NewSuspects returns the versions that came to be doubted since the last call.
func (p *Planner) NewSuspects() []SuspectVersion {
	var suspects []SuspectVersion
	for suspect, crashes := range p.crashes {
		if crashes.count < suspectThreshold || crashes.reported {
			continue
		}
		crashes.reported = true
		suspects = append(suspects, SuspectVersion{Model: suspect.model, Version: suspect.version, Ended: crashes.count})
	}
	return suspects
}
