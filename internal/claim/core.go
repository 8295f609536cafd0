package claim

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// BatchID names one transaction in flight.
type BatchID uint64

// Batch is a transaction the shell is to send.
type Batch struct {
	ID          BatchID
	Transaction protocol.Transaction
}

// Answer is the end of one Submit or Settle.
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
	// Granted counts claims won, Shown claims that were another's.
	Granted, AlreadyClaimed uint64
	// Refused counts claims that ended without an answer of the table.
	Refused uint64
	// Released counts claims given up after they may have reached the table.
	Released uint64
	// Dropped counts outcomes lost because too many waited to be recorded.
	Dropped uint64
	// Transactions counts transactions sent, Unsettled those without an answer.
	Transactions, Unsettled uint64
	// Waiting and Background are the operations queued or in flight now.
	Waiting, Background int
}

// Core groups claims and outcomes into transactions. It is a state machine
// without I/O: the shell tells it events and times, sends what Advance
// returns and hands out what Answers returns. It is not safe for concurrent use.
//
// Invariants: at most one operation of a row is in flight; a claim is granted
// only after the table showed the row with this claim's id; a claim that was
// given up is never granted.
type Core struct {
	config     Config
	holder     ident.Node
	pace       pace
	claims     []*operation
	background []*operation
	// busy holds the rows in flight, settling those with an own outcome or
	// release still to be recorded.
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

// Submit starts a claim under a claim id never used before. It is refused at
// once if the wait for its transaction would exceed the deadline.
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

// predictedWait is the time until a claim submitted now would be sent.
func (c *Core) predictedWait(now time.Time) time.Duration {
	batchesAhead := len(c.claims) / c.config.MaxBatch
	pacing := time.Duration(float64(batchesAhead) / c.config.TransactionsPerSecond * float64(time.Second))
	return c.pace.next(now).Sub(now) + pacing
}

// Settle records the outcome of a granted claim. Unless the claim was given
// up meanwhile, an Answer with Recorded set follows.
func (c *Core) Settle(now time.Time, claimID string, outcome Outcome) {
	held, known := c.held[claimID]
	if !known {
		problem := fault.New(fault.Conflict, "claim %s is not held by this router", claimID).WithRan(outcome.Ran).
			WithRemedy("repeat the request with the same Idempotency-Key to learn the outcome")
		c.answers = append(c.answers, Answer{ClaimID: claimID, Recorded: true, Fault: problem})
		return
	}
	held.record.State = stateOf(outcome.Ran)
	held.record.Status = outcome.Status
	held.record.AnswerZone = outcome.AnswerZone
	held.record.AnswerKey = outcome.AnswerKey
	c.record(now, held, true)
}

// Abandon gives a claim up: its caller was told that nothing ran. It may be
// called in any state of the claim before Settle.
func (c *Core) Abandon(now time.Time, claimID string) {
	if held, known := c.held[claimID]; known {
		held.release()
		c.counters.Released++
		c.record(now, held, false)
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

// record queues the writing of a held claim's outcome.
func (c *Core) record(now time.Time, held *operation, awaited bool) {
	delete(c.held, held.record.ClaimID)
	held.kind = operationRecord
	held.awaited = awaited
	held.queued = now
	c.queueBackground(held)
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

// giveUp ends a claim that is not in flight. If a transaction with it may
// have taken effect, or may yet, its release is recorded in the background.
func (c *Core) giveUp(now time.Time, claim *operation) {
	if !claim.mayStand {
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

// Counters returns the counters.
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
