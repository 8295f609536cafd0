package membership

import (
	"math"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// messageBudget is the estimated size to which messages are filled, in
	// bytes; piggybackBudget the same for probes and their answers.
	messageBudget   = 1000
	piggybackBudget = 800
	// fixedCost estimates the encoded size of a message without its lists, and
	// itemCost that of a list item without its strings.
	fixedCost = 110
	itemCost  = 26
	// urgentFanout is to how many members a new sign is sent at once.
	urgentFanout = 4
	// urgentBurst and urgentPerSecond bound the datagrams sent at once.
	urgentBurst     = 40
	urgentPerSecond = 8
	// rumourBurst and rumourPerSecond bound the bytes of piggybacked rumours.
	rumourBurst     = 8 << 10
	rumourPerSecond = 700
	// signTransmissions is how often a sign is sent besides that.
	signTransmissions = 10
	maxSigns          = 512
	maxSignsAMessage  = 6
	// signRepeat is how much later a sign of the same life must have been
	// observed to count as a new one.
	signRepeat = 10 * time.Second
)

// gossip is the part of the machine that spreads rumours and signs.
type gossip struct {
	queue        []*queued
	signs        map[signKey]*heldSign
	signOrder    []*heldSign
	headSends    int
	urgentTokens float64
	// rumourTokens is the allowance of bytes for piggybacked rumours.
	rumourTokens float64
}

// queued is a member whose record has changed; the record is read when sent.
type queued struct {
	held  *record
	sends int
	brief bool
}

type signKey struct {
	backend     string
	incarnation ident.Incarnation
	kind        ReportKind
}

type heldSign struct {
	sign     BackendReport
	received time.Time
	sends    int
}

// compact leaves out what other members are expected to know.
func compact(member Member) Rumour {
	return Rumour{Node: member.Node, Incarnation: member.Incarnation, State: member.State, FleetVersion: member.FleetVersion}
}

// enqueue spreads a member's record; brief leaves its addresses out.
func (m *Machine) enqueue(held *record, brief bool) {
	for _, each := range m.gossip.queue {
		if each.held == held {
			each.brief = each.brief && brief
			each.sends = 0
			return
		}
	}
	m.gossip.queue = append(m.gossip.queue, &queued{held: held, brief: brief})
}

func (m *Machine) dequeue(held *record) {
	m.gossip.queue = slices.DeleteFunc(m.gossip.queue, func(each *queued) bool { return each.held == held })
}

// retransmissions is how often a changed record is sent; a new member's costs
// the most and is also what a sync repairs best, so it is sent less often.
func (m *Machine) retransmissions(brief bool) int {
	if brief {
		return int(math.Ceil(briefMultiplier * m.scale()))
	}
	return int(math.Ceil(fullMultiplier * m.scale()))
}

// send completes a message with sender, signs, head and rumours and puts it
// into the output.
func (m *Machine) send(address string, message Message) {
	m.complete(&message)
	budget := piggybackBudget - fixedCost - len(message.Buckets)
	for _, each := range message.Rumours {
		budget -= cost(each)
	}
	m.piggybackHead(&message, &budget)
	m.piggybackSigns(&message, &budget)
	m.piggybackRumours(&message, &budget)
	m.output.Messages = append(m.output.Messages, Envelope{To: address, Message: message})
}

func (m *Machine) complete(message *Message) {
	message.From = m.self.Node
	message.Incarnation = m.self.Incarnation
	message.HeadVersion = m.head.Version
	message.Joining = m.joining()
}

func cost(rumour Rumour) int {
	return itemCost + len(rumour.Node) + len(rumour.Zone) + len(rumour.HTTPAddress) + len(rumour.GossipAddress)
}

func (m *Machine) piggybackHead(message *Message, budget *int) {
	if message.Head == nil && m.gossip.headSends > 0 {
		m.gossip.headSends--
		head := m.head
		message.Head = &head
	}
	if message.Head != nil {
		*budget -= itemCost + len(message.Head.Digest) + len(message.Head.Holder)
	}
}

func (m *Machine) piggybackSigns(message *Message, budget *int) {
	for _, each := range m.gossip.signOrder {
		size := itemCost + len(each.sign.Backend) + len(each.sign.Incarnation) + len(each.sign.Observer)
		if each.sends >= signTransmissions || size > *budget {
			continue
		}
		if len(message.Reports) == maxSignsAMessage {
			return
		}
		each.sends++
		*budget -= size
		message.Reports = append(message.Reports, each.sign)
	}
}

