package membership

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Timing holds the periods of the protocol. Zero fields take the defaults.
type Timing struct {
	// ProbePeriod is the time between two probes of this router (1 s).
	ProbePeriod time.Duration
	// ProbeTimeout is how long a direct probe waits before indirect probes start (400 ms).
	ProbeTimeout time.Duration
	// SyncPeriod is the time between two anti-entropy exchanges (10 s).
	SyncPeriod time.Duration
	// ReconnectPeriod is the time between two attempts to reach a dead member or an unknown
	// seed (15 s).
	ReconnectPeriod time.Duration
	// DeadRetention is how long a dead member is kept (15 min).
	DeadRetention time.Duration
	// ReportRetention is how long a report is kept (60 s).
	ReportRetention time.Duration
}

func (t Timing) withDefaults() Timing {
	t.ProbePeriod = cmp.Or(max(0, t.ProbePeriod), time.Second)
	t.ProbeTimeout = cmp.Or(max(0, t.ProbeTimeout), 400*time.Millisecond)
	t.SyncPeriod = cmp.Or(max(0, t.SyncPeriod), 10*time.Second)
	t.ReconnectPeriod = cmp.Or(max(0, t.ReconnectPeriod), 15*time.Second)
	t.DeadRetention = cmp.Or(max(0, t.DeadRetention), 15*time.Minute)
	t.ReportRetention = cmp.Or(max(0, t.ReportRetention), time.Minute)
	return t
}

const (
	// suspicionMultiplier scales the suspicion timeout with log10(members).
	suspicionMultiplier = 4
	// briefMultiplier and fullMultiplier scale the transmissions of a rumour with
	// log10(members).
	briefMultiplier = 4
	fullMultiplier  = 1
	// maxMembers and maxSeeds bound the machine's memory.
	maxMembers = 4096
	maxSeeds   = 1024
	// stallPeriods is the number of probe periods without a tick after which this process
	// counts as paused, so that silent members are not to blame.
	stallPeriods = 3
	// joinPeriods bounds the probe periods for which a router counts as joining.
	joinPeriods = 10
)

// record is a member with this router's timers for it.
type record struct {
	Member
	// changed is when State was last set.
	changed time.Time
	// deadAt is when a suspected member becomes dead; zero if it is not suspected.
	deadAt time.Time
}

// Machine is the membership protocol without I/O: inputs are messages and times, outputs are
// returned by Ready. It is deterministic for the same inputs and random source, and not safe
// for concurrent use.
type Machine struct {
	timing Timing
	random *rand.Rand
	now    time.Time
	// records is sorted by node name and contains this router itself.
	records []*record
	self    *record
	seeds   []string
	head    FleetHead
	left    bool
	joined  bool
	started time.Time
	// nextSweep is when the timers of all records are checked next.
	nextSweep time.Time

	probing probing
	gossip  gossip
	syncing syncing
	output  Output
}

// Output is what the caller must send and report after each input.
type Output struct {
	Messages []Envelope
	Events   []Event
}

// NewMachine returns the machine of a router whose view contains only itself. The incarnation
// of self must exceed those of its former processes, as its start time in milliseconds does.
func NewMachine(now time.Time, self Member, timing Timing, random *rand.Rand) (*Machine, error) {
	rumour := Rumour(self)
	if !rumour.valid() || self.GossipAddress == "" {
		return nil, fault.New(fault.InvalidSettings, "the router's name %q, zone or addresses are empty or too long", self.Node).
			WithRemedy("set node, zone and addresses in the settings file")
	}
	self.State = Alive
	machine := &Machine{timing: timing.withDefaults(), random: random, now: now, started: now}
	machine.self = &record{Member: self, changed: now}
	machine.records = []*record{machine.self}
	period := machine.timing.ProbePeriod
	machine.probing.next = now.Add(time.Duration(random.Int63n(int64(period))))
	machine.probing.relays = map[uint64]relay{}
	machine.probing.sequence = random.Uint64() >> 32
	machine.gossip.reports = map[reportKey]*storedReport{}
	machine.gossip.urgentTokens = urgentBurst
	machine.gossip.rumourTokens = rumourBurst
	machine.syncing.tokens = syncBurst
	machine.syncing.next = now.Add(period)
	machine.syncing.interval = period
	machine.syncing.nextReconnect = now
	machine.enqueue(machine.self, false)
	return machine, nil
}

// Ready returns and clears the output of the inputs since the last call.
func (m *Machine) Ready() Output {
	output := m.output
	m.output = Output{}
	return output
}

// View returns a snapshot of the members, including the dead ones that are still kept.
func (m *Machine) View() View {
	view := View{Self: m.self.Node, Members: make([]Member, len(m.records))}
	for i, each := range m.records {
		view.Members[i] = each.Member
	}
	return view
}

