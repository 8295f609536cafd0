package exchange

import (
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/answer"
)

// badAnswers counts the answers that exceeded a limit and those that were malformed. The mutex of the pool guards it.
type badAnswers struct {
	tooLarge  uint64
	malformed map[answer.Cause]uint64
	// tooLargeLoggedAt and malformedLoggedAt are when such an answer was logged last.
	tooLargeLoggedAt, malformedLoggedAt time.Time
}

// isLogDue reports whether a line may be logged, and records that it is.
func isLogDue(loggedAt *time.Time) bool {
	now := time.Now()
	if now.Sub(*loggedAt) < badAnswerLogInterval {
		return false
	}
	*loggedAt = now
	return true
}

// recordTooLarge counts an answer that is too large, and logs it unless another one was logged just before.
func (p *Pool) recordTooLarge(conn *connection) {
	p.mutex.Lock()
	p.bad.tooLarge++
	count, due := p.bad.tooLarge, isLogDue(&p.bad.tooLargeLoggedAt)
	p.mutex.Unlock()
	if due {
		log.WithFields(log.Fields{"address": conn.address, "limit": p.options.MaxHeaderBytes, "count": count}).Warn("answer_too_large")
	}
}

// recordMalformed counts an answer that is malformed, and logs it unless another one was logged just before.
func (p *Pool) recordMalformed(conn *connection, cause answer.Cause) {
	p.mutex.Lock()
	if p.bad.malformed == nil {
		p.bad.malformed = make(map[answer.Cause]uint64)
	}
	p.bad.malformed[cause]++
	count, due := p.bad.malformed[cause], isLogDue(&p.bad.malformedLoggedAt)
	p.mutex.Unlock()
	if due {
		log.WithFields(log.Fields{"address": conn.address, "cause": cause, "count": count}).Warn("answer_malformed")
	}
}

// TooLarge returns how many answers exceeded a limit so far.
func (p *Pool) TooLarge() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.bad.tooLarge
}

// Malformed returns how many answers were malformed so far, by cause.
func (p *Pool) Malformed() map[answer.Cause]uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return maps.Clone(p.bad.malformed)
}
