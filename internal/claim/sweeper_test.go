package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	tables "github.com/fieldpond/fieldpond/standin/platform"
)

// sweptTable is a store.Table over the stand-in's table. It counts the requests of the sweep
// and loses the answer to every third delete.
type sweptTable struct {
	mutex          sync.Mutex
	table          *tables.Table
	lists, deletes int
}

func (s *sweptTable) Commit(_ context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result, err := s.table.Apply(transaction)
	if transaction.Writes[0].Delete {
		if s.deletes++; s.deletes%3 == 0 {
			return protocol.TransactionResult{}, fault.New(fault.StoreUnavailable, "no answer").WithRan(fault.RanUnknown)
		}
	}
	return result, err
}

func (s *sweptTable) Read(_ context.Context, key string) (protocol.Row, bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	row, found := s.table.Read(key)
	return row, found, nil
}

func (s *sweptTable) List(_ context.Context, prefix string, limit int) (protocol.RowList, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lists++
	return s.table.List(prefix, limit), nil
}

// put writes claims of a service with an age.
func (s *sweptTable) put(t *testing.T, service ident.Service, count int, age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for number := range count {
		value, err := encodeRecord(Record{State: StateRan, ClaimedAt: time.Now().Add(-age).Unix()})
		if err != nil {
			t.Fatal(err)
		}
		key := RowKey(Key{Tenant: "t", Service: service, IdempotencyKey: fmt.Sprint(age, number)})
		if _, err := s.table.Apply(protocol.Transaction{Writes: []protocol.Write{{Key: key, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
}

func (s *sweptTable) left() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.table.List(RowPrefix, 1<<20).Rows)
}

// TestOneRouterSweeps checks that only the holder of the lease reads, at its rate, and that the
// other router continues when it stops.
func TestOneRouterSweeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := &sweptTable{table: tables.NewTable()}
		const old, young = 49*time.Hour + time.Minute, 47 * time.Hour
		table.put(t, "a", 700, old) // more than a page: its prefix is split
		table.put(t, "b", 20, old)
		table.put(t, "b", 30, young)
		table.put(t, "gone", 5, old) // a service that is not configured
		sweepers, stops := map[string]*Sweeper{}, map[string]context.CancelFunc{}
		for _, node := range []string{"n1", "n2"} {
			ctx, stop := context.WithCancel(t.Context())
			stops[node] = stop
			sweepers[node] = NewSweeper(SweeperOptions{
				Node: ident.Node(node), Table: table, Contends: func() bool { return true },
				Prefixes: func() []string {
					return []string{SweepPrefix(Key{Tenant: "t", Service: "a"}), SweepPrefix(Key{Tenant: "t", Service: "b"})}
				},
			})
			go sweepers[node].Run(ctx)
		}
		const runTime = time.Minute
		time.Sleep(runTime)
		is.True(sweepers["n1"].Held() != sweepers["n2"].Held())
		is.True(table.lists+table.deletes <= int(defaultSweepRate*runTime/time.Second)+1)
		is.Equal(table.left(), 30+5)
		holder, other := "n1", "n2"
		if sweepers["n2"].Held() {
			holder, other = other, holder
		}
		is.Equal(sweepers[holder].Counters().Failed, uint64(table.deletes/3)) // lost answers were counted
		is.Equal(sweepers[other].Counters(), SweepCounters{})
		stops[holder]()
		table.put(t, "a", 10, old)
		time.Sleep(runTime)
		is.True(sweepers[other].Held())
		is.Equal(table.left(), 30+5)
		is.Equal(sweepers[other].Counters().Passes, uint64(1))
		stops[other]()
		time.Sleep(runTime)
	})
}
