package claim

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// claimQuarters is the part of a batch, in quarters, that claims may fill while outcomes wait,
// so that neither starves the other.
const claimQuarters = 3

// Advance ends the claims whose deadline has passed and returns the transactions to send now.
func (c *Core) Advance(now time.Time) []Batch {
	c.expire(now)
	var batches []Batch
	for len(c.inFlight) < c.config.MaxInFlight && c.batchDue(now) && !c.pace.next(now).After(now) {
		batch, filled := c.fill()
		if !filled {
			break
		}
		c.pace.take()
		c.counters.Transactions++
		batches = append(batches, batch)
	}
	return batches
}

// NextWake returns when Advance must be called next without another event.
func (c *Core) NextWake(now time.Time) (time.Time, bool) {
	earliest, found := c.nextDeadline()
	if due, some := c.nextSend(); some && len(c.inFlight) < c.config.MaxInFlight {
		if paced := c.pace.next(now); paced.After(due) {
			due = paced
		}
		if !found || due.Before(earliest) {
			earliest, found = due, true
		}
	}
	return earliest, found
}

func (c *Core) nextDeadline() (earliest time.Time, found bool) {
	consider := func(candidate *operation) {
		if candidate.kind == operationClaim && (!found || candidate.deadline.Before(earliest)) {
			earliest, found = candidate.deadline, true
		}
	}
	for _, waiting := range c.claims {
		consider(waiting)
	}
	for _, operations := range c.inFlight {
		for _, sent := range operations {
			consider(sent)
		}
	}
	return earliest, found
}

// nextSend returns when the oldest operation whose row is free has waited for Config.Window.
func (c *Core) nextSend() (earliest time.Time, found bool) {
	for _, queue := range [][]*operation{c.claims, c.background} {
		for _, waiting := range queue {
			if c.blocked(waiting) {
				continue
			}
			if due := waiting.queued.Add(c.config.Window); !found || due.Before(earliest) {
				earliest, found = due, true
			}
		}
	}
	return earliest, found
}

func (c *Core) batchDue(now time.Time) bool {
	if len(c.claims)+len(c.background) >= c.config.MaxBatch {
		return true
	}
	due, found := c.nextSend()
	return found && !due.After(now)
}

// expire answers the claims whose deadline has passed.
func (c *Core) expire(now time.Time) {
	kept := c.claims[:0]
	for _, waiting := range c.claims {
		if now.Before(waiting.deadline) {
			kept = append(kept, waiting)
			continue
		}
		c.answerTimeout(waiting)
		c.giveUp(now, waiting)
	}
	clear(c.claims[len(kept):])
	c.claims = kept
	for _, operations := range c.inFlight {
		for _, sent := range operations {
			if sent.kind == operationClaim && !now.Before(sent.deadline) {
				c.answerTimeout(sent)
				sent.release()
				c.counters.Released++
			}
		}
	}
}

func (c *Core) answerTimeout(claim *operation) {
	c.counters.Refused++
	problem := fault.New(fault.StoreUnavailable, "the table did not answer the claim in time").
		WithRetryAfter(c.config.Timeout)
	c.answers = append(c.answers, Answer{ClaimID: claim.record.ClaimID, Fault: problem})
}

// blocked reports whether an operation must wait for another one of its row. A claim also waits
// until an earlier claim of this router on the row is settled.
func (c *Core) blocked(waiting *operation) bool {
	return c.busy[waiting.row] || (waiting.kind == operationClaim && c.settling[waiting.row])
}

// fill moves operations on free rows from the queues to one transaction.
func (c *Core) fill() (Batch, bool) {
	limit := c.config.MaxBatch
	claimLimit := limit
	if len(c.background) > 0 {
		claimLimit = max(1, limit*claimQuarters/4)
	}
	var chosen []*operation
	c.claims, chosen = c.choose(c.claims, chosen, claimLimit)
	c.background, chosen = c.choose(c.background, chosen, limit)
	c.claims, chosen = c.choose(c.claims, chosen, limit)
	if len(chosen) == 0 {
		return Batch{}, false
	}
	c.nextBatch++
	batch := Batch{ID: c.nextBatch}
	for _, operation := range chosen {
		value, err := encodeRecord(operation.record)
		if err != nil {
			// A Record has only strings and integers; encoding cannot fail.
			continue
		}
		operation.sentState = operation.record.State
		condition := protocol.Condition{Key: operation.row, Version: operation.version}
		batch.Transaction.Conditions = append(batch.Transaction.Conditions, condition)
		batch.Transaction.Writes = append(batch.Transaction.Writes, protocol.Write{Key: operation.row, Value: value})
	}
	c.inFlight[batch.ID] = chosen
	return batch, true
}

