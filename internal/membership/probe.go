package membership

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// indirectProbes is the number of members that probe a silent member indirectly.
	indirectProbes = 3
	// ownZoneShare of roundsOf probe rounds target the router's own zone.
	ownZoneShare = 3
	roundsOf     = 4
	// accusedPerRound bounds the extra probes of accused members in one round.
	accusedPerRound = 3
	maxAccused      = 512
	maxRelays       = 256
	// failureTimeouts is the number of probe timeouts after which a probe has failed.
	failureTimeouts = 3
)

// probing is the failure detection state of the machine.
type probing struct {
	next     time.Time
	sequence uint64
	round    int
	// near and far are the members still to be probed in this cycle, in random order: those of
	// the own zone and the others.
	near, far []ident.Node
	pending   []probe
	accused   []Rumour
	relays    map[uint64]relay
}

type probe struct {
	target   ident.Node
	sequence uint64
	sent     time.Time
	indirect bool
}

type relay struct {
	source   string
	sequence uint64
	expires  time.Time
}

// probeRound sends the probes of one period.
func (m *Machine) probeRound() {
	m.probing.round++
	if target := m.nextTarget(m.probing.round%roundsOf < ownZoneShare); target != nil {
		m.probe(target)
	}
	for range accusedPerRound {
		if len(m.probing.accused) == 0 {
			return
		}
		accusation := m.probing.accused[0]
		m.probing.accused = m.probing.accused[1:]
		target := m.find(accusation.Node)
		if target == nil || target.State == Dead || target.Incarnation > accusation.Incarnation {
			continue
		}
		m.probe(target, accusation)
	}
}

// nextTarget returns the next member of the near or far permutation, or of the other one if
// that is empty.
func (m *Machine) nextTarget(near bool) *record {
	for range 2 {
		pool := &m.probing.far
		if near {
			pool = &m.probing.near
		}
		if target := m.popTarget(pool); target != nil {
			return target
		}
		*pool = m.permutation(near)
		if target := m.popTarget(pool); target != nil {
			return target
		}
		near = !near
	}
	return nil
}

func (m *Machine) popTarget(pool *[]ident.Node) *record {
	for len(*pool) > 0 {
		target := m.find((*pool)[0])
		*pool = (*pool)[1:]
		if target != nil && target.State != Dead {
			return target
		}
	}
	return nil
}

func (m *Machine) permutation(near bool) []ident.Node {
	var names []ident.Node
	for _, each := range m.records {
		if each != m.self && each.State != Dead && (each.Zone == m.self.Zone) == near {
			names = append(names, each.Node)
		}
	}
	m.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// probe pings a member. The message contains the accusations against the member, so that it
// can refute them.
func (m *Machine) probe(target *record, accusations ...Rumour) {
	if target.State == Suspect {
		accusations = append(accusations, compact(target.Member))
	}
	m.probing.sequence++
	m.probing.pending = append(m.probing.pending, probe{target: target.Node, sequence: m.probing.sequence, sent: m.now})
	m.send(target.GossipAddress, Message{
		Kind: KindPing, Sequence: m.probing.sequence, Target: target.Node, Rumours: accusations,
	})
}

// queueProbe schedules an extra probe of a member with the accusation against it.
func (m *Machine) queueProbe(accusation Rumour) {
	known := slices.ContainsFunc(m.probing.accused, func(each Rumour) bool { return each.Node == accusation.Node })
	if known || len(m.probing.accused) >= maxAccused {
		return
	}
	m.probing.accused = append(m.probing.accused, accusation)
}

// checkProbes starts indirect probes of silent members, and suspects those that no member
// reached.
func (m *Machine) checkProbes() {
	kept := m.probing.pending[:0]
	for _, each := range m.probing.pending {
		target := m.find(each.target)
		waited := m.now.Sub(each.sent)
		if target == nil || target.State == Dead {
			continue
		}
		if waited >= failureTimeouts*m.timing.ProbeTimeout {
			m.suspect(target)
			continue
		}
		if !each.indirect && waited >= m.timing.ProbeTimeout {
			each.indirect = true
			m.requestIndirectProbes(target, each.sequence)
		}
		kept = append(kept, each)
	}
	m.probing.pending = kept
	for sequence, each := range m.probing.relays {
		if m.now.After(each.expires) {
			delete(m.probing.relays, sequence)
		}
	}
}

func (m *Machine) requestIndirectProbes(target *record, sequence uint64) {
	for _, helper := range m.sample(indirectProbes, target.Node) {
		m.send(helper.GossipAddress, Message{
			Kind: KindPingRequest, Sequence: sequence, Target: target.Node, TargetAddress: target.GossipAddress,
		})
	}
}

// sample returns up to count random members that are not dead, except this router and the
// given member.
func (m *Machine) sample(count int, except ident.Node) []*record {
	var candidates []*record
	for _, each := range m.records {
		if each != m.self && each.State != Dead && each.Node != except {
			candidates = append(candidates, each)
		}
	}
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(count, len(candidates))]
}

func (m *Machine) answerPing(source string, message *Message) {
	if message.Target != m.self.Node {
		return
	}
	m.send(source, Message{Kind: KindAck, Sequence: message.Sequence, Rumours: m.accusations(message), Head: m.headFor(message)})
	if m.find(message.From) == nil {
		m.startSync(source)
	}
}

// accusations returns the suspicion or death recorded against the sender's incarnation.
func (m *Machine) accusations(message *Message) []Rumour {
	known := m.find(message.From)
	if known == nil || known.Incarnation < message.Incarnation || known.State == Alive || known.State == Leaving {
		return nil
	}
	return []Rumour{compact(known.Member)}
}

func (m *Machine) relayProbe(source string, message *Message) {
	if message.Target == m.self.Node || len(m.probing.relays) >= maxRelays || message.TargetAddress == "" {
		return
	}
	m.probing.sequence++
	m.probing.relays[m.probing.sequence] = relay{
		source: source, sequence: message.Sequence, expires: m.now.Add(failureTimeouts * m.timing.ProbeTimeout),
	}
	m.send(message.TargetAddress, Message{Kind: KindPing, Sequence: m.probing.sequence, Target: message.Target})
}

func (m *Machine) receiveAck(message *Message) {
	if asked, found := m.probing.relays[message.Sequence]; found {
		delete(m.probing.relays, message.Sequence)
		m.send(asked.source, Message{Kind: KindAck, Sequence: asked.sequence})
		return
	}
	m.probing.pending = slices.DeleteFunc(m.probing.pending, func(each probe) bool {
		if each.sequence != message.Sequence {
			return false
		}
		if known := m.find(each.target); known != nil && known.State == Leaving {
			known.deadAt = time.Time{}
		}
		return true
	})
}
