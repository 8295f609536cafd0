package claim

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// claimShare is the part of a batch, in quarters, that claims may fill while
// outcomes wait, so that neither starves the other.
const claimShare = 3

// Advance ends the claims whose time is over and returns the transactions to
// send now.
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

// NextWake returns the next time Advance has something to do by itself.
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

// nextSend returns when the oldest operation whose row is free has waited for
// its window.
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

// expire answers the claims whose deadline has come.
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

// blocked reports whether an operation must wait for another of its row. A
// claim also waits until an earlier own claim of the row is settled.
func (c *Core) blocked(waiting *operation) bool {
	return c.busy[waiting.row] || (waiting.kind == operationClaim && c.settling[waiting.row])
}

// fill moves operations on free rows from the queues into one transaction.
func (c *Core) fill() (Batch, bool) {
	limit := c.config.MaxBatch
	claimLimit := limit
	if len(c.background) > 0 {
		claimLimit = max(1, limit*claimShare/4)
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
			// A Record holds only strings and integers; encoding cannot fail.
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

// Completed takes the result of a transaction. A lost answer is settled by
// sending the operations again: the conditions then show who holds the rows.
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

// fail sends the operations of a transaction without an answer again.
func (c *Core) fail(now time.Time, operations []*operation, problem *fault.Fault) {
	c.pace.failed(now, problem)
	c.counters.Unsettled++
	for _, operation := range operations {
		if problem.Ran != fault.RanNo {
			operation.mayStand = true
		}
		c.requeue(operation)
	}
}

func (c *Core) apply(operation *operation, committed bool, row protocol.Row) {
	judged := verdictOwn
	current := operation.record
	if committed {
		judged = operation.judgeCommitted(row)
	} else {
		judged, current = operation.judgeRefused(row)
	}
	if judged == verdictRetry {
		c.requeue(operation)
		return
	}
	if operation.kind == operationClaim {
		c.answerClaim(operation, judged, current)
		return
	}
	c.answerRecord(operation, judged)
}

// requeue puts an operation in front, since it has waited longest. A released
// claim that stands nowhere needs no more writing.
func (c *Core) requeue(again *operation) {
	if again.kind == operationClaim {
		c.claims = append([]*operation{again}, c.claims...)
		return
	}
	if !again.mayStand {
		return
	}
	c.settling[again.row] = true
	c.background = append([]*operation{again}, c.background...)
}

func (c *Core) answerClaim(claim *operation, judged verdict, current Record) {
	answer := Answer{ClaimID: claim.record.ClaimID}
	switch judged {
	case verdictOwn:
		c.counters.Granted++
		c.held[claim.record.ClaimID] = claim
		answer.Grant = Grant{Acquired: true, Record: claim.record}
	case verdictReused:
		answer.Fault = fault.New(fault.KeyReused, "the key was used for another request")
	case verdictBroken:
		answer.Fault = fault.New(fault.Internal, "the claim's row cannot be decoded")
	default:
		c.counters.AlreadyClaimed++
		answer.Grant = Grant{Record: current}
	}
	c.answers = append(c.answers, answer)
}

func (c *Core) answerRecord(record *operation, judged verdict) {
	delete(c.settling, record.row)
	if !record.awaited {
		return
	}
	answer := Answer{ClaimID: record.record.ClaimID, Recorded: true}
	if judged != verdictOwn {
		answer.Fault = fault.New(fault.Conflict, "the claim's row is no longer this claim's").WithRan(fault.RanUnknown)
	}
	c.answers = append(c.answers, answer)
}
