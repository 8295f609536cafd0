package guard

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// lookOf is what a look at a life finds.
type lookOf func(life ident.Incarnation) Sign

func always(sign Sign) lookOf { return func(ident.Incarnation) Sign { return sign } }

// fakeBackends are engines e0 to e8, of which the last one is leaving, and no other.
type fakeBackends struct{}

// Leaving implements Backends.
func (fakeBackends) Leaving(life ident.Incarnation) bool { return life < "e0" || life > "e7" }

// SawGone implements Backends.
func (fakeBackends) SawGone(time.Time, ident.Incarnation) {}

// wards are the quarantines of some routers before one store, in virtual time.
type wards struct {
	store *sharedRows
	table *fakeTable
	look  lookOf

	mu  sync.Mutex
	all []*Guard
	// deaf routers get no news.
	deaf map[int]bool
}

// newWards starts routers, of which the first keeps the rows.
func newWards(t *testing.T, routers int, look lookOf) *wards {
	t.Helper()
	store := newSharedRows()
	w := &wards{store: store, table: &fakeTable{rows: store}, look: look, deaf: map[int]bool{}}
	for range routers {
		w.start(t.Context())
	}
	return w
}

func (w *wards) start(ctx context.Context) *Guard {
	index := len(w.all)
	var g *Guard
	g = New(Config{
		Table: w.table, Timeout: time.Second, Backends: fakeBackends{}, Keeps: func() bool { return index == 0 },
		Send: func(told []quarantine.Told) { w.send(index, g, told) },
	})
	w.mu.Lock()
	w.all = append(w.all, g)
	w.mu.Unlock()
	go g.Run(ctx)
	synctest.Wait()
	return g
}

// deafen has a router get news or not.
func (w *wards) deafen(router int, deaf bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf[router] = deaf
}

// send hands news of a router to the others, and later what these answer to it.
func (w *wards) send(from int, teller *Guard, told []quarantine.Told) {
	w.mu.Lock()
	all, deaf := w.all, maps.Clone(w.deaf)
	w.mu.Unlock()
	for other, receiver := range all {
		if other != from && !deaf[other] {
			lacks := receiver.Take(time.Now(), told)
			time.AfterFunc(time.Millisecond, func() { teller.Take(time.Now(), lacks) })
		}
	}
}

// place is a life of an engine.
func (w *wards) place(engine int) Place {
	life := ident.Incarnation(fmt.Sprint("e", engine))
	return Place{Life: life, Look: func(context.Context, time.Time) Sign { return w.look(life) }}
}

func asked(body string) *quarantine.Subject {
	return &quarantine.Subject{Identity: quarantine.Identity{Body: []byte(body)}}
}

// crash has a router see attempts of a request break off at engines.
func (w *wards) crash(router int, body string, engines ...int) {
	for _, engine := range engines {
		w.all[router].Broke(time.Now(), asked(body), w.place(engine))
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
		w := newWards(t, 3, always(SignRefused))
		w.crash(0, "guilty", 0)
		w.crash(1, "guilty", 1)
		is.Equal(w.held("guilty"), 0)
		w.crash(2, "guilty", 2)
		is.Equal(w.held("guilty"), 3)
		is.Equal(w.held("other"), 0)
		time.Sleep(time.Second)
		is.Equal(w.store.count(), 1)
	})
}

// What a check does not prove is no evidence.
func TestOnlyLivesThatEndedAreEvidence(t *testing.T) {
	tests := []struct {
		name    string
		found   Sign
		engines []int
		held    int
	}{
		{"refused connections", SignRefused, []int{0, 1, 2}, 1},
		{"other lives", SignEnded, []int{0, 1, 2}, 1},
		{"the same lives answer", SignAlive, []int{0, 1, 2}, 0},
		{"silence", SignNone, []int{0, 1, 2}, 0},
		{"one that was draining", SignRefused, []int{0, 1, 8}, 0},
		{"one that was not listed", SignRefused, []int{0, 1, 9}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWards(t, 1, always(tt.found))
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
		seen  func(w *wards, engine int)
		after time.Duration
		held  int
	}{
		{"an attempt of another request breaks off", func(w *wards, engine int) {
			w.all[0].Broke(time.Now(), asked(fmt.Sprint("beside ", engine)), w.place(engine))
		}, 100 * time.Millisecond, 2},
		{"it breaks off at another router", func(w *wards, engine int) {
			w.all[1].Broke(time.Now(), asked(fmt.Sprint("beside ", engine)), w.place(engine))
		}, 100 * time.Millisecond, 2},
		{"it takes no connection", func(w *wards, engine int) { w.all[0].Unreached(time.Now(), w.place(engine)) }, 100 * time.Millisecond, 2},
		{"another one takes no connection", func(w *wards, _ int) {
			w.all[0].Unreached(time.Now(), w.place(7))
		}, 100 * time.Millisecond, 0},
		{"long after", func(w *wards, engine int) {
			w.all[0].Broke(time.Now(), asked(fmt.Sprint("beside ", engine)), w.place(engine))
		}, 5 * time.Second, 0},
		{"nothing shows", func(*wards, int) {}, 100 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWards(t, 2, always(SignRefused))
				for engine := range 3 {
					w.all[0].Left(time.Now(), asked("x"), w.place(engine))
					time.Sleep(tt.after)
					tt.seen(w, engine)
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
		w := newWards(t, 2, always(SignRefused))
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
		w := newWards(t, 3, always(SignRefused))
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
		is.Equal(w.store.count(), 0)
	})
}

// However long it lasts and however many routers ask, a request is tried twice.
func TestTrialsAreBoundedOverAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 4, always(SignRefused))
		// One router learns nothing of what the others try.
		w.deafen(3, true)
		w.crash(0, "guilty", 0, 1, 2)
		w.all[3].Load(t.Context(), 0)
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
		w := newWards(t, 3, always(SignRefused))
		ctx, kill := context.WithCancel(t.Context())
		former := newWards(t, 0, always(SignRefused))
		former.store, former.table = w.store, &fakeTable{rows: w.store}
		for range 3 {
			former.start(ctx)
		}
		for engine := range 3 {
			former.table.down.Store(engine == 2)
			former.crash(engine, "guilty", engine)
			time.Sleep(4 * time.Second)
		}
		kill()
		for _, q := range w.all {
			q.Load(t.Context(), 0)
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

// Two routers each saw one crash, and the second did not hear of the first until it told of its
// own. The row is there at once, though the router that keeps the rows hears of nothing.
func TestEvidenceThatIsPutTogetherLaterIsKeptAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, always(SignRefused))
		w.deafen(0, true)
		w.deafen(2, true)
		w.crash(1, "x", 0)
		time.Sleep(2 * time.Second)
		w.deafen(2, false)
		w.crash(2, "x", 1)
		is.Equal(w.store.count(), 1)
	})
}

