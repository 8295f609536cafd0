package claim

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

const (
	sweepKeys      = 4
	sweepPeers     = 2
	sweepRetention = 2 * time.Hour
)

// list returns the rows under a prefix, as the table does.
func (t *tableModel) list(prefix string, limit int) protocol.RowList {
	var list protocol.RowList
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			list.Rows = append(list.Rows, row)
		}
	}
	slices.SortFunc(list.Rows, func(a, b protocol.Row) int { return strings.Compare(a.Key, b.Key) })
	list.More = len(list.Rows) > limit
	list.Rows = list.Rows[:min(limit, len(list.Rows))]
	return list
}

// openRun is a granted claim without an outcome yet.
type openRun struct {
	claimID string
	key     int
	since   time.Time
}

// sweepPeer is one router with its own clock. Every peer sweeps, without any
// lease, and a request of its sweep may arrive at any later time.
type sweepPeer struct {
	offset  time.Duration
	core    *Core
	open    []openRun
	sweep   *Sweep
	request *SweepRequest
}

// sweepWorld explores claims, outcomes and sweeps over days.
type sweepWorld struct {
	t     *rapid.T
	now   time.Time
	step  int
	table *tableModel
	peers []*sweepPeer
	// ran holds the time of the claim that last may have run each key, again
	// counts claims of keys that had run.
	ran   map[int]time.Time
	again int
}

func newSweepWorld(t *rapid.T) *sweepWorld {
	w := &sweepWorld{t: t, now: time.Unix(1_800_000_000, 0), table: newTableModel(), ran: map[int]time.Time{}}
	for index := range sweepPeers {
		offset := time.Duration(rapid.SampledFrom([]int{-30, 0, 30}).Draw(t, "offset")) * time.Minute
		w.peers = append(w.peers, &sweepPeer{
			offset: offset, core: NewCore(ident.Node(fmt.Sprint(index)), Config{}),
			sweep: NewSweep(SweepConfig{Retention: sweepRetention, PageRows: 2, MaxBatch: 2, PassPause: time.Minute}),
		})
	}
	return w
}

// exchange lets the core send what it has and returns its answers.
func (w *sweepWorld) exchange(peer *sweepPeer) []Answer {
	w.now = w.now.Add(time.Second)
	local := w.now.Add(peer.offset)
	for _, batch := range peer.core.Advance(local) {
		peer.core.Completed(local, batch.ID, w.table.commit(batch.Transaction), nil)
	}
	return peer.core.Answers()
}

func (w *sweepWorld) claim(peer *sweepPeer) {
	w.step++
	run := openRun{claimID: fmt.Sprint(w.step), key: rapid.IntRange(0, sweepKeys-1).Draw(w.t, "key"), since: w.now}
	local := w.now.Add(peer.offset)
	peer.core.Submit(local, run.claimID, keyOf(run.key), "digest", local.Add(time.Minute))
	for _, answer := range w.exchange(peer) {
		if answer.ClaimID != run.claimID || answer.Fault != nil || !answer.Grant.Acquired {
			continue
		}
		if before, known := w.ran[run.key]; known {
			w.again++
			if run.since.Sub(before) < w.remembered(run.key) {
				w.t.Fatalf("key %d ran again after %v", run.key, run.since.Sub(before))
			}
		}
		w.ran[run.key] = run.since
		peer.open = append(peer.open, run)
	}
}

// remembered returns for how long a key is promised to be remembered.
func (w *sweepWorld) remembered(key int) time.Duration {
	for _, peer := range w.peers {
		for _, run := range peer.open {
			if run.key == key && run.since.Equal(w.ran[key]) {
				return openRetentions * sweepRetention
			}
		}
	}
	return sweepRetention
}

// settle ends the oldest open run; not run frees the key.
func (w *sweepWorld) settle(peer *sweepPeer) {
	if len(peer.open) == 0 {
		return
	}
	run := peer.open[0]
	peer.open = peer.open[1:]
	ran := rapid.SampledFrom([]fault.Ran{fault.RanNo, fault.RanYes, fault.RanUnknown}).Draw(w.t, "ran")
	if ran == fault.RanNo && w.ran[run.key].Equal(run.since) {
		delete(w.ran, run.key)
	}
	peer.core.Settle(w.now.Add(peer.offset), run.claimID, Outcome{Ran: ran})
	w.exchange(peer)
}

