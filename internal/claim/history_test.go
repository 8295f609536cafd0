package claim

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// call is one Submit or Settle of the history and how it ended.
type call struct {
	key      int
	claimID  string
	settles  bool
	freed    bool
	started  int64
	returned int64
	answer   Answer
}

// transit is one transaction on its way, from a core that may have crashed.
type transit struct {
	router int
	life   int
	batch  Batch
}

// world is several cores, one table and the network between them.
type world struct {
	t       *rapid.T
	now     time.Time
	step    int64
	table   *tableModel
	cores   []*Core
	lives   []int
	transit []transit
	late    []transit
	calls   map[string]*call
	ended   []*call
	// running holds, for each key, the granted claims not proved "not run".
	running map[int]map[string]bool
	granted map[string]int
}

const (
	routers = 3
	keys    = 2
)

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0), table: newTableModel(), lives: make([]int, routers),
		calls: map[string]*call{}, running: map[int]map[string]bool{}, granted: map[string]int{}}
	for router := range routers {
		w.cores = append(w.cores, NewCore(ident.Node(fmt.Sprint(router)), Config{MaxBatch: 3}))
	}
	for key := range keys {
		w.running[key] = map[string]bool{}
	}
	return w
}

func keyOf(index int) Key { return Key{Tenant: "t", Service: "s", IdempotencyKey: fmt.Sprint(index)} }

func (w *world) pick(label string, below int) int {
	return rapid.IntRange(0, below-1).Draw(w.t, label)
}

func (w *world) submit() {
	router, key := w.pick("router", routers), w.pick("key", keys)
	claimID := fmt.Sprintf("%d-%d", router, w.step)
	w.calls[claimID] = &call{key: key, claimID: claimID, started: w.step}
	w.cores[router].Submit(w.now, claimID, keyOf(key), "digest", w.now.Add(time.Second))
}

func (w *world) advance() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(w.t, "ms")) * time.Millisecond)
	for router, core := range w.cores {
		for _, batch := range core.Advance(w.now) {
			w.transit = append(w.transit, transit{router, w.lives[router], batch})
		}
	}
}

// exchange lets one transaction arrive, be lost, be refused or stay behind.
func (w *world) exchange() {
	if len(w.transit) == 0 {
		return
	}
	index := w.pick("transit", len(w.transit))
	sent := w.transit[index]
	w.transit = append(w.transit[:index], w.transit[index+1:]...)
	lost := fault.New(fault.StoreUnavailable, "no answer").WithRan(fault.RanUnknown)
	core := w.cores[sent.router]
	if w.lives[sent.router] != sent.life {
		core = NewCore("gone", Config{})
	}
	switch exchange(w.pick("fate", int(commitsLate)+1)) {
	case goesWell:
		core.Completed(w.now, sent.batch.ID, w.table.commit(sent.batch.Transaction), nil)
	case lostAfterCommit:
		w.table.commit(sent.batch.Transaction)
		core.Completed(w.now, sent.batch.ID, protocolNothing, lost)
	case commitsLate:
		w.late = append(w.late, sent)
		core.Completed(w.now, sent.batch.ID, protocolNothing, lost)
	case lostBeforeCommit:
		core.Completed(w.now, sent.batch.ID, protocolNothing, lost)
	default:
		core.Completed(w.now, sent.batch.ID, protocolNothing, fault.New(fault.StoreUnavailable, "refused"))
	}
}

func (w *world) arriveLate() {
	if len(w.late) == 0 {
		return
	}
	index := w.pick("late", len(w.late))
	w.table.commit(w.late[index].batch.Transaction)
	w.late = append(w.late[:index], w.late[index+1:]...)
}

// end abandons or settles one claim, whatever its state.
func (w *world) end() {
	router, known := 0, ""
	for _, claimID := range sortedIDs(w.calls, w.granted) {
		if rapid.Bool().Draw(w.t, "this one") {
			known = claimID
			break
		}
	}
	if known == "" {
		return
	}
	router = int(known[0] - '0')
	if _, granted := w.granted[known]; !granted {
		w.cores[router].Abandon(w.now, known)
		w.ended = append(w.ended, w.calls[known])
		w.calls[known].answer = Answer{Fault: fault.New(fault.StoreUnavailable, "left")}
		w.calls[known].returned = w.step
		delete(w.calls, known)
		return
	}
	freed := rapid.Bool().Draw(w.t, "not run")
	key := w.granted[known]
	delete(w.granted, known)
	outcome := Outcome{Ran: fault.RanYes}
	if freed {
		outcome.Ran = fault.RanNo
		delete(w.running[key], known)
	}
	w.calls["settle "+known] = &call{key: key, claimID: known, settles: true, freed: freed, started: w.step}
	w.cores[router].Settle(w.now, known, outcome)
}

