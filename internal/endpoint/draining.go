package endpoint

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// drainingTTL is how long a sign of leaving outlives a lack of reports that
// confirm it. A new incarnation ends it at once.
const drainingTTL = 2 * time.Minute

// ObserveDraining takes in a sign that the engine is leaving: its own refusal, the
// machine list, or another router's word. An incarnation other than the
// engine's known one makes the sign void; an empty one always counts.
func (r *Registry) ObserveDraining(now time.Time, engine ident.Engine, incarnation ident.Incarnation) []Change {
	known := r.findForChange(engine)
	if known == nil {
		return nil
	}
	if incarnation != "" && known.incarnation != "" && incarnation != known.incarnation {
		return nil
	}
	return known.markDraining(now, engine)
}

// ApplyMachineList takes in a machine list: for each engine on it, whether its machine is
// leaving. The list speaks of machines, whatever life the engine on one is in,
// and it lags: it takes back its own word only, never another sign.
func (r *Registry) ApplyMachineList(now time.Time, draining map[ident.Engine]bool) []Change {
	var changes []Change
	for _, known := range r.order {
		name := known.target.Engine
		listed, found := draining[name]
		if !found {
			continue
		}
		known.viewStale = known.viewStale || known.listedDraining != listed
		known.listedDraining = listed
		if listed {
			changes = append(changes, known.markDraining(now, name)...)
		}
	}
	return changes
}

func (s *state) markDraining(now time.Time, engine ident.Engine) []Change {
	already := now.Before(s.drainingUntil)
	s.drainingUntil = now.Add(drainingTTL)
	if already {
		return nil
	}
	return []Change{{ChangeDraining, engine, s.incarnation}}
}
