package claim

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
)

var booking = Key{Tenant: "muldenring", Service: "dispatch", IdempotencyKey: "order-17"}

// TestMain fixes the seed of the random schedules, so that runs are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "17"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// withManagers runs the check in virtual time with two managers of one table.
func withManagers(t *testing.T, table *faultyTable, check func(is *is.I, first, second *Manager)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		first, second := NewManager(table, "router-1", Config{}), NewManager(table, "router-2", Config{})
		go first.Run(ctx)
		go second.Run(ctx)
		check(is.New(t), first, second)
	})
}

func TestClaimUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		script []exchange
		kind   fault.Kind
		after  State
	}{
		{"no fault", nil, "", StateClaimed},
		{"answer lost after commit", []exchange{lostAfterCommit}, "", StateClaimed},
		{"answer lost before commit", []exchange{lostBeforeCommit}, "", StateClaimed},
		{"two answers lost", []exchange{lostBeforeCommit, lostAfterCommit}, "", StateClaimed},
		{"short outage", []exchange{outage, outage}, "", StateClaimed},
		{"rate limited", []exchange{rateLimited, rateLimited}, "", StateClaimed},
		{"first insert commits late", []exchange{commitsLate}, "", StateClaimed},
		{"long outage", repeated(outage, 40), fault.StoreUnavailable, ""},
		{"many answers lost, first committed", append([]exchange{lostAfterCommit}, repeated(outage, 40)...),
			fault.StoreUnavailable, StateNotRun},
		{"insert commits after the claim was abandoned", append([]exchange{commitsLate}, repeated(outage, 8)...),
			fault.StoreUnavailable, StateNotRun},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := newFaultyTable(test.script...)
			withManagers(t, table, func(is *is.I, first, second *Manager) {
				grant, err := first.Claim(context.Background(), booking, "digest")
				is.Equal(grant.Acquired, err == nil)
				if test.kind != "" {
					is.True(fault.Is(err, test.kind))
					is.Equal(fault.From(err).Ran, fault.RanNo)
				}
				time.Sleep(20 * time.Second)
				is.Equal(table.heal(booking), test.after)
				retry, err := second.Claim(context.Background(), booking, "digest")
				is.NoErr(err)
				is.Equal(retry.Acquired, test.kind != "") // what never ran can be claimed again
			})
		})
	}
}

func repeated(one exchange, times int) []exchange {
	script := make([]exchange, times)
	for index := range script {
		script[index] = one
	}
	return script
}

func TestRetryFollowsTheRecord(t *testing.T) {
	otherTenant := booking
	otherTenant.Tenant = "rival"
	cases := []struct {
		name     string
		outcome  fault.Ran
		key      Key
		digest   Digest
		acquired bool
		kind     fault.Kind
		state    State
	}{
		{"claimed", "", booking, "digest", false, "", StateClaimed},
		{"ran", fault.RanYes, booking, "digest", false, "", StateRan},
		{"unknown", fault.RanUnknown, booking, "digest", false, "", StateUnknown},
		{"not run", fault.RanNo, booking, "digest", true, "", StateClaimed},
		{"another body", fault.RanYes, booking, "other", false, fault.KeyReused, ""},
		{"another tenant's key", fault.RanYes, otherTenant, "other", true, "", StateClaimed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withManagers(t, newFaultyTable(), func(is *is.I, first, second *Manager) {
				grant, err := first.Claim(context.Background(), booking, "digest")
				is.NoErr(err)
				if test.outcome != "" {
					is.NoErr(first.Finish(context.Background(), booking, grant.Record.ClaimID, Outcome{Ran: test.outcome, Status: 201}))
				}
				retry, err := second.Claim(context.Background(), test.key, test.digest)
				is.True(test.kind == "" && err == nil || fault.Is(err, test.kind))
				is.Equal(retry.Acquired, test.acquired)
				is.Equal(retry.Record.State, test.state)
			})
		})
	}
}

