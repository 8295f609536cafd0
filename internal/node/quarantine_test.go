package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/rollout"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// lifeEngines answers reports as each engine's life tells.
type lifeEngines struct {
	idleEngines
	report func(target backend.Record) error
}

// Report implements rollout.Engines.
func (e lifeEngines) Report(_ context.Context, target backend.Record) (*rollout.Report, error) {
	if err := e.report(target); err != nil {
		return nil, err
	}
	return &rollout.Report{}, nil
}

func refused(backend.Record) error { return &exchange.Error{Cause: syscall.ECONNREFUSED} }

// wards are the quarantines of some routers before one store, in virtual time.
type wards struct {
	store *fakeStore
	table *failingTable

	mu  sync.Mutex
	all []*quarantines
	// deaf routers get no news.
	deaf map[int]bool
}

// newWards starts routers, of which the first keeps the rows.
func newWards(t *testing.T, routers int, report func(backend.Record) error) *wards {
	t.Helper()
	store := newFakeStore()
	w := &wards{store: store, table: &failingTable{fakeStore: store}, deaf: map[int]bool{}}
	for range routers {
		w.start(t.Context(), report)
	}
	return w
}

func (w *wards) start(ctx context.Context, report func(backend.Record) error) *quarantines {
	backends := backend.NewRegistry(backend.Config{})
	var records []backend.Record
	for index := range 9 {
		records = append(records, backend.Record{
			Instance: ident.Incarnation(fmt.Sprint("e", index)), Service: "s", Draining: index == 8,
		})
	}
	backends.Update(time.Now(), records)
	index := len(w.all)
	q := newQuarantines(lifeEngines{report: report}, backends, newQuarantineRows(w.table, time.Second), newMetrics(func() reading { return reading{} }))
	q.keeps = func() bool { return index == 0 }
	q.send = func(told []quarantine.Told) {
		w.mu.Lock()
		all := w.all
		w.mu.Unlock()
		for other, receiver := range all {
			if other != index && !w.deaf[other] {
				q.ledger.Take(time.Now(), receiver.take(time.Now(), told))
			}
		}
	}
	w.mu.Lock()
	w.all = append(w.all, q)
	w.mu.Unlock()
	go q.checks.run(ctx)
	go q.run(ctx)
	synctest.Wait()
	return q
}

// rows returns the number of rows in the store.
func (w *wards) rows() int {
	w.store.mutex.Lock()
	defer w.store.mutex.Unlock()
	return len(w.store.rows)
}

func asked(body string) *quarantine.Subject {
	return &quarantine.Subject{Identity: quarantine.Identity{Body: []byte(body)}}
}

// crash has a router see attempts of a request break off at engines.
func (w *wards) crash(router int, body string, engines ...int) {
	for _, engine := range engines {
		record := backend.Record{Instance: ident.Incarnation(fmt.Sprint("e", engine)), Service: "s"}
		w.all[router].Broke(time.Now(), asked(body), record)
	}
	time.Sleep(200 * time.Millisecond)
}

// held returns how many routers hold a request.
func (w *wards) held(body string) int {
	count := 0
	for _, q := range w.all {
		if q.Judge(time.Now(), asked(body)) != nil {
			count++
		}
	}
	return count
}

func TestEvidenceOfAllRoutersHoldsARequestEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, refused)
		w.crash(0, "guilty", 0)
		w.crash(1, "guilty", 1)
		is.Equal(w.held("guilty"), 0)
		w.crash(2, "guilty", 2)
		is.Equal(w.held("guilty"), 3)
		is.Equal(w.held("other"), 0)
		time.Sleep(time.Second)
		is.Equal(w.rows(), 1)
	})
}

