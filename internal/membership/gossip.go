package membership

import (
	"math"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// messageBudget is the estimated size up to which messages are filled, in
	// bytes; piggybackBudget is the same for probes and their answers.
	messageBudget   = 1000
	piggybackBudget = 800
	// fixedSize estimates the encoded size of a message without its lists, in bytes, and
	// itemSize that of a list item without its strings.
	fixedSize = 110
	itemSize  = 26
	// urgentFanout is the number of members to which a new report is sent immediately.
	urgentFanout = 4
	// urgentBurst and urgentPerSecond bound the datagrams sent immediately.
	urgentBurst     = 40
	urgentPerSecond = 8
	// rumourBurst and rumourPerSecond bound the bytes of piggybacked rumours.
	rumourBurst     = 8 << 10
	rumourPerSecond = 700
	// reportTransmissions is how often a report is sent.
	reportTransmissions  = 10
	maxReports           = 512
	maxReportsPerMessage = 6
	// reportRepeatInterval is how much later an equal report must have been observed to count
	// as a new one.
	reportRepeatInterval = 10 * time.Second
)

// gossip is the state for the dissemination of rumours and reports.
type gossip struct {
	queue        []*queued
	reports      map[reportKey]*storedReport
	reportOrder  []*storedReport
	headSends    int
	urgentTokens float64
	// rumourTokens is the remaining byte budget for piggybacked rumours.
	rumourTokens float64
}

// queued is a member with a changed record; the record is read when it is sent.
type queued struct {
	record *record
	sends  int
	brief  bool
}

type reportKey struct {
	backend     string
	incarnation ident.Incarnation
	kind        ReportKind
}

type storedReport struct {
	report   BackendReport
	received time.Time
	sends    int
}

// compact returns a rumour without zone and addresses.
func compact(member Member) Rumour {
	return Rumour{Node: member.Node, Incarnation: member.Incarnation, State: member.State, FleetVersion: member.FleetVersion}
}

// enqueue schedules the dissemination of a record; brief omits zone and addresses.
func (m *Machine) enqueue(changed *record, brief bool) {
	for _, each := range m.gossip.queue {
		if each.record == changed {
			each.brief = each.brief && brief
			each.sends = 0
			return
		}
	}
	m.gossip.queue = append(m.gossip.queue, &queued{record: changed, brief: brief})
}

func (m *Machine) dequeue(removed *record) {
	m.gossip.queue = slices.DeleteFunc(m.gossip.queue, func(each *queued) bool { return each.record == removed })
}

// retransmissions returns how often a changed record is sent. Full records are sent less
// often: they are larger, and a sync repairs them well.
func (m *Machine) retransmissions(brief bool) int {
	if brief {
		return int(math.Ceil(briefMultiplier * m.scale()))
	}
	return int(math.Ceil(fullMultiplier * m.scale()))
}

// send adds sender, reports, head and rumours to a message and appends it to the output.
func (m *Machine) send(address string, message Message) {
	m.complete(&message)
	budget := piggybackBudget - fixedSize - len(message.Buckets)
	for _, each := range message.Rumours {
		budget -= estimatedSize(each)
	}
	m.piggybackHead(&message, &budget)
	m.piggybackReports(&message, &budget)
	m.piggybackRumours(&message, &budget)
	m.output.Messages = append(m.output.Messages, Envelope{To: address, Message: message})
}

func (m *Machine) complete(message *Message) {
	message.From = m.self.Node
	message.Incarnation = m.self.Incarnation
	message.HeadVersion = m.head.Version
	message.Joining = m.joining()
}

func estimatedSize(rumour Rumour) int {
	return itemSize + len(rumour.Node) + len(rumour.Zone) + len(rumour.HTTPAddress) + len(rumour.GossipAddress)
}

func (m *Machine) piggybackHead(message *Message, budget *int) {
	if message.Head == nil && m.gossip.headSends > 0 {
		m.gossip.headSends--
		head := m.head
		message.Head = &head
	}
	if message.Head != nil {
		*budget -= itemSize + len(message.Head.Digest) + len(message.Head.Holder)
	}
}

