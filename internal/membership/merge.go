package membership

import (
	"slices"
	"time"
)

// merge applies one rumour. A rumour from a sync may be old, as after a partition between
// regions, so an accusation in it is not applied: the accused member is probed next with
// the accusation in the message.
func (m *Machine) merge(rumour Rumour, fromSync bool) {
	if rumour.Node == m.self.Node {
		m.refute(rumour)
		return
	}
	known := m.find(rumour.Node)
	if known == nil {
		m.addMember(rumour, fromSync)
		return
	}
	newer := rumour.Incarnation > known.Incarnation ||
		(rumour.Incarnation == known.Incarnation && rumour.State > known.State)
	if !newer {
		m.mergeFleetVersion(known, rumour)
		return
	}
	accused := rumour.State == Suspect || rumour.State == Dead
	believedUp := known.State == Alive || known.State == Suspect
	if fromSync && accused && believedUp {
		m.queueProbe(rumour)
		return
	}
	if rumour.State == Dead && known.State == Alive && rumour.Incarnation == known.Incarnation {
		// This router missed the suspicion; the member may still refute it.
		rumour.State = Suspect
	}
	m.updateRecord(known, rumour)
}

// mergeFleetVersion applies a higher fleet version of a rumour that contains no other change.
func (m *Machine) mergeFleetVersion(known *record, rumour Rumour) {
	if rumour.Incarnation != known.Incarnation || rumour.FleetVersion <= known.FleetVersion {
		return
	}
	known.FleetVersion = rumour.FleetVersion
	m.enqueue(known, true)
	m.event(Event{Kind: MemberVersionChanged, Member: known.Member})
}

// addMember adds an unknown member, unless it is dead: it may have been removed before.
// Members from a sync are not gossiped further: their own rumour is already being
// disseminated, and further syncs are cheaper.
func (m *Machine) addMember(rumour Rumour, fromSync bool) {
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
	if !fromSync {
		m.enqueue(added, false)
	}
	m.event(Event{Kind: MemberChanged, Member: added.Member})
	if suspected {
		rumour.State = Suspect
		m.queueProbe(rumour)
	}
}

// updateRecord replaces a record with a newer rumour.
func (m *Machine) updateRecord(known *record, rumour Rumour) {
	if rumour.Zone == "" {
		rumour.Zone = known.Zone
	}
	if rumour.HTTPAddress == "" {
		rumour.HTTPAddress = known.HTTPAddress
	}
	full := rumour.GossipAddress != "" && rumour.GossipAddress != known.GossipAddress
	if rumour.GossipAddress == "" {
		rumour.GossipAddress = known.GossipAddress
	}
	if rumour.Incarnation == known.Incarnation {
		rumour.FleetVersion = max(rumour.FleetVersion, known.FleetVersion)
	}
	if known.State == Dead {
		full = true
	}
	known.Member = Member(rumour)
	known.changed = m.now
	known.deadAt = m.now.Add(m.suspicionTimeout())
	if known.State != Suspect {
		known.deadAt = time.Time{}
	}
	m.enqueue(known, !full)
	m.event(Event{Kind: MemberChanged, Member: known.Member})
}

// refute answers rumours about this router itself with a higher incarnation.
func (m *Machine) refute(rumour Rumour) {
	later := rumour.Incarnation > m.self.Incarnation
	accused := rumour.Incarnation == m.self.Incarnation && rumour.State != m.self.State && rumour.State != Alive
	if later || accused {
		m.raiseIncarnation(rumour.Incarnation)
	}
}

// raiseIncarnation raises this router's incarnation above the given one and disseminates it.
func (m *Machine) raiseIncarnation(above uint64) {
	m.self.Incarnation = max(m.self.Incarnation, above) + 1
	m.self.changed = m.now
	m.enqueue(m.self, false)
	m.event(Event{Kind: MemberChanged, Member: m.self.Member})
}

// suspect starts the suspicion timeout of a member that did not answer a probe. A leaving
// member keeps its state, so that it never owns anything again.
func (m *Machine) suspect(target *record) {
	if target.State == Dead || !target.deadAt.IsZero() {
		return
	}
	target.deadAt = m.now.Add(m.suspicionTimeout())
	if target.State == Leaving {
		return
	}
	target.State = Suspect
	target.changed = m.now
	m.enqueue(target, true)
	m.event(Event{Kind: MemberChanged, Member: target.Member})
}

// expireSuspicions marks members dead that did not refute a suspicion in time.
func (m *Machine) expireSuspicions() {
	for _, known := range m.records {
		if known.deadAt.IsZero() || m.now.Before(known.deadAt) {
			continue
		}
		known.deadAt = time.Time{}
		known.State = Dead
		known.changed = m.now
		m.enqueue(known, true)
		m.event(Event{Kind: MemberChanged, Member: known.Member})
	}
}

// removeDead removes members that have been dead for longer than DeadRetention.
func (m *Machine) removeDead() {
	m.records = slices.DeleteFunc(m.records, func(known *record) bool {
		old := known.State == Dead && m.now.Sub(known.changed) > m.timing.DeadRetention
		if old {
			m.dequeue(known)
			m.event(Event{Kind: MemberRemoved, Member: known.Member})
		}
		return old
	})
}