func (c *Core) choose(queue, chosen []*operation, limit int) (rest, all []*operation) {
	rest = queue[:0]
	for _, waiting := range queue {
		if len(chosen) >= limit || c.blocked(waiting) {
			rest = append(rest, waiting)
			continue
		}
		c.busy[waiting.row] = true
		chosen = append(chosen, waiting)
	}
	clear(queue[len(rest):])
	return rest, chosen
}

// Completed applies the result of a transaction. After a lost answer the operations are sent
// again: their conditions then show who holds the rows.
func (c *Core) Completed(now time.Time, id BatchID, result protocol.TransactionResult, err error) {
	operations, known := c.inFlight[id]
	if !known {
		return
	}
	delete(c.inFlight, id)
	for _, operation := range operations {
		delete(c.busy, operation.row)
	}
	if err == nil && len(result.Rows) != len(operations) {
		err = fault.New(fault.StoreUnavailable, "the table answered with %d rows instead of %d", len(result.Rows), len(operations)).
			WithRan(fault.RanUnknown)
	}
	if err != nil {
		c.fail(now, operations, fault.From(err))
		return
	}
	c.pace.succeeded()
	for index, operation := range operations {
		c.apply(operation, result.Committed, result.Rows[index])
	}
}

// fail retries the operations of a transaction without an answer.
func (c *Core) fail(now time.Time, operations []*operation, problem *fault.Fault) {
	c.pace.failed(now, problem)
	c.counters.Unsettled++
	for _, operation := range operations {
		if problem.Ran != fault.RanNo {
			operation.mayBeWritten = true
		}
		c.requeue(operation)
	}
}

func (c *Core) apply(operation *operation, committed bool, row protocol.Row) {
	resolved := resolutionOwn
	current := operation.record
	if committed {
		resolved = operation.resolveCommitted(row)
	} else {
		resolved, current = operation.resolveRejected(row)
	}
	if resolved == resolutionRetry {
		c.requeue(operation)
		return
	}
	if operation.kind == operationClaim {
		c.answerClaim(operation, resolved, current)
		return
	}
	c.answerRecord(operation, resolved)
}

// requeue puts an operation at the front, since it has waited longest. A released claim that
// was not written needs no write.
func (c *Core) requeue(retried *operation) {
	if retried.kind == operationClaim {
		c.claims = append([]*operation{retried}, c.claims...)
		return
	}
	if !retried.mayBeWritten {
		return
	}
	c.settling[retried.row] = true
	c.background = append([]*operation{retried}, c.background...)
}

func (c *Core) answerClaim(claim *operation, resolved resolution, current Record) {
	answer := Answer{ClaimID: claim.record.ClaimID}
	switch resolved {
	case resolutionOwn:
		c.counters.Granted++
		c.held[claim.record.ClaimID] = claim
		answer.Grant = Grant{Acquired: true, Record: claim.record}
	case resolutionReused:
		answer.Fault = fault.New(fault.KeyReused, "the key was used for another request")
	case resolutionUnreadable:
		answer.Fault = fault.New(fault.Internal, "the claim's row cannot be decoded")
	default:
		c.counters.AlreadyClaimed++
		answer.Grant = Grant{Record: current}
	}
	c.answers = append(c.answers, answer)
}

func (c *Core) answerRecord(record *operation, resolved resolution) {
	delete(c.settling, record.row)
	if !record.awaited {
		return
	}
	answer := Answer{ClaimID: record.record.ClaimID, Recorded: true}
	if resolved != resolutionOwn {
		answer.Fault = fault.New(fault.Conflict, "the row now belongs to another claim").WithRan(fault.RanUnknown)
	}
	c.answers = append(c.answers, answer)
}
