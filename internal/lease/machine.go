package lease

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// Kind is the purpose of an Exchange.
type Kind uint8

const (
	// Observe reads the lease row.
	Observe Kind = iota + 1
	// Acquire acquires the lease with a new fence.
	Acquire
	// Renew writes the holder's row again.
	Renew
	// Release gives the lease up, so that others may acquire it at once.
	Release
)

// Exchange is one request to the table.
type Exchange struct {
	Kind Kind
	// Key is the row to read (Observe).
	Key string
	// Transaction is what to commit (all others).
	Transaction protocol.Transaction
	// SentAt is when Advance returned the exchange.
	SentAt time.Time
}

// Outcome is the result of an Exchange.
type Outcome struct {
	Committed bool
	// Rows are the rows of the TransactionResult, or the one row read; a row
	// that does not exist has version 0.
	Rows []protocol.Row
	// Fault is not nil if there was no answer.
	Fault *fault.Fault
}

// Machine contends for one lease. It is a state machine without I/O or clock
// and is not safe for concurrent use. Times must carry monotonic readings or
// come from one source that never goes back.
//
// Invariants: at most one exchange is in flight; the lease is held only while a write of this
// session, sent less than the duration ago, is confirmed; a fence belongs to one session for ever.
type Machine struct {
	config  Config
	name    string
	node    ident.Node
	session string

	contends bool
	floor    uint64

	observed bool
	row      protocol.Row
	record   Record
	seenAt   time.Time
	counter  protocol.Row

	// held, fence and until are kept apart from record: a restored table may show a record of this
	// session with an older fence.
	held  bool
	fence uint64
	until time.Time
	// actUntil is from when no action may begin.
	actUntil time.Time
	// quietUntil ends the wait after the last holder's actions, lastActionAt is when this session
	// last acted.
	quietUntil, lastActionAt time.Time
	inFlight                 *Exchange
	nextAt                   time.Time
	counters                 Counters
	clock                    storeClock
	// epoch is the newest of the table, restoredAt when it was first observed; zero if the restore
	// cannot have hidden a holder.
	epoch      tableEpoch
	restoredAt time.Time
}

// NewMachine returns a machine that does not contend yet. No process may have used the session
// before.
func NewMachine(config Config, name string, node ident.Node, session string) *Machine {
	return &Machine{config: config.withDefaults(), name: name, node: node, session: session}
}

// Contend sets whether this node contends for the lease. A holder that stops contending does not
// hold the lease from then on, and releases it.
func (m *Machine) Contend(now time.Time, contend bool) {
	if m.contends == contend {
		return
	}
	m.contends = contend
	m.nextAt = now
	m.held = m.held && contend
}

// StepDown gives the lease up unless its fence is above floor; it is acquired again only with a
// fence above floor.
func (m *Machine) StepDown(now time.Time, floor uint64) {
	if floor > m.floor {
		m.floor = floor
		m.counters.StaleFences++
	}
	if m.held && m.fence <= m.floor {
		m.held = false
		m.nextAt = now
	}
}

// Held returns the grant if the lease is held now.
func (m *Machine) Held(now time.Time) (Grant, error) {
	if !m.held || !now.Before(m.until) {
		return Grant{}, ErrNotHeld
	}
	return Grant{Fence: m.fence, Until: m.until, QuietUntil: m.quietUntil, ActUntil: m.actUntil}, nil
}

// Act records an action that begins now and returns its grant. It fails with ErrNotNow outside the
// act window and in the quiet time.
func (m *Machine) Act(now time.Time) (Grant, error) {
	grant, err := m.Held(now)
	if err != nil {
		return Grant{}, err
	}
	if now.Before(grant.QuietUntil) || !now.Before(grant.ActUntil) {
		return Grant{}, ErrNotNow
	}
	m.lastActionAt = now
	return grant, nil
}

// quietLeft returns how long the next holder has to wait after a release now.
func (m *Machine) quietLeft(now time.Time) time.Duration {
	left := m.quietUntil
	if used := m.lastActionAt.Add(m.config.Quiet); !m.lastActionAt.IsZero() && used.After(left) {
		left = used
	}
	return max(left.Sub(now), 0)
}

// quietAfter returns the end of the quiet time after the last observed holder's actions, and after
// those of a holder that a restore of the table may have hidden.
func (m *Machine) quietAfter(now time.Time) time.Time {
	quiet := m.quietAfterRow(now)
	if quietAfterRestore := m.restoredAt.Add(m.maxActionTime()); !m.restoredAt.IsZero() && quietAfterRestore.After(quiet) {
		return quietAfterRestore
	}
	return quiet
}