// Routers that saw the same crashes write the same rows at the same moment. One that finds a row
// changed goes on with it and with the others.
func TestARowThatAnotherRouterWroteHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, always(SignRefused))
		w.deafen(0, true)
		conflicts := 0
		w.table.refuse = func(string) bool {
			conflicts++
			return conflicts <= 2
		}
		for engine := range 2 {
			for _, body := range []string{"a", "b", "c"} {
				w.all[1].Broke(time.Now(), asked(body), w.place(engine))
			}
			time.Sleep(200 * time.Millisecond)
		}
		is.Equal(w.store.count(), 3)
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
				w := newWards(t, 2, always(SignRefused))
				w.crash(1, "x", 0)
				time.Sleep(3 * time.Second)
				is.Equal(w.store.count(), 0)
				w.crash(1, "x", 1)
				time.Sleep(time.Second)
				is.Equal(w.store.count(), 1)
				tt.then(w)
				time.Sleep(5 * time.Second)
				is.Equal(w.store.count(), 0)
				is.Equal(w.held("x"), 0)
			})
		})
	}
}

func TestNoTrialIsGrantedWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, always(SignRefused))
		w.table.down.Store(true)
		w.crash(0, "guilty", 0, 1, 2)
		time.Sleep(time.Minute)
		is.Equal(w.held("guilty"), 2)
		is.True(!w.all[0].Try(t.Context(), asked("guilty")))
		w.table.down.Store(false)
		time.Sleep(5 * time.Second)
		is.Equal(w.store.count(), 1)
	})
}

// An operator ends a quarantine by removing its row.
func TestAnOperatorLiftsAVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, always(SignRefused))
		w.crash(1, "x", 0, 1, 2)
		time.Sleep(6 * time.Second)
		is.Equal(w.store.count(), 1)
		w.store.change(func() { clear(w.store.Current) })
		time.Sleep(6 * time.Second)
		is.Equal(w.held("x"), 0)
		is.Equal(w.store.count(), 0)
		w.crash(1, "x", 3, 4, 5)
		is.Equal(w.held("x"), 3)
	})
}

// A row that was written, and met by a trial, after the rows were listed was not removed by an
// operator.
func TestARowThatIsNewerThanTheListLiftsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, always(SignRefused))
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
		w := newWards(t, 1, always(SignRefused))
		w.crash(0, "x", 0, 1, 2)
		time.Sleep(time.Second)
		w.store.change(func() {
			row := w.store.Current[rowKey(asked("x").Fingerprint())]
			row.Key = rowKey(asked("y").Fingerprint())
			w.store.Current[row.Key] = row
			row.Key, row.Value = RowPrefix+"z", []byte("?")
			w.store.Current[row.Key] = row
		})
		next := w.start(t.Context())
		next.Load(t.Context(), 0)
		is.True(next.Judge(time.Now(), asked("x")) != nil)
		is.True(next.Judge(time.Now(), asked("y")) == nil)
	})
}

// A router that reads the store itself, and was cut off while others learnt of a request, hears
// of it when it is back.
func TestARouterThatWasCutOffReadsTheRowsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, always(SignRefused))
		w.all[1].Load(t.Context(), 0)
		w.deafen(1, true)
		w.crash(0, "guilty", 0, 1, 2)
		time.Sleep(time.Second)
		w.all[1].Load(t.Context(), time.Second)
		is.True(w.all[1].Judge(time.Now(), asked("guilty")) == nil)
		w.all[1].Load(t.Context(), 5*time.Second)
		is.True(w.all[1].Judge(time.Now(), asked("guilty")) != nil)
	})
}

// A router that ends right after it learnt that a request is innocent leaves a row behind,
// which the router that keeps the rows removes.
func TestTheKeeperRemovesARowThatWasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, always(SignRefused))
		w.crash(0, "innocent", 0, 1, 2)
		time.Sleep(time.Second)
		is.Equal(w.store.count(), 1)
		w.all[1].ledger.Answered(time.Now(), asked("innocent").Fingerprint())
		w.all[1].tell(asked("innocent").Fingerprint())
		time.Sleep(5 * time.Second)
		is.Equal(w.store.count(), 0)
	})
}
