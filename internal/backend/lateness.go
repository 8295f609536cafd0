package backend

import (
	"math"
	"time"
)

// lateness is the mean time by which answers lately came later than predicted. It is
// forgotten by halves, each latenessHalfLife.
type lateness struct {
	mean time.Duration
	// updatedAt is when the mean was taken.
	updatedAt time.Time
}

// at returns the mean, as far as it is not forgotten.
func (l *lateness) at(now time.Time) time.Duration {
	if l.mean == 0 {
		return 0
	}
	age := now.Sub(l.updatedAt).Seconds() / latenessHalfLife.Seconds()
	return time.Duration(float64(l.mean) * math.Exp2(-age))
}

// serviceLateness is the mean time by which answers of a whole service lately came later
// than predicted. Older answers count less, by halves, each latenessHalfLife. It leans to
// none while answers are few, as if priorAnswers more had come in time.
type serviceLateness struct {
	// sum and count are of answers as of a time.
	sum       time.Duration
	count     float64
	updatedAt time.Time
}

// priorAnswers is the number of answers that may come late by chance: long prompts and
// single engines do in any fleet.
const priorAnswers = 9

func (l *serviceLateness) at(now time.Time) time.Duration {
	kept := math.Exp2(-now.Sub(l.updatedAt).Seconds() / latenessHalfLife.Seconds())
	return time.Duration(kept * float64(l.sum) / (kept*l.count + priorAnswers))
}

// observe takes in by how much an answer came later than predicted.
func (l *serviceLateness) observe(now time.Time, late time.Duration) {
	kept := math.Exp2(-now.Sub(l.updatedAt).Seconds() / latenessHalfLife.Seconds())
	l.sum = time.Duration(kept*float64(l.sum)) + max(late, 0)
	l.count = kept*l.count + 1
	l.updatedAt = now
}

// observe takes in by how much an answer came later than predicted.
func (l *lateness) observe(now time.Time, late time.Duration) {
	mean := l.at(now)
	l.mean = mean + time.Duration(latenessWeight*float64(max(late, 0)-mean))
	l.updatedAt = now
}
