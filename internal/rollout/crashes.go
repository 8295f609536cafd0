package rollout

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// A version that crashes the engines that load it would crash all of them repeatedly, as each
// restarts with its old weights and is ordered again. The bounds below limit such loads.

const (
	// suspectThreshold is the number of engines that must have crashed while loading a version
	// that no engine has, before only one engine at a time may load it.
	suspectThreshold = 3
	// minSuspectPause is the time from such a crash to the next load; it doubles with each crash
	// up to maxSuspectPause. It is short, as the crashes may have other causes.
	minSuspectPause = 500 * time.Millisecond
	maxSuspectPause = time.Minute
)

type modelVersion struct {
	model   ident.Model
	version int
}

// SuspectVersion is a version that no engine has and that engines crashed while loading.
type SuspectVersion struct {
	Model   ident.Model
	Version int
	// Crashed is the number of engines that crashed.
	Crashed int
}

// loadCrashes counts the engines that crashed while loading a version.
type loadCrashes struct {
	count int
	// pause is the time from the last crash to the next load. nextLoadAt is zero until
	// reviewCrashes has dated the last crash.
	pause      time.Duration
	nextLoadAt time.Time
	reported   bool
}

// countCrashes counts engines under order that are not listed any more. Those that stop as planned
// are listed as draining before.
func (p *Planner) countCrashes(records []backend.Record) {
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

// reviewCrashes forgets crashes once an engine has the version or a newer one is published, and
// dates new crashes.
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

// isLoaded reports whether any engine has the version or a newer one.
func (p *Planner) isLoaded(wanted modelVersion) bool {
	for _, engine := range p.engines {
		if engine.versions[wanted.model] >= wanted.version {
			return true
		}
	}
	return false
}

// loadBlocked reports whether no engine may begin to load the newest version of a model now.
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

// NewSuspects returns the versions that became suspect since the last call.
func (p *Planner) NewSuspects() []SuspectVersion {
	var suspects []SuspectVersion
	for suspect, crashes := range p.crashes {
		if crashes.count < suspectThreshold || crashes.reported {
			continue
		}
		crashes.reported = true
		suspects = append(suspects, SuspectVersion{Model: suspect.model, Version: suspect.version, Crashed: crashes.count})
	}
	return suspects
}
