package backend

import (
	"math"
	"time"
)

// lateness is the mean of how much later than predicted recent answers came. It halves every
// latenessHalfLife.
type lateness struct {
	mean      time.Duration
	updatedAt time.Time
}

// at returns the mean, decayed to now.
func (l *lateness) at(now time.Time) time.Duration {
	if l.mean == 0 {
		return 0
	}
	age := now.Sub(l.updatedAt).Seconds() / latenessHalfLife.Seconds()
	return time.Duration(float64(l.mean) * math.Exp2(-age))
}

// serviceLateness is the mean lateness of recent answers of a whole service; the weight of an
// answer halves every latenessHalfLife. It stays near zero while answers are few, as if
// priorAnswers more had come in time.
type serviceLateness struct {
	// sum and count are as of updatedAt.
	sum       time.Duration
	count     float64
	updatedAt time.Time
}

// priorAnswers is the number of answers in time that are assumed in addition: long prompts and
// single engines cause some late answers in any fleet.
const priorAnswers = 9

func (l *serviceLateness) at(now time.Time) time.Duration {
	kept := math.Exp2(-now.Sub(l.updatedAt).Seconds() / latenessHalfLife.Seconds())
	return time.Duration(kept * float64(l.sum) / (kept*l.count + priorAnswers))
}

// observe records by how much an answer came later than predicted.
func (l *serviceLateness) observe(now time.Time, late time.Duration) {
	kept := math.Exp2(-now.Sub(l.updatedAt).Seconds() / latenessHalfLife.Seconds())
	l.sum = time.Duration(kept*float64(l.sum)) + max(late, 0)
	l.count = kept*l.count + 1
	l.updatedAt = now
}

// observe records by how much an answer came later than predicted.
func (l *lateness) observe(now time.Time, late time.Duration) {
	mean := l.at(now)
	l.mean = mean + time.Duration(latenessWeight*float64(max(late, 0)-mean))
	l.updatedAt = now
}