// What a check does not prove is no evidence.
func TestOnlyLivesThatEndedAreEvidence(t *testing.T) {
	silent := func(backend.Record) error { return context.DeadlineExceeded }
	tests := []struct {
		name    string
		report  func(backend.Record) error
		engines []int
		held    int
	}{
		{"refused connections", refused, []int{0, 1, 2}, 1},
		{"other lives", func(backend.Record) error { return rollout.ErrOtherInstance }, []int{0, 1, 2}, 1},
		{"the same lives answer", func(backend.Record) error { return nil }, []int{0, 1, 2}, 0},
		{"silence", silent, []int{0, 1, 2}, 0},
		{"one that was draining", refused, []int{0, 1, 8}, 0},
		{"one that was not listed", refused, []int{0, 1, 9}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWards(t, 1, tt.report)
				w.crash(0, "x", tt.engines...)
				time.Sleep(10 * time.Second)
				is.New(t).Equal(w.held("x"), tt.held)
			})
		})
	}
}

// What was given up at an engine that crashes may be why it did, whichever router sees the crash
// and by whichever sign. It is no evidence once it is longer ago, or where the engine lives on.
func TestWhatWasGivenUpAtALifeThatCrashedIsEvidence(t *testing.T) {
	is := is.New(t)
	tests := []struct {
		name string
		// seen has the end of a life show, some time after the request was given up there.
		seen  func(w *wards, record backend.Record)
		after time.Duration
		held  int
	}{
		{"an attempt of another request breaks off", func(w *wards, record backend.Record) {
			w.all[0].Broke(time.Now(), asked(fmt.Sprint("beside ", record.Instance)), record)
		}, 100 * time.Millisecond, 2},
		{"it breaks off at another router", func(w *wards, record backend.Record) {
			w.all[1].Broke(time.Now(), asked(fmt.Sprint("beside ", record.Instance)), record)
		}, 100 * time.Millisecond, 2},
		{"it takes no connection", func(w *wards, record backend.Record) { w.all[0].Unreached(time.Now(), record) }, 100 * time.Millisecond, 2},
		{"another one takes no connection", func(w *wards, _ backend.Record) {
			w.all[0].Unreached(time.Now(), backend.Record{Instance: "e7", Service: "s"})
		}, 100 * time.Millisecond, 0},
		{"long after", func(w *wards, record backend.Record) {
			w.all[0].Broke(time.Now(), asked(fmt.Sprint("beside ", record.Instance)), record)
		}, 5 * time.Second, 0},
		{"nothing shows", func(*wards, backend.Record) {}, 100 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWards(t, 2, refused)
				for engine := range 3 {
					record := backend.Record{Instance: ident.Incarnation(fmt.Sprint("e", engine)), Service: "s"}
					w.all[0].Left(time.Now(), asked("x"), record)
					time.Sleep(tt.after)
					tt.seen(w, record)
					time.Sleep(time.Second)
				}
				is.Equal(w.held("x"), tt.held)
			})
		})
	}
}

// A request that was just answered does not crash what runs it, although it ran on each of
// the engines that crashed.
func TestAnAnswerVouchesForItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, refused)
		time.Sleep(time.Millisecond)
		w.all[0].Answered(time.Now(), asked("hot"))
		w.crash(0, "hot", 0, 1, 2, 3)
		is.Equal(w.held("hot"), 0)
		// Another router had no answer, and is told by the one that had.
		w.crash(1, "hot", 4, 5, 6)
		is.Equal(w.all[0].Judge(time.Now(), asked("hot")), nil)
		is.Equal(w.held("hot"), 0)
	})
}

// A request that was held wrongly is tried again and released everywhere.
func TestAWrongVerdictIsLiftedByATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, refused)
		w.crash(0, "innocent", 0, 1, 2)
		time.Sleep(time.Second)
		is.True(!w.all[1].Judge(time.Now(), asked("innocent")).TrialDue)
		time.Sleep(10 * time.Second)
		is.True(w.all[1].Judge(time.Now(), asked("innocent")).TrialDue)
		is.True(w.all[1].Try(t.Context(), asked("innocent")))
		is.True(!w.all[2].Try(t.Context(), asked("innocent")))
		w.all[1].Answered(time.Now(), asked("innocent"))
		is.Equal(w.held("innocent"), 0)
		time.Sleep(3 * time.Second)
		is.Equal(w.rows(), 0)
	})
}

