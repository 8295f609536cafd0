package experiment

// scheduleFaults schedules the scenario's faults.
func (s *simulation) scheduleFaults() {
	for _, given := range s.prepared.scenario.Faults {
		at := s.start.Add(given.At)
		switch given.Kind {
		case FaultCrash:
			engine := s.byName[given.Engine]
			if engine == nil {
				s.fail("the fleet file has no engine %q", given.Engine)
				return
			}
			s.clock.at(at, engine.crash)
			s.clock.at(at.Add(given.For), engine.restart)
		case FaultZoneLost:
			s.clock.at(at, func() { s.failZone(given) })
			s.clock.at(at.Add(given.For), func() { s.restoreZone(given) })
		case FaultRestartRouters:
			s.clock.at(at, func() {
				for _, router := range s.routers {
					router.restart()
				}
			})
		}
	}
}

// failZone stops every router and crashes every engine of a zone.
func (s *simulation) failZone(given Fault) {
	var waiting []*exchange
	for _, router := range s.routers {
		if router.zone == given.Zone {
			waiting = append(waiting, router.stop()...)
		}
	}
	for _, engine := range s.engines {
		if engine.zone == given.Zone {
			engine.crash()
		}
	}
	s.resubmit(waiting)
}

func (s *simulation) restoreZone(given Fault) {
	for _, engine := range s.engines {
		if engine.zone == given.Zone {
			engine.restart()
		}
	}
	for _, router := range s.routers {
		if router.zone == given.Zone {
			if err := router.start(); err != nil {
				s.fail("restarting a router failed: %s", err)
			}
		}
	}
}