func (w *world) crash() {
	if w.pick("crash", 6) != 0 {
		return
	}
	router := w.pick("router", routers)
	w.lives[router]++
	w.cores[router] = NewCore(ident.Node(fmt.Sprint(router)), Config{MaxBatch: 3})
	for claimID := range w.granted {
		if int(claimID[0]-'0') == router {
			delete(w.granted, claimID)
		}
	}
}

// collect takes the answers and checks the promise itself: at most one claim
// of a key is granted and not proved "not run".
func (w *world) collect() {
	for _, core := range w.cores {
		for _, answer := range core.Answers() {
			name := answer.ClaimID
			if answer.Recorded {
				name = "settle " + name
			}
			ending, known := w.calls[name]
			if !known {
				continue
			}
			delete(w.calls, name)
			ending.answer, ending.returned = answer, w.step
			w.ended = append(w.ended, ending)
			if answer.Grant.Acquired {
				w.granted[answer.ClaimID] = ending.key
				w.running[ending.key][answer.ClaimID] = true
			}
			if len(w.running[ending.key]) > 1 {
				w.t.Fatalf("key %d is granted twice: %v", ending.key, w.running[ending.key])
			}
		}
	}
}

func TestAtMostOneClaimRunsInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		steps := []func(){w.submit, w.advance, w.advance, w.exchange, w.exchange, w.arriveLate, w.end, w.crash}
		for w.step = 1; w.step <= 150; w.step++ {
			steps[w.pick("step", len(steps))]()
			w.collect()
		}
		if !porcupine.CheckOperations(specification(w), history(w)) {
			t.Fatal("the history is not that of a register claimed at most once")
		}
	})
}

// history lists the calls; one without an answer may take effect at any time.
func history(w *world) []porcupine.Operation {
	for _, unanswered := range w.calls {
		unanswered.returned = math.MaxInt64
		if !unanswered.settles {
			unanswered.answer = Answer{Fault: fault.New(fault.StoreUnavailable, "no answer")}
		}
		w.ended = append(w.ended, unanswered)
	}
	var operations []porcupine.Operation
	for _, one := range w.ended {
		operations = append(operations, porcupine.Operation{Input: one, Output: one, Call: 2 * one.started, Return: one.returnTime()})
	}
	return operations
}

func (c *call) returnTime() int64 {
	if c.returned == math.MaxInt64 {
		return math.MaxInt64
	}
	return 2*c.returned + 1
}

// specification is a register that holds the claim id that may run. A claim
// that ended without an answer never takes it, though others may see its row.
func specification(w *world) porcupine.Model {
	unanswered := map[string]bool{}
	for _, one := range w.ended {
		unanswered[one.claimID] = unanswered[one.claimID] || (!one.settles && one.answer.Fault != nil)
	}
	for _, one := range w.calls {
		unanswered[one.claimID] = unanswered[one.claimID] || !one.settles
	}
	return porcupine.Model{
		Partition: partitionByKey,
		Init:      func() any { return "" },
		Step: func(state, input, _ any) (bool, any) {
			holder, one := state.(string), input.(*call)
			shown := one.answer.Grant.Record.ClaimID
			switch {
			case one.settles && one.freed && holder == one.claimID:
				return true, ""
			case one.settles || one.answer.Fault != nil:
				return true, holder
			case one.answer.Grant.Acquired:
				return holder == "", one.claimID
			default:
				return shown == holder || unanswered[shown], holder
			}
		},
	}
}

func partitionByKey(operations []porcupine.Operation) [][]porcupine.Operation {
	parts := make([][]porcupine.Operation, keys)
	for _, operation := range operations {
		key := operation.Input.(*call).key
		parts[key] = append(parts[key], operation)
	}
	return parts
}