// However long it lasts and however many routers ask, a request is tried twice.
func TestTrialsAreBoundedOverAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 4, refused)
		// One router learns nothing of what the others try.
		w.deaf[3] = true
		w.crash(0, "guilty", 0, 1, 2)
		w.all[3].load(t.Context(), 0)
		w.crash(3, "guilty", 3, 4, 5)
		trials := 0
		for range 600 {
			time.Sleep(time.Second)
			for _, q := range w.all {
				verdict := q.Judge(time.Now(), asked("guilty"))
				is.True(verdict != nil)
				if verdict.TrialDue && q.Try(t.Context(), asked("guilty")) {
					trials++
				}
			}
		}
		is.True(trials > 0)
		is.True(trials <= 2)
	})
}

// All routers end as the third back end crashes, before any of them could tell or write that.
// The request comes again each 4 s: whatever they knew, it may reach back ends three times more.
func TestAllRoutersEndAtTheThirdCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, refused)
		ctx, kill := context.WithCancel(t.Context())
		former := newWards(t, 0, refused)
		former.store, former.table = w.store, &failingTable{fakeStore: w.store}
		for range 3 {
			former.start(ctx, refused)
		}
		for engine := range 3 {
			former.table.down.Store(engine == 2)
			former.crash(engine, "guilty", engine)
			time.Sleep(4 * time.Second)
		}
		kill()
		for _, q := range w.all {
			q.load(t.Context(), 0)
		}
		late, engine := 0, 3
		for range 60 {
			q := w.all[late%3]
			verdict := q.Judge(time.Now(), asked("guilty"))
			if verdict == nil || (verdict.TrialDue && q.Try(t.Context(), asked("guilty"))) {
				late++
				w.crash(late%3, "guilty", engine)
				engine++
			}
			time.Sleep(4 * time.Second)
		}
		is.True(late <= 3)
	})
}

// The row of evidence that did not suffice goes once a success wipes it, or once it is forgotten.
func TestEvidenceThatDidNotSufficeLeavesNoRow(t *testing.T) {
	tests := []struct {
		name string
		then func(w *wards)
	}{
		{"answered", func(w *wards) { w.all[1].Answered(time.Now(), asked("x")) }},
		{"forgotten", func(*wards) { time.Sleep(11 * time.Minute) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWards(t, 2, refused)
				w.crash(1, "x", 0)
				time.Sleep(3 * time.Second)
				is.Equal(w.rows(), 0)
				w.crash(1, "x", 1)
				time.Sleep(time.Second)
				is.Equal(w.rows(), 1)
				tt.then(w)
				time.Sleep(5 * time.Second)
				is.Equal(w.rows(), 0)
				is.Equal(w.held("x"), 0)
			})
		})
	}
}

func TestNoTrialIsGrantedWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, refused)
		w.table.down.Store(true)
		w.crash(0, "guilty", 0, 1, 2)
		time.Sleep(time.Minute)
		is.Equal(w.held("guilty"), 2)
		is.True(!w.all[0].Try(t.Context(), asked("guilty")))
		w.table.down.Store(false)
		time.Sleep(5 * time.Second)
		is.Equal(w.rows(), 1)
	})
}

// An operator ends a quarantine by removing its row.
func TestAnOperatorLiftsAVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, refused)
		w.crash(1, "x", 0, 1, 2)
		time.Sleep(6 * time.Second)
		is.Equal(w.rows(), 1)
		w.store.change(func() { clear(w.store.rows) })
		time.Sleep(6 * time.Second)
		is.Equal(w.held("x"), 0)
		is.Equal(w.rows(), 0)
		w.crash(1, "x", 3, 4, 5)
		is.Equal(w.held("x"), 3)
	})
}

