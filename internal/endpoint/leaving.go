package endpoint

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// leavingMemory is how long a sign of leaving outlives a lack of reports that
// confirm it. A new incarnation ends it at once.
const leavingMemory = 2 * time.Minute

// ObserveDraining takes in a sign that the engine is leaving: its own refusal, the
// machine list, or another router's word. An incarnation other than the
// engine's known one makes the sign void; an empty one always counts.
func (r *Registry) ObserveDraining(now time.Time, engine ident.Engine, incarnation ident.Incarnation) []Change {
	known := r.find(engine)
	if known == nil {
		return nil
	}
	if incarnation != "" && known.incarnation != "" && incarnation != known.incarnation {
		return nil
	}
	return known.leaving(now, engine)
}

// ApplyMachineList takes in a machine list: for each engine on it, whether its machine is
// leaving. The list speaks of machines, whatever life the engine on one is in,
// and it lags: it takes back its own word only, never another sign.
func (r *Registry) ApplyMachineList(now time.Time, leaving map[ident.Engine]bool) []Change {
	var changes []Change
	for _, known := range r.order {
		name := known.target.Engine
		listed, found := leaving[name]
		if !found {
			continue
		}
		known.stale = known.stale || known.listedLeaving != listed
		known.listedLeaving = listed
		if listed {
			changes = append(changes, known.leaving(now, name)...)
		}
	}
	return changes
}

func (s *state) leaving(now time.Time, engine ident.Engine) []Change {
	already := now.Before(s.leavingUntil)
	s.leavingUntil = now.Add(leavingMemory)
	if already {
		return nil
	}
	return []Change{{ChangeDraining, engine, s.incarnation}}
}