// piggybackRumours adds the least often sent rumours that fit.
func (m *Machine) piggybackRumours(message *Message, budget *int) {
	slices.SortStableFunc(m.gossip.queue, func(a, b *queued) int { return a.sends - b.sends })
	for _, each := range m.gossip.queue {
		rumour := Rumour(each.held.Member)
		if each.brief {
			rumour = compact(each.held.Member)
		}
		size := cost(rumour)
		if size > *budget || m.gossip.rumourTokens < float64(size) {
			break
		}
		*budget -= size
		m.gossip.rumourTokens -= float64(size)
		each.sends++
		message.Rumours = append(message.Rumours, rumour)
	}
	m.gossip.queue = slices.DeleteFunc(m.gossip.queue, func(each *queued) bool { return each.sends >= m.retransmissions(each.brief) })
}

// spreadNow sends what is queued to a few random members without waiting for
// the next probe, within a bounded rate.
func (m *Machine) spreadNow() {
	for _, member := range m.sample(urgentFanout, "") {
		if m.gossip.urgentTokens < 1 {
			return
		}
		m.gossip.urgentTokens--
		m.send(member.GossipAddress, Message{Kind: KindGossip})
	}
}

// refill restores the bounded rates after a time.
func (m *Machine) refill(passed time.Duration) {
	m.gossip.urgentTokens = min(urgentBurst, m.gossip.urgentTokens+urgentPerSecond*passed.Seconds())
	m.gossip.rumourTokens = min(rumourBurst, m.gossip.rumourTokens+rumourPerSecond*passed.Seconds())
	m.syncing.tokens = min(syncBurst, m.syncing.tokens+syncPerSecond*passed.Seconds())
}

// Broadcast spreads a sign that this router has observed itself.
func (m *Machine) Broadcast(now time.Time, sign BackendReport) error {
	m.advance(now)
	sign.Observer = m.self.Node
	sign.ObservedAt = now.UnixMilli()
	if err := (&Message{Kind: KindGossip, From: m.self.Node, Reports: []BackendReport{sign}}).check(); err != nil {
		return err
	}
	if m.holdSign(sign) {
		m.spreadNow()
	}
	return nil
}

func (m *Machine) takeSigns(signs []BackendReport) {
	fresh := false
	for _, sign := range signs {
		if m.holdSign(sign) {
			fresh = true
			m.event(Event{Kind: ReportReceived, Report: sign})
		}
	}
	if fresh {
		m.spreadNow()
	}
}

// holdSign keeps a sign and reports whether it is new.
func (m *Machine) holdSign(sign BackendReport) bool {
	key := signKey{sign.Backend, sign.Incarnation, sign.Kind}
	if known, found := m.gossip.signs[key]; found {
		if sign.ObservedAt < known.sign.ObservedAt+signRepeat.Milliseconds() {
			return false
		}
		m.dropSign(known)
	}
	if len(m.gossip.signOrder) == maxSigns {
		m.dropSign(m.gossip.signOrder[maxSigns-1])
	}
	held := &heldSign{sign: sign, received: m.now}
	m.gossip.signs[key] = held
	m.gossip.signOrder = slices.Insert(m.gossip.signOrder, 0, held)
	return true
}

func (m *Machine) dropSign(held *heldSign) {
	delete(m.gossip.signs, signKey{held.sign.Backend, held.sign.Incarnation, held.sign.Kind})
	m.gossip.signOrder = slices.DeleteFunc(m.gossip.signOrder, func(each *heldSign) bool { return each == held })
}

func (m *Machine) expireSigns() {
	for last := len(m.gossip.signOrder) - 1; last >= 0; last-- {
		held := m.gossip.signOrder[last]
		if m.now.Sub(held.received) <= m.timing.ReportRetention {
			return
		}
		m.dropSign(held)
	}
}

// raiseHead takes a newer fleet version.
func (m *Machine) raiseHead(head FleetHead) {
	if head.Version <= m.head.Version {
		return
	}
	m.head = head
	m.gossip.headSends = m.retransmissions(true)
	m.event(Event{Kind: FleetHeadRaised, Head: head})
}

// headFor returns the newest fleet version if the sender does not know it.
func (m *Machine) headFor(message *Message) *FleetHead {
	if message.HeadVersion >= m.head.Version {
		return nil
	}
	head := m.head
	return &head
}