// sweep makes the peer's request that is under way, or draws up the next one.
func (w *sweepWorld) sweep(peer *sweepPeer) {
	local := w.now.Add(peer.offset)
	if peer.request == nil {
		if request, due := peer.sweep.Next(local, []string{SweepPrefix(keyOf(0))}); due {
			peer.request = &request
		}
		return
	}
	request := *peer.request
	peer.request = nil
	var problem *fault.Fault
	if rapid.IntRange(0, 9).Draw(w.t, "lost") == 0 {
		problem = fault.New(fault.StoreUnavailable, "no answer")
	}
	if request.Prefix != "" {
		peer.sweep.Listed(local, w.table.list(request.Prefix, request.Limit), problem)
		return
	}
	result := w.table.commit(request.Transaction)
	peer.sweep.Deleted(local, result, problem)
}

// TestNoKeyRunsTwiceWithinItsRetention lets two routers whose clocks are up to
// the stated skew apart claim, settle and sweep, with sweeps that are paused
// between any two steps and lose answers. In the end all rows are gone.
func TestNoKeyRunsTwiceWithinItsRetention(t *testing.T) {
	deleted, again := uint64(0), 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSweepWorld(t)
		for range rapid.IntRange(200, 1000).Draw(t, "steps") {
			peer := w.peers[rapid.IntRange(0, sweepPeers-1).Draw(t, "peer")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "minutes")) * time.Minute)
			case 1, 2:
				w.claim(peer)
			case 3:
				w.settle(peer)
			default:
				w.now = w.now.Add(time.Second)
				w.sweep(peer)
			}
		}
		again += w.again
		last := w.peers[0]
		w.now = w.now.Add(openRetentions*sweepRetention + 2*ClockSkew)
		passes := last.sweep.Counters().Passes
		for last.sweep.Counters().Passes < passes+3 {
			w.now = w.now.Add(time.Minute)
			w.sweep(last)
		}
		if left := len(w.table.rows); left > 0 {
			t.Fatalf("%d rows are left", left)
		}
		for _, peer := range w.peers {
			deleted += peer.sweep.Counters().Deleted
		}
	})
	t.Logf("%d rows were deleted, %d keys ran again after their retention", deleted, again)
	is.New(t).True(again > 50)
}

func TestSweepKeepsWhatIsYoungOpenOrUnreadable(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	aged := func(age time.Duration, state State) []byte {
		value, err := encodeRecord(Record{State: state, ClaimedAt: now.Add(-age).Unix()})
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	untimed, err := encodeRecord(Record{State: StateRan})
	if err != nil {
		t.Fatal(err)
	}
	const day = 24 * time.Hour
	cases := []struct {
		name  string
		value []byte
		gone  bool
	}{
		{"young", aged(2*day-time.Second, StateRan), false},
		{"within the skew", aged(2*day+ClockSkew-time.Second, StateRan), false},
		{"old", aged(2*day+ClockSkew+time.Second, StateRan), true},
		{"old and unknown", aged(2*day+ClockSkew+time.Second, StateUnknown), true},
		{"old and not run", aged(2*day+ClockSkew+time.Second, StateNotRun), true},
		{"still claimed", aged(8*day, StateClaimed), false},
		{"claimed for long", aged(8*day+ClockSkew+time.Second, StateClaimed), true},
		{"from the future", aged(-day, StateRan), false},
		{"without a time", untimed, false},
		{"unreadable", []byte("x"), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sweep := NewSweep(SweepConfig{})
			_, due := sweep.Next(now, []string{"p"})
			is.True(due)
			sweep.Listed(now, protocol.RowList{Rows: []protocol.Row{{Key: "p1", Value: test.value, Version: 7}}}, nil)
			_, paced := sweep.Next(now.Add(400*time.Millisecond), nil)
			is.True(!paced) // two requests a second
			request, due := sweep.Next(now.Add(time.Second), nil)
			is.Equal(due, test.gone)
			if due {
				is.Equal(request.Transaction.Conditions, []protocol.Condition{{Key: "p1", Version: 7}})
			}
		})
	}
	short := NewSweep(SweepConfig{Retention: time.Second})
	is.New(t).Equal(short.config.Retention, MinRetention)
}
