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
	// actWindow is long enough for a look at the next tick after a renewal.
	actWindow = 4 * time.Second
	// slowest is the rate of the slowest clock, by which a wait may be shorter.
	slowest = 0.9
)

// call is one exchange under way. Its effect may come after the caller has
// given up waiting.
type call struct {
	exchange           Exchange
	effectAt, answerAt time.Time
	lost, effected     bool
	outcome            Outcome
}

// order is an order that was decided under a grant and arrives later.
type order struct {
	fence    uint64
	arriveAt time.Time
}

// node is one contender, with a clock that may run at another rate.
type node struct {
	machine     *Machine
	rate        float64
	call        *call
	pausedUntil time.Time
}

// world explores pauses, lost answers, late commits and orders on the way.
type world struct {
	t        *rapid.T
	now      time.Time
	table    *tableModel
	nodes    []*node
	late     []*call
	owners   map[uint64]int
	taken    []uint64
	orders   []order
	engine   uint64
	executed []uint64
	deletes  bool
	// comesBack says that the table comes back from older copies; copied is the last one.
	comesBack bool
	copied    storetest.Copy
	cameBack  int
	// tellsTime says that the table tells its own time.
	tellsTime bool
	// actedAt and actedFence are those of the last order decided.
	actedAt    time.Time
	actedFence uint64
	turns      int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, table: newTableModel(), owners: map[uint64]int{}, deletes: rapid.Bool().Draw(t, "deletes")}
	w.tellsTime = rapid.Bool().Draw(t, "tells time")
	w.comesBack, w.copied = rapid.Bool().Draw(t, "comes back"), w.table.Copy()
	for index := range 3 {
		one := &node{rate: rapid.Float64Range(0.95, 1.05).Draw(t, "rate")}
		one.machine = NewMachine(Config{Duration: duration, Quiet: quiet, ActWindow: actWindow}, "x", ident.Node(fmt.Sprint(index)), fmt.Sprint("session-", index))
		one.machine.Contend(w.local(one), true)
		w.nodes = append(w.nodes, one)
	}
	return w
}

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// local is a node's own clock.
func (w *world) local(n *node) time.Time {
	return epoch.Add(time.Duration(float64(w.now.Sub(epoch)) * n.rate))
}

// oneIn draws an event that happens once in so many times.
func (w *world) oneIn(label string, times int) bool {
	return rapid.IntRange(0, times-1).Draw(w.t, label) == times-1
}

func (w *world) after(label string, longest time.Duration) time.Time {
	return w.now.Add(time.Duration(rapid.IntRange(0, int(longest/tick)).Draw(w.t, label)) * tick)
}

func (w *world) step() {
	w.now = w.now.Add(tick)
	if w.tellsTime {
		w.table.now = time.Hour + w.now.Sub(epoch)
	}
	for _, pending := range w.late {
		w.effect(pending)
	}
	for index, one := range w.nodes {
		if one.call != nil {
			w.effect(one.call)
		}
		if w.oneIn("pause", 80) {
			one.pausedUntil = w.after("pause length", 20*time.Second)
		}
		if !w.now.Before(one.pausedUntil) {
			w.run(index, one)
		}
	}
	w.arrive()
	if w.deletes && w.oneIn("delete", 100) {
		delete(w.table.Current, RowKey("x"))
	}
	w.comeBack()
	w.check()
}

// comeBack lets the table come back from an older copy at times.
func (w *world) comeBack() {
	if !w.comesBack {
		return
	}
	if w.oneIn("copied", 20) {
		w.copied = w.table.Copy()
	}
	if w.oneIn("comes back", 100) {
		w.table.Restore(w.copied)
		w.cameBack++
	}
}

// effect lets an exchange take effect at the table once it is due.
func (w *world) effect(pending *call) {
	if pending.effected || w.now.Before(pending.effectAt) {
		return
	}
	pending.effected = true
	pending.outcome = w.table.run(pending.exchange)
	if pending.exchange.Kind == Observe {
		return
	}
	record, _ := DecodeRecord(pending.exchange.Transaction.Writes[0].Value)
	switch {
	case record.Epoch != w.table.Epoch():
		// A client takes what was committed after the table came back as unanswered.
		pending.outcome = Outcome{Fault: fault.New(fault.StoreUnavailable, "came back").WithRan(fault.RanUnknown)}
	case pending.outcome.Committed && pending.exchange.Kind == Acquire:
		w.taken = append(w.taken, record.Fence)
	}
}