// quietAfterRow returns the end of the quiet time by the row: a released row states the rest of it;
// under one that expired, actions may have begun for the whole act window after its write.
func (m *Machine) quietAfterRow(now time.Time) time.Time {
	switch {
	case m.row.Version == 0:
		return now
	case m.vacant():
		return m.seenAt.Add(m.record.Quiet)
	default:
		return m.seenAt.Add(m.maxActionTime())
	}
}

// maxActionTime is the time from a write of its row to the end of a holder's quiet time.
func (m *Machine) maxActionTime() time.Duration {
	drift := time.Duration(m.config.DriftMargin * float64(m.config.ActWindow))
	return m.config.ActWindow + drift + m.config.Quiet
}

// Holder returns the holder by the last observed row, or "" if there is none or this node does not
// contend.
func (m *Machine) Holder() ident.Node {
	if !m.contends || !m.observed {
		return ""
	}
	return m.record.Node
}

// Counters returns the current counts.
func (m *Machine) Counters() Counters { return m.counters }

// Idle reports whether no exchange is in flight or due before the next Contend.
func (m *Machine) Idle() bool { return m.inFlight == nil && !m.hasWork() }

// hasWork reports whether exchanges with the table are needed: the node contends, its row is in the
// table, or it has an unsettled write.
func (m *Machine) hasWork() bool {
	settling := !m.observed && m.row.Version > 0
	return m.contends || m.ownsRow() || settling
}

// Next returns when to call Advance again; false means after the exchange in flight or the next
// Contend.
func (m *Machine) Next() (time.Time, bool) {
	if m.inFlight != nil || !m.hasWork() {
		return time.Time{}, false
	}
	return m.nextAt, true
}

// Advance returns the exchange that is due, if any. Its outcome must be passed to Done.
func (m *Machine) Advance(now time.Time) (Exchange, bool) {
	if m.held && !now.Before(m.until) {
		m.held = false
		m.counters.Lapsed++
	}
	next, pending := m.Next()
	if !pending || now.Before(next) {
		return Exchange{}, false
	}
	exchange := m.nextExchange(now)
	exchange.SentAt = now
	m.inFlight = &exchange
	if exchange.Kind == Observe {
		m.counters.Reads++
	} else {
		m.counters.Transactions++
	}
	return exchange, true
}

func (m *Machine) nextExchange(now time.Time) Exchange {
	switch {
	case !m.observed, m.awaitsHolder(now):
		return m.observeExchange()
	case m.ownsRow() && !m.contends:
		return m.writeExchange(now, Release, Record{Fence: m.record.Fence, Duration: m.config.Duration, Quiet: m.quietLeft(now)})
	case m.ownsRow() && m.record.Fence > m.floor:
		renewed := m.record
		renewed.Duration = m.config.Duration
		renewed.Renewals++
		return m.writeExchange(now, Renew, renewed)
	case m.ownsRow() || m.vacant() || !now.Before(m.seenAt.Add(m.record.Duration)):
		m.quietUntil = m.quietAfter(now)
		if used := m.lastActionAt.Add(m.config.Quiet); !m.lastActionAt.IsZero() && used.After(m.quietUntil) {
			m.quietUntil = used
		}
		return m.acquireExchange(now)
	}
	return m.observeExchange()
}

func (m *Machine) observeExchange() Exchange { return Exchange{Kind: Observe, Key: RowKey(m.name)} }

func (m *Machine) writeExchange(now time.Time, kind Kind, record Record) Exchange {
	record.SentBy, record.Epoch = m.clock.latest(now, m.config.DriftMargin), m.epoch.newest
	return Exchange{Kind: kind, Transaction: protocol.Transaction{
		Conditions: []protocol.Condition{{Key: RowKey(m.name), Version: m.row.Version}},
		Writes:     []protocol.Write{{Key: RowKey(m.name), Value: encode(record)}},
	}}
}

// acquireExchange builds the transaction that raises the fence counter and acquires the lease, both
// or neither. If the counter has changed it fails and returns the current one.
func (m *Machine) acquireExchange(now time.Time) Exchange {
	fence := max(decodeCounter(m.counter.Value), m.record.Fence, m.floor, m.epoch.newest*fencesPerEpoch) + 1
	record := Record{Node: m.node, Session: m.session, Fence: fence, Duration: m.config.Duration}
	exchange := m.writeExchange(now, Acquire, record)
	transaction := &exchange.Transaction
	transaction.Conditions = append(transaction.Conditions, protocol.Condition{Key: CounterKey, Version: m.counter.Version})
	transaction.Writes = append(transaction.Writes, protocol.Write{Key: CounterKey, Value: encode(counterRecord{Fence: fence})})
	return exchange
}

