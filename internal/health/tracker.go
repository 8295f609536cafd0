// Package health finds out which engines answer and at which requests wait, on behalf
// of routers that send each of them too little to notice by themselves.
//
// Tracker is a state machine without I/O or clock: its inputs are the engines to
// watch, what came of the checks, and a time.
package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Config sets a Tracker. Zero fields take the defaults.
type Config struct {
	// Interval is the time between two checks of an engine that answers. Default:
	// 400ms, in which a router of a large fleet sends an engine no request; reports
	// are some hundred ms old in any case.
	Interval time.Duration
	// Retry is the time between two checks of an engine that did not answer the
	// last one. Default: 100ms.
	Retry time.Duration
}

const (
	defaultInterval = 400 * time.Millisecond
	defaultRetry    = 100 * time.Millisecond
	// silentMisses is the number of checks in a row without an answer after which an
	// engine counts as silent: one may be a lost packet.
	silentMisses = 2
	// overdue is how long a check may be under way before it is a sign of silence.
	overdue = 100 * time.Millisecond
	// doubtfulShare is the part of the engines, as a divisor, of which more may not show
	// signs of silence: that rather says that this router is cut off or was frozen.
	doubtfulShare = 2
)

// engine is one engine that is watched.
type engine struct {
	record  backend.Record
	misses  int
	asking  bool
	askedAt time.Time
	checkAt time.Time
	// waiting is the number of requests that waited there at the last check, told
	// the number in the last notice.
	waiting, told int
}

// Tracker decides which engines are to be checked and which count as silent. It is
// not safe for concurrent use.
type Tracker struct {
	cfg     Config
	engines map[ident.Incarnation]*engine
}

// NewTracker returns a tracker that watches no engine.
func NewTracker(cfg Config) *Tracker {
	cfg.Interval = cmp.Or(cfg.Interval, defaultInterval)
	cfg.Retry = cmp.Or(cfg.Retry, defaultRetry)
	return &Tracker{cfg: cfg, engines: make(map[ident.Incarnation]*engine)}
}

// Watch replaces the engines to be watched. New ones are checked within an interval,
// spread over it by their place in the list.
func (t *Tracker) Watch(now time.Time, records []backend.Record) {
	engines := make(map[ident.Incarnation]*engine, len(records))
	for index, record := range records {
		known := t.engines[record.Instance]
		if known == nil {
			spread := t.cfg.Interval * time.Duration(index) / time.Duration(len(records))
			known = &engine{checkAt: now.Add(spread)}
		}
		known.record = record
		engines[record.Instance] = known
	}
	t.engines = engines
}

// Due returns the engines to check now. Each check ends with Answered,
// Missed or Postponed.
func (t *Tracker) Due(now time.Time) []backend.Record {
	var due []backend.Record
	for _, known := range t.engines {
		if known.asking || now.Before(known.checkAt) {
			continue
		}
		known.asking, known.askedAt = true, now
		due = append(due, known.record)
	}
	return due
}

// ObserveAnswer takes in that an engine answered a check, and how many requests wait there.
func (t *Tracker) ObserveAnswer(now time.Time, instance ident.Incarnation, waiting int) {
	known := t.engines[instance]
	if known == nil {
		return
	}
	known.asking, known.misses, known.waiting = false, 0, waiting
	known.checkAt = now.Add(t.cfg.Interval)
}

// Postpone takes in that an engine which wants nothing now was not checked. That says neither
// that it is silent nor that it is not.
func (t *Tracker) Postpone(now time.Time, instance ident.Incarnation) {
	known := t.engines[instance]
	if known == nil {
		return
	}
	known.asking = false
	known.checkAt = now.Add(t.cfg.Interval)
}

// ObserveMiss takes in that an engine did not answer a check.
func (t *Tracker) ObserveMiss(now time.Time, instance ident.Incarnation) {
	known := t.engines[instance]
	if known == nil {
		return
	}
	known.asking, known.waiting = false, 0
	known.misses++
	known.checkAt = now.Add(t.cfg.Retry)
	if known.misses > silentMisses {
		known.checkAt = now.Add(t.cfg.Interval)
	}
}

// QueueUpdates returns the engines at which requests wait, and those at which none does any
// more since the last call, by instance.
func (t *Tracker) QueueUpdates() []Queue {
	var queues []Queue
	for instance, known := range t.engines {
		if known.waiting == 0 && known.told == 0 {
			continue
		}
		known.told = known.waiting
		queues = append(queues, Queue{Instance: instance, Waiting: known.waiting})
	}
	slices.SortFunc(queues, func(a, b Queue) int { return cmp.Compare(a.Instance, b.Instance) })
	return queues
}

// Silent returns the engines that count as silent, by instance. It returns none if so
// many show signs of silence that this router itself is in doubt.
func (t *Tracker) Silent(now time.Time) []ident.Incarnation {
	var silent []ident.Incarnation
	signs := 0
	for instance, known := range t.engines {
		if known.misses > 0 || (known.asking && now.Sub(known.askedAt) >= overdue) {
			signs++
		}
		if known.misses >= silentMisses {
			silent = append(silent, instance)
		}
	}
	if signs*doubtfulShare > len(t.engines) {
		return nil
	}
	slices.Sort(silent)
	return silent
}

// Queue is the number of requests that wait at an engine. It is an array of two on
// the wire.
type Queue struct {
	_        struct{} `cbor:",toarray"`
	Instance ident.Incarnation
	Waiting  int
}

// Notification tells other routers what becomes of engines. It makes engines dearer for a short
// time, and keeps work from those that are gone.
type Notification struct {
	// Silent engines do not answer, Answering ones do again.
	Silent    []ident.Incarnation `cbor:"1,keyasint,omitempty"`
	Answering []ident.Incarnation `cbor:"2,keyasint,omitempty"`
	Queues    []Queue             `cbor:"3,keyasint,omitempty"`
	// Gone back ends have ended: another one answers at their address.
	Gone []ident.Incarnation `cbor:"4,keyasint,omitempty"`
}

// NewNotification returns the notice of what changed from one set of silent engines to
// another: those that are silent are told again each time, others once.
func NewNotification(before, silent []ident.Incarnation) Notification {
	notice := Notification{Silent: silent}
	for _, instance := range before {
		if !slices.Contains(silent, instance) {
			notice.Answering = append(notice.Answering, instance)
		}
	}
	return notice
}
