package router

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// The assumed one-way network times within and between zones, which are part of
// the predicted time to first token.
const (
	hopWithinZone   = 100 * time.Microsecond
	hopBetweenZones = 1500 * time.Microsecond
)

// hopFrom returns the one-way network time from the home zone to another.
func hopFrom(home ident.Zone) func(ident.Zone) time.Duration {
	return func(zone ident.Zone) time.Duration {
		if zone == home {
			return hopWithinZone
		}
		return hopBetweenZones
	}
}

// engineTargets lists the engines of a fleet file for the endpoint registry.
func engineTargets(compiled *fleet.Compiled) []endpoint.Target {
	targets := make([]endpoint.Target, 0, len(compiled.Engines()))
	for _, configured := range compiled.Engines() {
		targets = append(targets, endpoint.Target{
			Engine:          configured.Name,
			Address:         configured.Address,
			Zone:            configured.Zone,
			Draining:        configured.State == fleet.BackendDraining,
			PrefillPerToken: assumedPrefill(compiled, configured),
		})
	}
	return targets
}

// assumedPrefill returns the longest prefill time per token of the models that an
// engine serves.
func assumedPrefill(compiled *fleet.Compiled, configured *fleet.Engine) time.Duration {
	slowest := 0.0
	for _, name := range configured.Models {
		if model, known := compiled.Model(name); known {
			slowest = max(slowest, model.PrefillMicrosPerToken)
		}
	}
	return time.Duration(slowest * float64(time.Microsecond))
}

// assignedStreams returns the engines whose cache events this router reads.
func (r *Router) assignedStreams(compiled *fleet.Compiled) []streamSource {
	all := len(compiled.Engines()) <= smallFleet
	view := r.view()
	var sources []streamSource
	for _, configured := range compiled.Engines() {
		if all || r.owns(view.Owners("engine/"+string(configured.Name), streamOwners)) {
			sources = append(sources, streamSource{configured.Name, configured.Address})
		}
	}
	return sources
}

// engineChanged logs a change of an engine's state, and broadcasts that it drains.
func (r *Router) engineChanged(change endpoint.Change) {
	r.quarantines.engineChanged(change)
	entry := log.WithField("engine", change.Engine).WithField("incarnation", change.Incarnation)
	switch change.Kind {
	case endpoint.ChangeIncarnation:
		entry.Info("engine in a new incarnation")
	case endpoint.ChangeRevived:
		entry.Info("engine answers again")
	case endpoint.ChangeDead:
		entry.Warn("engine believed dead")
	case endpoint.ChangeDraining:
		entry.Info("engine leaving")
		r.broadcastDraining(string(change.Engine), change.Incarnation)
	case endpoint.ChangeLoaded:
		entry.Info("engine's loaded models changed")
	case endpoint.ChangeRemoved:
		entry.Info("engine no longer in the fleet file")
	}
}

// requestSnapshot starts reading an engine's cache snapshot.
func (r *Router) requestSnapshot(name ident.Engine) {
	compiled := r.syncer.Current()
	if compiled == nil {
		return
	}
	if configured, known := compiled.Engine(name); known {
		r.streams.Snapshot(context.Background(), streamSource{name, configured.Address})
	}
}
