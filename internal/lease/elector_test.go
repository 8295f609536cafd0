package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// sampleInterval is the time between two checks of the holders.
const sampleInterval = 10 * time.Millisecond

func TestHandoverTakeoverAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := []*link{}
		is := is.New(t)
		table := &fakeTable{model: newTableModel()}
		start := func(name ident.Node) (*Elector, context.CancelFunc) {
			ctx, cancel := context.WithCancel(t.Context())
			elector := NewElector(links[len(links)-1], Config{Duration: duration}, "x", name)
			elector.Contend(true)
			go elector.Run(ctx)
			synctest.Wait()
			return elector, cancel
		}
		electors := []*Elector{}
		stops := []context.CancelFunc{}
		holders := func() (holding []int) {
			for index, elector := range electors {
				if _, err := elector.Held(); err == nil {
					holding = append(holding, index)
				}
			}
			return holding
		}
		for _, name := range []ident.Node{"first", "second", "third"} {
			links = append(links, &link{fakeTable: table})
			elector, stop := start(name)
			electors, stops = append(electors, elector), append(stops, stop)
		}
		is.Equal(holders(), []int{0})
		requests := table.countOver(time.Minute)
		t.Logf("%d table requests a minute for one holder and two contenders", requests)
		is.True(requests <= 65) // one a second

		stops[0]() // a planned stop: a contender acquires at its next read
		time.Sleep(duration / renewalsPerDuration)
		synctest.Wait()
		is.Equal(len(holders()), 1)
		holder := electors[holders()[0]]
		grant, err := holder.Held()
		is.NoErr(err)
		is.Equal(grant.Fence, uint64(2))

		table.setDown(true) // the lease expires unrenewed
		time.Sleep(duration)
		is.Equal(len(holders()), 0)
		is.Equal(holder.Counters().Lapsed, uint64(1))
		table.setDown(false)
		time.Sleep(2 * duration)
		is.Equal(len(holders()), 1)

		cut := holders()[0] // its lease expires before the takeover
		links[cut].cut.Store(true)
		began, lapsed := time.Now(), time.Duration(0)
		for len(holders()) == 0 || holders()[0] == cut {
			time.Sleep(sampleInterval)
			if len(holders()) == 0 && lapsed == 0 {
				lapsed = time.Since(began)
			}
		}
		took := time.Since(began)
		t.Logf("the lease of the cut-off holder expired after %v, another acquired it after %v", lapsed, took)
		is.True(lapsed > 0 && lapsed < took)
		is.True(took <= duration+duration/renewalsPerDuration+sampleInterval)

		for _, stop := range stops {
			stop()
		}
		time.Sleep(duration)
		is.Equal(len(holders()), 0)
	})
}