// ownsRow reports whether the last observed row names this session as the holder.
func (m *Machine) ownsRow() bool { return m.observed && m.record.Session == m.session }

// vacant reports whether the last observed row names no holder.
func (m *Machine) vacant() bool { return m.row.Version == 0 || m.record.Session == "" }

// Done applies the outcome of the exchange in flight.
func (m *Machine) Done(now time.Time, outcome Outcome) {
	if m.inFlight == nil {
		return
	}
	sent := *m.inFlight
	m.inFlight = nil
	if len(outcome.Rows) > 0 {
		m.clock.observe(sent.SentAt, outcome.Rows[0].StoreTime)
	}
	switch {
	case outcome.Fault != nil:
		m.applyFailure(now, sent, outcome.Fault)
	case sent.Kind == Observe:
		m.observeRow(now, outcome.Rows[0])
	case outcome.Committed:
		m.applyCommit(now, sent, outcome.Rows)
	default:
		m.observeRow(now, outcome.Rows[0])
		if sent.Kind == Acquire {
			m.counter = outcome.Rows[1]
			m.nextAt = now
		}
	}
}

// applyFailure schedules a read of the row after a write that may have taken effect. That read
// never extends the lease: it only finds the row version for the next renewal.
func (m *Machine) applyFailure(now time.Time, sent Exchange, cause *fault.Fault) {
	m.nextAt = now.Add(max(m.config.RetryPause, cause.RetryAfter))
	if sent.Kind != Observe && cause.Ran != fault.RanNo {
		m.observed = false
		m.counters.Unsettled++
	}
}

// observeRow records the row as it was at some time before now.
func (m *Machine) observeRow(now time.Time, row protocol.Row) {
	if !m.observed || row.Version != m.row.Version {
		m.setRow(now, row)
	}
	m.observeEpoch(now, &row)
	m.observed = true
	if m.held && !m.ownsRow() {
		m.held = false
		m.counters.Lost++
	}
	m.nextAt = now
	if !m.ownsRow() && !m.vacant() {
		takeover := m.seenAt.Add(m.record.Duration)
		watch := now.Add(m.config.Duration / renewalsPerDuration)
		m.nextAt = earlier(takeover, watch)
	}
	if m.awaitsHolder(now) {
		m.nextAt = earlier(m.restoredAt.Add(m.config.Duration), now.Add(m.config.Duration/renewalsPerDuration))
	}
}

// setRow replaces the observed row. An unchanged version keeps the time of its first observation
// even if an exchange in between was lost.
func (m *Machine) setRow(now time.Time, row protocol.Row) {
	first := row.Version != m.row.Version || m.seenAt.IsZero()
	if first {
		m.seenAt = now
	}
	m.row = row
	record, err := DecodeRecord(row.Value)
	if err != nil && row.Version > 0 {
		record = Record{Session: "malformed", Duration: m.config.Duration, Fence: m.record.Fence}
	}
	m.record = record
	if age := row.StoreTime - record.SentBy; first && record.SentBy > 0 && age > 0 && record.Epoch == row.Epoch {
		// age by the slowest clock is the least time since the row was sent.
		m.seenAt = now.Add(-time.Duration((1 - m.config.DriftMargin) * float64(age)))
	}
}

// applyCommit applies a confirmed write: the lease runs from before the write was sent.
func (m *Machine) applyCommit(now time.Time, sent Exchange, rows []protocol.Row) {
	m.setRow(now, rows[0])
	m.epoch.observe(rows[0].Epoch)
	m.observed, m.restoredAt = true, time.Time{}
	m.nextAt = now
	switch sent.Kind {
	case Release:
		m.counters.Released++
		m.nextAt = now.Add(m.config.Duration / renewalsPerDuration)
		return
	case Acquire:
		m.counter = rows[1]
		m.counters.Acquired++
	default:
		m.counters.Renewed++
	}
	margin := time.Duration(m.config.DriftMargin * float64(m.config.Duration))
	m.until = sent.SentAt.Add(m.config.Duration - margin)
	m.actUntil = sent.SentAt.Add(m.config.ActWindow)
	m.held, m.fence = m.contends && m.record.Fence > m.floor, m.record.Fence
	if m.held {
		m.nextAt = sent.SentAt.Add(m.config.Duration / renewalsPerDuration)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
