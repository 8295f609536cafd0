package claim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkClaim submits claims of fresh keys, 64 to a transaction, against a
// table in memory that answers at once.
func BenchmarkClaim(b *testing.B) {
	core, table, now := NewCore("router-1", Config{TransactionsPerSecond: 1e6}), newTableModel(), time.Unix(1000, 0)
	key, index := booking, 0
	b.ReportAllocs()
	for b.Loop() {
		index++
		key.IdempotencyKey = fmt.Sprint(index)
		core.Submit(now, key.IdempotencyKey, key, "digest", now.Add(time.Second))
		if index%64 != 0 {
			continue
		}
		now = now.Add(10 * time.Millisecond)
		for _, batch := range core.Advance(now) {
			core.Completed(now, batch.ID, table.commit(batch.Transaction), nil)
		}
		for _, answer := range core.Answers() {
			if answer.Grant.Acquired {
				core.Settle(now, answer.ClaimID, Outcome{Ran: "yes", Status: 201})
			}
		}
	}
}

// BenchmarkTransactions counts, in virtual time, the table's transactions for
// one claim and its outcome at the given claims a second of one router.
func BenchmarkTransactions(b *testing.B) {
	for _, rate := range []int{1, 11, 100, 1000} {
		b.Run(fmt.Sprint("claims/s=", rate), func(b *testing.B) {
			const step = time.Millisecond
			core, table, now := NewCore("router-1", Config{}), newTableModel(), time.Unix(1000, 0)
			random := rand.New(rand.NewPCG(1, 1))
			key, index := booking, 0
			for b.Loop() {
				now = now.Add(step)
				if random.Float64() < float64(rate)*step.Seconds() {
					index++
					key.IdempotencyKey = fmt.Sprint(index)
					core.Submit(now, key.IdempotencyKey, key, "digest", now.Add(time.Second))
				}
				for _, batch := range core.Advance(now) {
					core.Completed(now, batch.ID, table.commit(batch.Transaction), nil)
				}
				for _, answer := range core.Answers() {
					if answer.Grant.Acquired {
						core.Settle(now, answer.ClaimID, Outcome{Ran: "yes", Status: 201})
					}
				}
			}
			b.ReportMetric(float64(core.Counters().Transactions)/float64(max(1, index)), "transactions/claim")
		})
	}
}
