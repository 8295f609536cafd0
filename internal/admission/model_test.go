package admission

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// TestMain fixes the seed of the random schedules, so that every run is alike.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "17"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestEveryItemEndsExactlyOnceInAnyHistory also checks that a pump tries every
// pool with waiting items, lines stay in order, and nobody is held too long.
func TestEveryItemEndsExactlyOnceInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue, now := NewQueue(Config{MaxWaiting: 20, MaxWaitingPerTenant: 8, MaxHeldPerPump: 3}), start
		alive := map[ident.Request]Item{}
		pick := func(label string, below int) int { return rapid.IntRange(0, below-1).Draw(t, label) }
		end := func(id ident.Request) {
			if _, waits := alive[id]; !waits {
				t.Fatalf("%s ended twice", id)
			}
			delete(alive, id)
		}
		for step := range 120 {
			switch pick("step", 5) {
			case 0, 1, 2:
				item := Item{ID: ident.Request(fmt.Sprintf("%04d", step)), Tenant: ident.Tenant(rune('a' + pick("tenant", 4))),
					Priority: pick("priority", 3), Pool: PoolKey(rune('p' + pick("pool", 3))),
					Weight: float64(pick("weight", 3)), Cost: float64(pick("cost", 50)), MaxHold: time.Duration(pick("hold", 9)) * time.Second}
				alive[item.ID] = item
				for _, refused := range queue.Offer(now, item) {
					end(refused.Item.ID)
				}
			case 3:
				now = now.Add(time.Duration(pick("ms", 3000)) * time.Millisecond)
				pumpOnce(t, queue, now, alive, end)
			default:
				id := ident.Request(fmt.Sprintf("%04d", pick("gone", 120)))
				if queue.Remove(now, id) {
					end(id)
				}
			}
			if queue.Len() != len(alive) || queue.Len() > 20 {
				t.Fatalf("%d items wait, want %d", queue.Len(), len(alive))
			}
		}
	})
}

func pumpOnce(t *rapid.T, queue *Queue, now time.Time, alive map[ident.Request]Item, end func(ident.Request)) {
	last := map[string]ident.Request{}
	reached := map[PoolKey]bool{}
	decide := func(item *Item) Result {
		reached[item.Pool] = true
		line := fmt.Sprint(item.Tenant, item.Priority, item.Pool)
		if item.ID < last[line] {
			t.Fatalf("%s went before %s", last[line], item.ID)
		}
		last[line] = item.ID
		action := Action(rapid.IntRange(int(Dispatched), int(Rejected)).Draw(t, "action"))
		if action == Dispatched {
			end(item.ID)
		}
		return Result{Action: action, Fault: fault.New(fault.NoPermittedEngine, "rejected")}
	}
	for again := true; again; again = queue.Unfinished() {
		for _, one := range queue.Pump(now, decide) {
			end(one.Item.ID)
		}
	}
	for id, item := range alive {
		if !reached[item.Pool] {
			t.Fatalf("pool %s of %s was not tried", item.Pool, id)
		}
	}
	if moment, some := queue.NextExpiry(); some && !moment.After(now) {
		t.Fatalf("an item is held beyond %s", moment)
	}
}

func TestPackageHasNoClockSocketOrGoroutine(t *testing.T) {
	is := is.New(t)
	files, err := os.ReadDir(".")
	is.NoErr(err)
	for _, file := range files {
		if file.IsDir() || strings.HasSuffix(file.Name(), "_test.go") {
			continue
		}
		source, err := os.ReadFile(file.Name())
		is.NoErr(err)
		for _, banned := range []string{"net/http", "time.Now", "time.After", "go func", "\tgo ", "math/rand", `"sync`} {
			is.True(!strings.Contains(string(source), banned)) // everything here is a pure machine
		}
	}
}
