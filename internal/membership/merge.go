package membership

import (
	"slices"
	"time"
)

// merge takes one rumour. Hearsay comes out of an anti-entropy exchange: it may
// be old, as after a split between regions, so an accusation in it is not
// believed but put to the accused, who is probed next and told of it.
func (m *Machine) merge(rumour Rumour, hearsay bool) {
	if rumour.Node == m.self.Node {
		m.defend(rumour)
		return
	}
	held := m.find(rumour.Node)
	if held == nil {
		m.admit(rumour, hearsay)
		return
	}
	newer := rumour.Incarnation > held.Incarnation ||
		(rumour.Incarnation == held.Incarnation && rumour.State > held.State)
	if !newer {
		m.mergeFleetVersion(held, rumour)
		return
	}
	accused := rumour.State == Suspect || rumour.State == Dead
	standing := held.State == Alive || held.State == Suspect
	if hearsay && accused && standing {
		m.doubt(rumour)
		return
	}
	if rumour.State == Dead && held.State == Alive && rumour.Incarnation == held.Incarnation {
		// The suspicion was missed: give the member its chance to refute it.
		rumour.State = Suspect
	}
	m.adopt(held, rumour)
}

// mergeFleetVersion takes a higher fleet version out of a rumour that says
// nothing new otherwise.
func (m *Machine) mergeFleetVersion(held *record, rumour Rumour) {
	if rumour.Incarnation != held.Incarnation || rumour.FleetVersion <= held.FleetVersion {
		return
	}
	held.FleetVersion = rumour.FleetVersion
	m.enqueue(held, true)
	m.event(Event{Kind: MemberVersionChanged, Member: held.Member})
}

// admit adds a member not known before. The dead are not: whoever forgot them
// must not learn them again. Members found by a sync are not gossiped on: their
// own rumour is under way, and further syncs spread the rest more cheaply.
func (m *Machine) admit(rumour Rumour, hearsay bool) {
	if rumour.State == Dead || rumour.GossipAddress == "" || len(m.records) >= maxMembers {
		return
	}
	suspected := rumour.State == Suspect
	if suspected {
		rumour.State = Alive
	}
	added := &record{Member: Member(rumour), changed: m.now}
	index, _ := m.search(rumour.Node)
	m.records = slices.Insert(m.records, index, added)
	if !hearsay {
		m.enqueue(added, false)
	}
	m.event(Event{Kind: MemberChanged, Member: added.Member})
	if suspected {
		rumour.State = Suspect
		m.doubt(rumour)
	}
}

// adopt replaces a record by a newer rumour.
func (m *Machine) adopt(held *record, rumour Rumour) {
	if rumour.Zone == "" {
		rumour.Zone = held.Zone
	}
	if rumour.HTTPAddress == "" {
		rumour.HTTPAddress = held.HTTPAddress
	}
	full := rumour.GossipAddress != "" && rumour.GossipAddress != held.GossipAddress
	if rumour.GossipAddress == "" {
		rumour.GossipAddress = held.GossipAddress
	}
	if rumour.Incarnation == held.Incarnation {
		rumour.FleetVersion = max(rumour.FleetVersion, held.FleetVersion)
	}
	if held.State == Dead {
		full = true
	}
	held.Member = Member(rumour)
	held.changed = m.now
	held.condemnedAt = m.now.Add(m.suspicionTimeout())
	if held.State != Suspect {
		held.condemnedAt = time.Time{}
	}
	m.enqueue(held, !full)
	m.event(Event{Kind: MemberChanged, Member: held.Member})
}

// defend answers rumours about this router itself by a higher incarnation.
func (m *Machine) defend(rumour Rumour) {
	later := rumour.Incarnation > m.self.Incarnation
	accused := rumour.Incarnation == m.self.Incarnation && rumour.State != m.self.State && rumour.State != Alive
	if later || accused {
		m.renew(rumour.Incarnation)
	}
}

// renew raises this router's incarnation above the given one and says so.
func (m *Machine) renew(above uint64) {
	m.self.Incarnation = max(m.self.Incarnation, above) + 1
	m.self.changed = m.now
	m.enqueue(m.self, false)
	m.event(Event{Kind: MemberChanged, Member: m.self.Member})
}

// suspect starts the clock for a member that did not answer a probe. A leaving
// member keeps its state, so that it never owns anything again.
func (m *Machine) suspect(held *record) {
	if held.State == Dead || !held.condemnedAt.IsZero() {
		return
	}
	held.condemnedAt = m.now.Add(m.suspicionTimeout())
	if held.State == Leaving {
		return
	}
	held.State = Suspect
	held.changed = m.now
	m.enqueue(held, true)
	m.event(Event{Kind: MemberChanged, Member: held.Member})
}

// condemn turns suspicions that nobody refuted in time into deaths.
func (m *Machine) condemn() {
	for _, held := range m.records {
		if held.condemnedAt.IsZero() || m.now.Before(held.condemnedAt) {
			continue
		}
		held.condemnedAt = time.Time{}
		held.State = Dead
		held.changed = m.now
		m.enqueue(held, true)
		m.event(Event{Kind: MemberChanged, Member: held.Member})
	}
}

// forget drops members that have been dead for long.
func (m *Machine) forget() {
	m.records = slices.DeleteFunc(m.records, func(held *record) bool {
		old := held.State == Dead && m.now.Sub(held.changed) > m.timing.DeadRetention
		if old {
			m.dequeue(held)
			m.event(Event{Kind: MemberRemoved, Member: held.Member})
		}
		return old
	})
}