func (m *Machine) piggybackReports(message *Message, budget *int) {
	for _, each := range m.gossip.reportOrder {
		size := itemSize + len(each.report.Backend) + len(each.report.Incarnation) + len(each.report.Observer)
		if each.sends >= reportTransmissions || size > *budget {
			continue
		}
		if len(message.Reports) == maxReportsPerMessage {
			return
		}
		each.sends++
		*budget -= size
		message.Reports = append(message.Reports, each.report)
	}
}

// piggybackRumours adds the least often sent rumours that fit.
func (m *Machine) piggybackRumours(message *Message, budget *int) {
	slices.SortStableFunc(m.gossip.queue, func(a, b *queued) int { return a.sends - b.sends })
	for _, each := range m.gossip.queue {
		rumour := Rumour(each.record.Member)
		if each.brief {
			rumour = compact(each.record.Member)
		}
		size := estimatedSize(rumour)
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

// gossipNow sends queued reports and rumours to a few random members without waiting for
// the next probe, at a bounded rate.
func (m *Machine) gossipNow() {
	for _, member := range m.sample(urgentFanout, "") {
		if m.gossip.urgentTokens < 1 {
			return
		}
		m.gossip.urgentTokens--
		m.send(member.GossipAddress, Message{Kind: KindGossip})
	}
}

// refill refills the token buckets for the time that has passed.
func (m *Machine) refill(passed time.Duration) {
	m.gossip.urgentTokens = min(urgentBurst, m.gossip.urgentTokens+urgentPerSecond*passed.Seconds())
	m.gossip.rumourTokens = min(rumourBurst, m.gossip.rumourTokens+rumourPerSecond*passed.Seconds())
	m.syncing.tokens = min(syncBurst, m.syncing.tokens+syncPerSecond*passed.Seconds())
}

// Broadcast disseminates a report of this router's own observation.
func (m *Machine) Broadcast(now time.Time, report BackendReport) error {
	m.advance(now)
	report.Observer = m.self.Node
	report.ObservedAt = now.UnixMilli()
	if err := (&Message{Kind: KindGossip, From: m.self.Node, Reports: []BackendReport{report}}).validate(); err != nil {
		return err
	}
	if m.storeReport(report) {
		m.gossipNow()
	}
	return nil
}

func (m *Machine) receiveReports(reports []BackendReport) {
	fresh := false
	for _, report := range reports {
		if m.storeReport(report) {
			fresh = true
			m.event(Event{Kind: ReportReceived, Report: report})
		}
	}
	if fresh {
		m.gossipNow()
	}
}

// storeReport stores a report and returns whether it is new.
func (m *Machine) storeReport(report BackendReport) bool {
	key := reportKey{report.Backend, report.Incarnation, report.Kind}
	if known, found := m.gossip.reports[key]; found {
		if report.ObservedAt < known.report.ObservedAt+reportRepeatInterval.Milliseconds() {
			return false
		}
		m.removeReport(known)
	}
	if len(m.gossip.reportOrder) == maxReports {
		m.removeReport(m.gossip.reportOrder[maxReports-1])
	}
	stored := &storedReport{report: report, received: m.now}
	m.gossip.reports[key] = stored
	m.gossip.reportOrder = slices.Insert(m.gossip.reportOrder, 0, stored)
	return true
}

func (m *Machine) removeReport(removed *storedReport) {
	delete(m.gossip.reports, reportKey{removed.report.Backend, removed.report.Incarnation, removed.report.Kind})
	m.gossip.reportOrder = slices.DeleteFunc(m.gossip.reportOrder, func(each *storedReport) bool { return each == removed })
}

func (m *Machine) expireReports() {
	for last := len(m.gossip.reportOrder) - 1; last >= 0; last-- {
		oldest := m.gossip.reportOrder[last]
		if m.now.Sub(oldest.received) <= m.timing.ReportRetention {
			return
		}
		m.removeReport(oldest)
	}
}

// raiseHead records a newer fleet version.
func (m *Machine) raiseHead(head FleetHead) {
	if head.Version <= m.head.Version {
		return
	}
	m.head = head
	m.gossip.headSends = m.retransmissions(true)
	m.event(Event{Kind: FleetHeadRaised, Head: head})
}

// headFor returns the newest fleet version if the sender has not seen it, else nil.
func (m *Machine) headFor(message *Message) *FleetHead {
	if message.HeadVersion >= m.head.Version {
		return nil
	}
	head := m.head
	return &head
}