func TestOnlyHolderFinishesDespiteFaults(t *testing.T) {
	table := newFaultyTable(append([]exchange{succeeds, lostAfterCommit}, repeated(outage, 5)...)...)
	withManagers(t, table, func(is *is.I, first, second *Manager) {
		grant, err := first.Claim(context.Background(), booking, "digest")
		is.NoErr(err)
		is.True(fault.Is(second.Finish(context.Background(), booking, grant.Record.ClaimID, Outcome{Ran: fault.RanNo}), fault.Conflict))
		time.Sleep(24 * time.Hour) // a paused holder keeps its claim
		retry, err := second.Claim(context.Background(), booking, "digest")
		is.NoErr(err)
		is.True(!retry.Acquired)
		is.NoErr(first.Finish(context.Background(), booking, grant.Record.ClaimID, Outcome{Ran: fault.RanYes, Status: 200}))
		is.Equal(table.heal(booking), StateRan)
	})
}

func TestAbandonedClaimsFreeTheirKey(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		// run brings the claim to the state of the case, then abandons it.
		run  func(core *Core, table *tableModel)
		want State
	}{
		{"while it waits", func(core *Core, _ *tableModel) {
			core.Abandon(now, "id")
		}, ""},
		{"while its insert is in flight", func(core *Core, table *tableModel) {
			batch := core.Advance(now.Add(time.Millisecond * 2))[0]
			core.Abandon(now, "id")
			core.Completed(now, batch.ID, table.commit(batch.Transaction), nil)
		}, StateNotRun},
		{"after the table granted it", func(core *Core, table *tableModel) {
			batch := core.Advance(now.Add(time.Millisecond * 2))[0]
			core.Completed(now, batch.ID, table.commit(batch.Transaction), nil)
			core.Abandon(now, "id")
		}, StateNotRun},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			core, table := NewCore("router-1", Config{}), newTableModel()
			core.Submit(now, "id", booking, "digest", now.Add(time.Second))
			test.run(core, table)
			for _, batch := range core.Advance(now.Add(time.Minute)) {
				core.Completed(now, batch.ID, table.commit(batch.Transaction), nil)
			}
			is.Equal(table.record(booking).State, test.want)
			is.Equal(core.Counters().Background, 0)
		})
	}
}

func TestClaimsAreBatchedAndBounded(t *testing.T) {
	is := is.New(t)
	core, table, now := NewCore("router-1", Config{MaxBatch: 64}), newTableModel(), time.Unix(1000, 0)
	for index := range 200 {
		key := booking
		key.IdempotencyKey = fmt.Sprint(index)
		core.Submit(now, fmt.Sprint(index), key, "digest", now.Add(time.Second))
	}
	now = now.Add(time.Millisecond * 2)
	for _, batch := range core.Advance(now) {
		core.Completed(now, batch.ID, table.commit(batch.Transaction), nil)
	}
	is.Equal(core.Counters().Granted, uint64(200))
	is.Equal(core.Counters().Transactions, uint64(4))

	core.pace.failed(now, fault.New(fault.RateLimited, "slow down").WithRetryAfter(time.Minute))
	core.Answers()
	core.Submit(now, "late", booking, "digest", now.Add(time.Second))
	answers := core.Answers()
	is.Equal(len(answers), 1) // refused at once, with a Retry-After
	is.Equal(answers[0].Fault.Kind, fault.StoreUnavailable)
	is.Equal(answers[0].Fault.RetryAfter, time.Minute)
}

func TestStopRecordsPendingOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newFaultyTable(append([]exchange{succeeds}, repeated(outage, 4)...)...)
		manager := NewManager(table, "router-1", Config{})
		ctx, cancel := context.WithCancel(context.Background())
		go manager.Run(ctx)
		grant, err := manager.Claim(ctx, booking, "digest")
		is.NoErr(err)
		brief, stopWaiting := context.WithTimeout(ctx, time.Millisecond)
		defer stopWaiting()
		err = manager.Finish(brief, booking, grant.Record.ClaimID, Outcome{Ran: fault.RanYes, Status: 200})
		is.True(fault.Is(err, fault.StoreUnavailable))
		is.Equal(fault.From(err).Ran, fault.RanYes)
		cancel()
		synctest.Wait()
		_, err = manager.Claim(context.Background(), booking, "digest")
		is.True(fault.Is(err, fault.ShuttingDown))
		time.Sleep(time.Minute)
		is.Equal(table.heal(booking), StateRan) // recorded after shutdown, in spite of the outage
	})
}