// Head returns the newest fleet version seen.
func (m *Machine) Head() FleetHead { return m.head }

// AddSeeds adds possible gossip addresses of other routers.
func (m *Machine) AddSeeds(addresses []string) {
	for _, address := range addresses {
		skip := address == "" || len(address) > maxAddress || address == m.self.GossipAddress || slices.Contains(m.seeds, address)
		if skip {
			continue
		}
		if len(m.seeds) == maxSeeds {
			m.seeds = slices.Delete(m.seeds, 0, 1)
		}
		m.seeds = append(m.seeds, address)
	}
}

// SetFleetVersion records this router's active fleet version. Lower versions than the
// present one are ignored.
func (m *Machine) SetFleetVersion(now time.Time, version uint64, digest string) {
	m.advance(now)
	if version <= m.self.FleetVersion {
		return
	}
	m.self.FleetVersion = version
	m.enqueue(m.self, true)
	m.event(Event{Kind: MemberVersionChanged, Member: m.self.Member})
	m.raiseHead(FleetHead{Version: version, Digest: digest, Holder: m.self.Node})
}

// Leave announces that this router shuts down. It still answers until Depart.
func (m *Machine) Leave(now time.Time) {
	m.advance(now)
	if m.self.State != Alive {
		return
	}
	m.self.State = Leaving
	m.raiseIncarnation(m.self.Incarnation)
	m.gossipNow()
}

// Depart notifies a few members that this router has stopped. It must be the last input.
func (m *Machine) Depart(now time.Time) {
	m.advance(now)
	m.left = true
	m.self.State = Dead
	m.raiseIncarnation(m.self.Incarnation)
	m.gossipNow()
}

// Tick advances the timers. Call it at least four times a probe period.
func (m *Machine) Tick(now time.Time) {
	if m.left {
		return
	}
	gap := now.Sub(m.now)
	m.advance(now)
	if gap > stallPeriods*m.timing.ProbePeriod {
		m.extendSuspicions(gap)
	}
	m.checkProbes()
	if !now.Before(m.nextSweep) {
		m.nextSweep = now.Add(m.timing.ProbePeriod)
		m.expireSuspicions()
		m.removeDead()
		m.expireReports()
	}
	if !now.Before(m.probing.next) {
		m.probing.next = now.Add(m.timing.ProbePeriod)
		m.probeRound()
	}
	m.syncRound()
}

// Step processes one message received from the given source address.
func (m *Machine) Step(now time.Time, source string, message *Message) {
	m.advance(now)
	if m.left || message.From == m.self.Node {
		return
	}
	fromSync := message.Kind == KindMembers
	for i := range message.Rumours {
		m.merge(message.Rumours[i], fromSync)
	}
	m.receiveReports(message.Reports)
	if message.Head != nil {
		m.raiseHead(*message.Head)
	}
	switch message.Kind {
	case KindPing:
		m.answerPing(source, message)
	case KindAck:
		m.receiveAck(message)
	case KindPingRequest:
		m.relayProbe(source, message)
	case KindSync, KindSyncAnswer:
		m.answerSync(source, message)
	}
	settled := message.Kind == KindSyncAnswer || message.Kind == KindMembers
	m.joined = m.joined || (settled && !message.Joining)
}

// joining reports whether this router has not reached a router that has joined. It is
// bounded in time, since no router has joined if all start at once.
func (m *Machine) joining() bool {
	return !m.joined && m.now.Sub(m.started) < joinPeriods*m.timing.ProbePeriod
}

// advance sets the clock, which never runs backwards.
func (m *Machine) advance(now time.Time) {
	if now.After(m.now) {
		m.refill(now.Sub(m.now))
		m.now = now
	}
}

// extendSuspicions drops pending probes and extends suspicions by the time for which this
// process was paused.
func (m *Machine) extendSuspicions(gap time.Duration) {
	m.probing.pending = nil
	for _, each := range m.records {
		if !each.deadAt.IsZero() {
			each.deadAt = each.deadAt.Add(gap)
		}
	}
}

func (m *Machine) find(node ident.Node) *record {
	index, found := m.search(node)
	if !found {
		return nil
	}
	return m.records[index]
}

func (m *Machine) search(node ident.Node) (int, bool) {
	return slices.BinarySearchFunc(m.records, node, func(each *record, name ident.Node) int {
		switch {
		case each.Node < name:
			return -1
		case each.Node > name:
			return 1
		}
		return 0
	})
}

func (m *Machine) event(event Event) { m.output.Events = append(m.output.Events, event) }

// scale returns the logarithmic factor of the timeouts and retransmissions.
func (m *Machine) scale() float64 {
	return max(1, math.Log10(float64(len(m.records)+1)))
}

func (m *Machine) suspicionTimeout() time.Duration {
	return time.Duration(suspicionMultiplier * m.scale() * float64(m.timing.ProbePeriod))
}