// A row that was written, and met by a trial, after the rows were listed was not removed by an
// operator.
func TestARowThatIsNewerThanTheListLiftsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, refused)
		w.table.down.Store(true)
		w.crash(1, "guilty", 0, 1, 2)
		time.Sleep(11 * time.Second)
		var granted atomic.Bool
		meanwhile := func() {
			w.table.down.Store(false)
			is.NoErr(w.all[1].rows.update(t.Context(), asked("guilty").Fingerprint()))
			granted.Store(w.all[0].Try(t.Context(), asked("guilty")))
		}
		w.table.listed.Store(&meanwhile)
		time.Sleep(6 * time.Second)
		is.True(granted.Load())
		is.Equal(w.held("guilty"), 2)
	})
}

// A row that cannot be read is passed over; the others hold.
func TestARowThatCannotBeReadIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 1, refused)
		w.crash(0, "x", 0, 1, 2)
		time.Sleep(time.Second)
		w.store.change(func() {
			row := w.store.rows[quarantineKey(asked("x").Fingerprint())]
			row.Key = quarantineKey(asked("y").Fingerprint())
			w.store.rows[row.Key] = row
			row.Key, row.Value = quarantinePrefix+"z", []byte("?")
			w.store.rows[row.Key] = row
		})
		next := w.start(t.Context(), refused)
		next.load(t.Context(), 0)
		is.True(next.Judge(time.Now(), asked("x")) != nil)
		is.True(next.Judge(time.Now(), asked("y")) == nil)
	})
}

// failingTable is a table that may be down.
type failingTable struct {
	*fakeStore
	down atomic.Bool
	// listed, if there is one, is called once, between a list that is made although the table is
	// down and its return.
	listed atomic.Pointer[func()]
}

var errTableDown = fault.New(fault.StoreUnavailable, "down")

// Commit implements store.Table.
func (f *failingTable) Commit(ctx context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	if f.down.Load() {
		return protocol.TransactionResult{}, errTableDown
	}
	return f.fakeStore.Commit(ctx, transaction)
}

// List implements store.Table.
func (f *failingTable) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	listed := f.listed.Swap(nil)
	if listed == nil && f.down.Load() {
		return protocol.RowList{}, errTableDown
	}
	list, err := f.fakeStore.List(ctx, prefix, limit)
	if listed != nil {
		(*listed)()
	}
	return list, err
}

// Read implements store.Table.
func (f *failingTable) Read(ctx context.Context, key string) (protocol.Row, bool, error) {
	if f.down.Load() {
		return protocol.Row{}, false, errTableDown
	}
	return f.fakeStore.Read(ctx, key)
}

// A router that reads the store itself, and was cut off while others learnt of a request, hears
// of it when it is back.
func TestARouterThatWasCutOffReadsTheRowsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, refused)
		w.all[1].load(t.Context(), 0)
		w.deaf[1] = true
		w.crash(0, "guilty", 0, 1, 2)
		time.Sleep(time.Second)
		w.all[1].load(t.Context(), time.Second)
		is.True(w.all[1].Judge(time.Now(), asked("guilty")) == nil)
		w.all[1].load(t.Context(), 5*time.Second)
		is.True(w.all[1].Judge(time.Now(), asked("guilty")) != nil)
	})
}

// A router that ends right after it learnt that a request is innocent leaves a row behind,
// which the router that keeps the rows removes.
func TestTheKeeperRemovesARowThatWasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, refused)
		w.crash(0, "innocent", 0, 1, 2)
		time.Sleep(time.Second)
		is.Equal(w.rows(), 1)
		w.all[1].ledger.Answered(time.Now(), asked("innocent").Fingerprint())
		w.all[1].tell(asked("innocent").Fingerprint())
		time.Sleep(5 * time.Second)
		is.Equal(w.rows(), 0)
	})
}
