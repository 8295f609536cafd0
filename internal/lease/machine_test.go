package lease

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/storetest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	tick     = 250 * time.Millisecond
	ticks    = 400
	timeout  = 1500 * time.Millisecond
	duration = 9 * time.Second
	quiet    = 3 * time.Second
	// actWindow is longer than the time between two renewals and one tick.
	actWindow = 4 * time.Second
	// slowest is a lower bound of the clocks' rates, by which a wait may be shorter.
	slowest = 0.9
)

// pendingExchange is one exchange in flight. It may take effect after its timeout.
type pendingExchange struct {
	exchange            Exchange
	appliesAt, answerAt time.Time
	lost, applied       bool
	outcome             Outcome
}

// sentOrder is an order that was sent under a grant and arrives later.
type sentOrder struct {
	fence     uint64
	arrivesAt time.Time
}

// node is one contender, with a clock that may run at another rate.
type node struct {
	machine     *Machine
	rate        float64
	pending     *pendingExchange
	pausedUntil time.Time
}

// simulation explores pauses, lost answers, late commits and orders in flight.
type simulation struct {
	t           *rapid.T
	now         time.Time
	table       *tableModel
	nodes       []*node
	late        []*pendingExchange
	owners      map[uint64]int
	acquired    []uint64
	orders      []sentOrder
	engineFence uint64
	executed    []uint64
	deletes     bool
	// restores is whether the table is restored from older copies; backup is the last one.
	restores bool
	backup   storetest.Copy
	restored int
	// reportsTime is whether the table reports its own time.
	reportsTime bool
	// actedAt and actedFence are those of the last order sent.
	actedAt    time.Time
	actedFence uint64
	handovers  int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: epoch, table: newTableModel(), owners: map[uint64]int{}, deletes: rapid.Bool().Draw(t, "deletes")}
	s.reportsTime = rapid.Bool().Draw(t, "reports time")
	s.restores, s.backup = rapid.Bool().Draw(t, "restores"), s.table.Copy()
	for index := range 3 {
		n := &node{rate: rapid.Float64Range(0.95, 1.05).Draw(t, "rate")}
		n.machine = NewMachine(Config{Duration: duration, Quiet: quiet, ActWindow: actWindow}, "x", ident.Node(fmt.Sprint(index)), fmt.Sprint("session-", index))
		n.machine.Contend(s.localTime(n), true)
		s.nodes = append(s.nodes, n)
	}
	return s
}

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// localTime is the time of a node's own clock.
func (s *simulation) localTime(n *node) time.Time {
	return epoch.Add(time.Duration(float64(s.now.Sub(epoch)) * n.rate))
}

// oneIn draws an event that happens once in the given number of times.
func (s *simulation) oneIn(label string, times int) bool {
	return rapid.IntRange(0, times-1).Draw(s.t, label) == times-1
}

func (s *simulation) randomTime(label string, longest time.Duration) time.Time {
	return s.now.Add(time.Duration(rapid.IntRange(0, int(longest/tick)).Draw(s.t, label)) * tick)
}

func (s *simulation) step() {
	s.now = s.now.Add(tick)
	if s.reportsTime {
		s.table.storeTime = time.Hour + s.now.Sub(epoch)
	}
	for _, pending := range s.late {
		s.apply(pending)
	}
	for index, n := range s.nodes {
		if n.pending != nil {
			s.apply(n.pending)
		}
		if s.oneIn("pause", 80) {
			n.pausedUntil = s.randomTime("pause length", 20*time.Second)
		}
		if !s.now.Before(n.pausedUntil) {
			s.run(index, n)
		}
	}
	s.deliverOrders()
	if s.deletes && s.oneIn("delete", 100) {
		delete(s.table.Current, RowKey("x"))
	}
	s.restoreTable()
	s.check()
}

// restoreTable copies the table at times, and restores it from the last copy at times.
func (s *simulation) restoreTable() {
	if !s.restores {
		return
	}
	if s.oneIn("copied", 20) {
		s.backup = s.table.Copy()
	}
	if s.oneIn("restored", 100) {
		s.table.Restore(s.backup)
		s.restored++
	}
}

