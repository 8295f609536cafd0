package claim

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// BatchID identifies a transaction in flight.
type BatchID uint64

// Batch is a transaction to be sent by the caller of Advance.
type Batch struct {
	ID          BatchID
	Transaction protocol.Transaction
}

// Answer is the result of one Submit or Settle.
type Answer struct {
	ClaimID string
	// Recorded is true for the answer to Settle.
	Recorded bool
	Grant    Grant
	// Fault is nil unless the operation failed.
	Fault *fault.Fault
}

// Counters counts what a Core did.
type Counters struct {
	// Granted counts claims acquired, AlreadyClaimed those held by another call.
	Granted, AlreadyClaimed uint64
	// Refused counts claims that ended without an answer of the table.
	Refused uint64
	// Released counts claims released after they may have reached the table.
	Released uint64
	// Dropped counts outcomes dropped because too many waited to be recorded.
	Dropped uint64
	// Transactions counts transactions sent, Unsettled those without an answer.
	Transactions, Unsettled uint64
	// Waiting and Background are the operations queued or in flight now.
	Waiting, Background int
}

// Core groups claims and outcomes into transactions. It is a state machine without I/O: the
// Manager passes events and times, sends the batches of Advance and delivers Answers. It is not
// safe for concurrent use.
//
// Invariants: at most one operation of a row is in flight; a claim is granted only after the
// table returned the row with this claim's id; a released claim is never granted.
type Core struct {
	config     Config
	holder     ident.Node
	pace       pace
	claims     []*operation
	background []*operation
	// busy has the rows in flight, settling those whose outcome or release by this router is
	// not recorded yet.
	busy, settling map[string]bool
	inFlight       map[BatchID][]*operation
	held           map[string]*operation
	answers        []Answer
	nextBatch      BatchID
	counters       Counters
}

// NewCore returns a Core of the given router.
func NewCore(holder ident.Node, config Config) *Core {
	config = config.withDefaults()
	return &Core{
		config:   config,
		holder:   holder,
		pace:     newPace(config),
		busy:     make(map[string]bool),
		settling: make(map[string]bool),
		inFlight: make(map[BatchID][]*operation),
		held:     make(map[string]*operation),
	}
}

// Submit starts a claim with a new claim id. It is refused at once if the predicted wait for
// its transaction exceeds the deadline.
func (c *Core) Submit(now time.Time, claimID string, key Key, digest Digest, deadline time.Time) {
	wait := c.predictedWait(now)
	if len(c.claims) >= c.config.MaxWaiting || now.Add(wait).After(deadline) {
		c.counters.Refused++
		problem := fault.New(fault.StoreUnavailable, "%d claims wait for the table", len(c.claims))
		c.answers = append(c.answers, Answer{ClaimID: claimID, Fault: problem.WithRetryAfter(max(wait, c.config.Timeout))})
		return
	}
	c.claims = append(c.claims, &operation{
		kind:     operationClaim,
		row:      RowKey(key),
		record:   Record{ClaimID: claimID, State: StateClaimed, Digest: digest, Holder: c.holder, ClaimedAt: now.Unix()},
		queued:   now,
		deadline: deadline,
		awaited:  true,
	})
}

// predictedWait returns the time until a claim submitted now would be sent.
func (c *Core) predictedWait(now time.Time) time.Duration {
	batchesAhead := len(c.claims) / c.config.MaxBatch
	pacing := time.Duration(float64(batchesAhead) / c.config.TransactionsPerSecond * float64(time.Second))
	return c.pace.next(now).Sub(now) + pacing
}

// Settle records the outcome of a granted claim. Unless the claim is abandoned before, an
// Answer with Recorded set follows.
func (c *Core) Settle(now time.Time, claimID string, outcome Outcome) {
	claim, known := c.held[claimID]
	if !known {
		problem := fault.New(fault.Conflict, "claim %s is not held by this router", claimID).WithRan(outcome.Ran).
			WithRemedy("repeat the request with the same Idempotency-Key to learn the outcome")
		c.answers = append(c.answers, Answer{ClaimID: claimID, Recorded: true, Fault: problem})
		return
	}
	claim.record.State = stateOf(outcome.Ran)
	claim.record.Status = outcome.Status
	claim.record.AnswerZone = outcome.AnswerZone
	claim.record.AnswerKey = outcome.AnswerKey
	c.record(now, claim, true)
}

// Abandon releases a claim whose caller got the answer that nothing ran. It may be called in
// any state of the claim before Settle.
func (c *Core) Abandon(now time.Time, claimID string) {
	if claim, known := c.held[claimID]; known {
		claim.release()
		c.counters.Released++
		c.record(now, claim, false)
		return
	}
	for index, waiting := range c.claims {
		if waiting.record.ClaimID == claimID {
			c.claims = append(c.claims[:index], c.claims[index+1:]...)
			c.giveUp(now, waiting)
			return
		}
	}
	for _, operations := range c.inFlight {
		for _, sent := range operations {
			if sent.record.ClaimID == claimID && sent.kind == operationClaim {
				sent.release()
				c.counters.Released++
			}
		}
	}
}

// record queues the write of a held claim's outcome.
func (c *Core) record(now time.Time, claim *operation, awaited bool) {
	delete(c.held, claim.record.ClaimID)
	claim.kind = operationRecord
	claim.awaited = awaited
	claim.queued = now
	c.queueBackground(claim)
}

func (c *Core) queueBackground(record *operation) {
	if len(c.background) < c.config.MaxBackground {
		c.settling[record.row] = true
		c.background = append(c.background, record)
		return
	}
	c.counters.Dropped++
	if record.awaited {
		problem := fault.New(fault.StoreUnavailable, "too many outcomes wait to be recorded")
		c.answers = append(c.answers, Answer{ClaimID: record.record.ClaimID, Recorded: true, Fault: problem.WithRan(fault.RanUnknown)})
	}
}

// giveUp ends a claim that is not in flight. If a transaction with it may have taken effect, or
// still may, its release is recorded in the background.
func (c *Core) giveUp(now time.Time, claim *operation) {
	if !claim.mayBeWritten {
		return
	}
	claim.release()
	claim.queued = now
	c.counters.Released++
	c.queueBackground(claim)
}

// Answers returns the answers since the last call.
func (c *Core) Answers() []Answer {
	answers := c.answers
	c.answers = nil
	return answers
}

// Counters returns a copy of the counters.
func (c *Core) Counters() Counters {
	counters := c.counters
	counters.Waiting = len(c.claims)
	counters.Background = len(c.background)
	for _, operations := range c.inFlight {
		for _, sent := range operations {
			if sent.kind == operationClaim {
				counters.Waiting++
			} else {
				counters.Background++
			}
		}
	}
	return counters
}
