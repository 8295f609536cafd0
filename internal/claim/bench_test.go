package claim

import (
	"fmt"
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
			if answer.Grant.Mine {
				core.Settle(now, answer.ClaimID, Outcome{Ran: "yes", Status: 201})
			}
		}
	}
}