// apply lets an exchange take effect at the table once it is due.
func (s *simulation) apply(pending *pendingExchange) {
	if pending.applied || s.now.Before(pending.appliesAt) {
		return
	}
	pending.applied = true
	pending.outcome = s.table.run(pending.exchange)
	if pending.exchange.Kind == Observe {
		return
	}
	record, _ := DecodeRecord(pending.exchange.Transaction.Writes[0].Value)
	switch {
	case record.Epoch != s.table.Epoch():
		// A client treats a commit in another epoch as unanswered.
		pending.outcome = Outcome{Fault: fault.New(fault.StoreUnavailable, "restored").WithRan(fault.RanUnknown)}
	case pending.outcome.Committed && pending.exchange.Kind == Acquire:
		s.acquired = append(s.acquired, record.Fence)
	}
}

func (s *simulation) run(index int, n *node) {
	if n.pending != nil && !s.now.Before(n.pending.answerAt) {
		outcome := n.pending.outcome
		if n.pending.lost || !n.pending.applied {
			outcome = Outcome{Fault: fault.New(fault.StoreUnavailable, "no answer").WithRan(fault.RanUnknown)}
			s.late = append(s.late, n.pending)
		}
		n.pending = nil
		n.machine.Done(s.localTime(n), outcome)
	}
	if s.oneIn("contend", 60) {
		n.machine.Contend(s.localTime(n), rapid.Bool().Draw(s.t, "wanted"))
	}
	if exchange, due := n.machine.Advance(s.localTime(n)); due {
		n.pending = &pendingExchange{exchange: exchange, appliesAt: s.now, answerAt: s.now}
		if s.oneIn("slow", 5) {
			n.pending.appliesAt = s.randomTime("effect", 12*time.Second)
			n.pending.answerAt = s.now.Add(timeout)
			n.pending.lost = s.oneIn("lost", 2)
		}
	}
	grant, err := n.machine.Held(s.localTime(n))
	if err != nil {
		return
	}
	if owner, known := s.owners[grant.Fence]; known && owner != index {
		s.t.Fatalf("fence %d is held by nodes %d and %d", grant.Fence, owner, index)
	}
	s.owners[grant.Fence] = index
	if !s.oneIn("order", 4) {
		return
	}
	if _, err := n.machine.Act(s.localTime(n)); err == nil {
		s.recordAction(grant.Fence)
		s.orders = append(s.orders, sentOrder{grant.Fence, s.randomTime("arrives", 25*time.Second)})
	}
}

// recordAction checks that the orders of two holders are the quiet time apart.
func (s *simulation) recordAction(fence uint64) {
	if fence != s.actedFence && !s.actedAt.IsZero() {
		s.handovers++
		apart := s.now.Sub(s.actedAt)
		if least := time.Duration(slowest * float64(quiet)); apart < least && !s.deletes {
			s.t.Fatalf("fence %d acts %v after fence %d", fence, apart, s.actedFence)
		}
	}
	s.actedAt, s.actedFence = s.now, fence
}

// deliverOrders delivers orders to an engine that refuses older fences.
func (s *simulation) deliverOrders() {
	for _, sent := range s.orders {
		if sent.arrivesAt.Equal(s.now) && sent.fence >= s.engineFence {
			s.engineFence = sent.fence
			s.executed = append(s.executed, sent.fence)
		}
	}
}

func (s *simulation) check() {
	holders := 0
	for _, n := range s.nodes {
		if _, err := n.machine.Held(s.localTime(n)); err == nil {
			holders++
		}
	}
	if holders > 1 && !s.deletes { // a deleted row frees the lease at once
		s.t.Fatalf("%d nodes hold the lease at once", holders)
	}
	for index := 1; index < len(s.acquired); index++ {
		if s.acquired[index] <= s.acquired[index-1] {
			s.t.Fatalf("fence %d was granted after fence %d", s.acquired[index], s.acquired[index-1])
		}
	}
	next := 0
	for _, fence := range s.executed {
		for next < len(s.acquired) && s.acquired[next] != fence {
			next++
		}
		if next == len(s.acquired) {
			s.t.Fatalf("an order of fence %d ran after one of a later holder", fence)
		}
	}
}

