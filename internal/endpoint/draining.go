package endpoint

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// drainingTTL is how long a sign of draining outlasts a lack of reports that confirm it. A new
// incarnation ends it at once.
const drainingTTL = 2 * time.Minute

// ObserveDraining records a sign that the engine is draining: its own refusal, the machine
// list, or the report of another router. A sign for an incarnation other than the known one is
// ignored; one without an incarnation always counts.
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

// ApplyMachineList applies, for each engine on a machine list, whether its machine is draining.
// The list is of machines, whatever incarnation runs on one, and it lags: it reverts only its
// own earlier state, never another sign.
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