func (w *world) run(index int, one *node) {
	if one.call != nil && !w.now.Before(one.call.answerAt) {
		outcome := one.call.outcome
		if one.call.lost || !one.call.effected {
			outcome = Outcome{Fault: fault.New(fault.StoreUnavailable, "no answer").WithRan(fault.RanUnknown)}
			w.late = append(w.late, one.call)
		}
		one.call = nil
		one.machine.Done(w.local(one), outcome)
	}
	if w.oneIn("contend", 60) {
		one.machine.Contend(w.local(one), rapid.Bool().Draw(w.t, "wanted"))
	}
	if exchange, due := one.machine.Advance(w.local(one)); due {
		one.call = &call{exchange: exchange, effectAt: w.now, answerAt: w.now}
		if w.oneIn("slow", 5) {
			one.call.effectAt = w.after("effect", 12*time.Second)
			one.call.answerAt = w.now.Add(timeout)
			one.call.lost = w.oneIn("lost", 2)
		}
	}
	grant, err := one.machine.Held(w.local(one))
	if err != nil {
		return
	}
	if owner, known := w.owners[grant.Fence]; known && owner != index {
		w.t.Fatalf("fence %d is held by nodes %d and %d", grant.Fence, owner, index)
	}
	w.owners[grant.Fence] = index
	if !w.oneIn("order", 4) {
		return
	}
	if _, err := one.machine.Act(w.local(one)); err == nil {
		w.act(grant.Fence)
		w.orders = append(w.orders, order{grant.Fence, w.after("arrives", 25*time.Second)})
	}
}

// act checks that the orders of two holders are the quiet time apart.
func (w *world) act(fence uint64) {
	if fence != w.actedFence && !w.actedAt.IsZero() {
		w.turns++
		apart := w.now.Sub(w.actedAt)
		if least := time.Duration(slowest * float64(quiet)); apart < least && !w.deletes {
			w.t.Fatalf("fence %d acts %v after fence %d", fence, apart, w.actedFence)
		}
	}
	w.actedAt, w.actedFence = w.now, fence
}

// arrive brings orders to an engine that refuses older fences.
func (w *world) arrive() {
	for _, sent := range w.orders {
		if sent.arriveAt.Equal(w.now) && sent.fence >= w.engine {
			w.engine = sent.fence
			w.executed = append(w.executed, sent.fence)
		}
	}
}

func (w *world) check() {
	holders := 0
	for _, one := range w.nodes {
		if _, err := one.machine.Held(w.local(one)); err == nil {
			holders++
		}
	}
	if holders > 1 && !w.deletes { // a deleted row frees the lease at once
		w.t.Fatalf("%d nodes hold the lease at once", holders)
	}
	for index := 1; index < len(w.taken); index++ {
		if w.taken[index] <= w.taken[index-1] {
			w.t.Fatalf("fence %d was given after fence %d", w.taken[index], w.taken[index-1])
		}
	}
	position := 0
	for _, fence := range w.executed {
		for position < len(w.taken) && w.taken[position] != fence {
			position++
		}
		if position == len(w.taken) {
			w.t.Fatalf("an order of fence %d ran after one of a later holder", fence)
		}
	}
}

func TestOneHolderAndRisingFencesInAnyHistory(t *testing.T) {
	acquired, refused, turns, cameBack := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range ticks {
			w.step()
		}
		acquired += len(w.taken)
		refused += len(w.orders) - len(w.executed)
		turns += w.turns
		cameBack += w.cameBack
	})
	t.Logf("%d acquisitions, %d orders refused or under way", acquired, refused)
	t.Logf("%d times another holder ordered next", turns)
	t.Logf("%d times the table came back from an older copy", cameBack)
	if acquired < 1000 || refused < 1000 || turns < 1000 || cameBack < 300 {
		t.Fatal("the histories hardly change holders or refuse no order: the test sees nothing")
	}
}

// TestFloorNeedsANewFence covers a counter that fell behind the engines.
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
		t.Fatal("still held under a fence that engines refuse")
	}
	settle(epoch)
	if grant, err := machine.Held(epoch); err != nil || grant.Fence != 42 {
		t.Fatalf("fence %d, wanted 42 (%v)", grant.Fence, err)
	}
}

// settleAt makes the exchanges that a machine asks for at one moment.
func settleAt(table *tableModel, machine *Machine, now time.Time) {
	for range 5 {
		if exchange, due := machine.Advance(now); due {
			machine.Done(now, table.run(exchange))
		}
	}
}

// An idle holder that hands over leaves nothing to wait for; one that has just
// acted leaves the rest of the quiet time.
func TestAReleaseTellsWhatIsLeftOfTheQuietTime(t *testing.T) {
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

// A contender that comes late does not wait for a lease that ran out before, if
// the table tells its time; it waits for what is left of one that did not.
func TestALateContenderDoesNotWaitForADeadHolder(t *testing.T) {
	tests := []struct {
		name   string
		tells  bool
		after  time.Duration
		waited time.Duration
	}{
		{"time told, long ago", true, time.Minute, 0},
		{"time told, just now", true, 0, duration},
		{"time told, in between", true, 5 * time.Second, 4500 * time.Millisecond},
		{"no time told", false, time.Minute, duration},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTableModel()
			at := func(now time.Time) time.Time {
				if tt.tells {
					table.now = time.Hour + now.Sub(epoch)
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