func TestExclusiveHolderAndRisingFences(t *testing.T) {
	acquired, refused, handovers, restored := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range ticks {
			s.step()
		}
		acquired += len(s.acquired)
		refused += len(s.orders) - len(s.executed)
		handovers += s.handovers
		restored += s.restored
	})
	t.Logf("%d acquisitions, %d orders refused or in flight", acquired, refused)
	t.Logf("%d times another holder ordered next", handovers)
	t.Logf("%d times the table was restored from an older copy", restored)
	if acquired < 1000 || refused < 1000 || handovers < 1000 || restored < 300 {
		t.Fatal("too few changes of the holder, refused orders or restores to test anything")
	}
}

// The fence counter may have fallen behind the fences that engines have seen.
func TestFloorNeedsANewFence(t *testing.T) {
	table := newTableModel()
	machine := NewMachine(Config{Duration: duration}, "x", "n", "s")
	machine.Contend(epoch, true)
	settle := func(now time.Time) {
		for range 5 {
			if exchange, due := machine.Advance(now); due {
				machine.Done(now, table.run(exchange))
			}
		}
	}
	settle(epoch)
	machine.StepDown(epoch, 41)
	if _, err := machine.Held(epoch); err != ErrNotHeld {
		t.Fatal("the lease is still held under a fence that engines refuse")
	}
	settle(epoch)
	if grant, err := machine.Held(epoch); err != nil || grant.Fence != 42 {
		t.Fatalf("fence %d, wanted 42 (%v)", grant.Fence, err)
	}
}

// settleAt makes the exchanges that are due at one moment.
func settleAt(table *tableModel, machine *Machine, now time.Time) {
	for range 5 {
		if exchange, due := machine.Advance(now); due {
			machine.Done(now, table.run(exchange))
		}
	}
}

// After a release the next holder waits only for the rest of the quiet time after the last action.
func TestReleaseHandsOverRemainingQuietTime(t *testing.T) {
	cases := []struct {
		name   string
		acts   bool
		idle   time.Duration
		waited time.Duration
	}{
		{"never acted", false, 0, 0},
		{"acted long ago", true, 5 * time.Second, 0},
		{"acted just now", true, time.Second, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTableModel()
			config := Config{Duration: duration, Quiet: quiet}
			first := NewMachine(config, "x", "a", "s1")
			second := NewMachine(config, "x", "b", "s2")
			first.Contend(epoch, true)
			settleAt(table, first, epoch)
			if c.acts {
				if _, err := first.Act(epoch); err != nil {
					t.Fatal(err)
				}
			}
			now := epoch.Add(c.idle)
			settleAt(table, first, now)
			first.Contend(now, false)
			settleAt(table, first, now)
			second.Contend(now, true)
			settleAt(table, second, now)
			grant, err := second.Held(now)
			if err != nil {
				t.Fatal(err)
			}
			if waited := max(grant.QuietUntil.Sub(now), 0); waited != c.waited {
				t.Fatalf("waits %v, wanted %v", waited, c.waited)
			}
		})
	}
}

// If the table reports its time, a late contender waits only for what is left of the lease of a dead
// holder.
func TestTakeoverWaitOfLateContender(t *testing.T) {
	tests := []struct {
		name        string
		reportsTime bool
		after       time.Duration
		waited      time.Duration
	}{
		{"time reported, long ago", true, time.Minute, 0},
		{"time reported, just now", true, 0, duration},
		{"time reported, in between", true, 5 * time.Second, 4500 * time.Millisecond},
		{"no time reported", false, time.Minute, duration},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTableModel()
			at := func(now time.Time) time.Time {
				if tt.reportsTime {
					table.storeTime = time.Hour + now.Sub(epoch)
				}
				return now
			}
			dead := NewMachine(Config{Duration: duration}, "x", "a", "s1")
			dead.Contend(epoch, true)
			settleAt(table, dead, at(epoch))
			begun := at(epoch.Add(tt.after))
			second := NewMachine(Config{Duration: duration}, "x", "b", "s2")
			second.Contend(begun, true)
			now := begun
			for {
				settleAt(table, second, at(now))
				if _, err := second.Held(now); err == nil {
					break
				}
				now = now.Add(100 * time.Millisecond)
			}
			if waited := now.Sub(begun); waited != tt.waited {
				t.Fatalf("waited %v, wanted %v", waited, tt.waited)
			}
		})
	}
}
