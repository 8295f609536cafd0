// Package health detects which engines answer and where requests wait, for routers that send
// each engine too few requests to detect it themselves.
//
// Tracker is a state machine without I/O or clock: its inputs are the engines to watch, the
// results of the checks, and a time.
package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Config configures a Tracker. Zero fields take the defaults.
type Config struct {
	// Interval is the least time between two checks of an engine that answers. Default: 400ms.
	Interval time.Duration
	// Retry is the time between two checks of an engine that did not answer the
	// last one. Default: 100ms.
	Retry time.Duration
}

const (
	// minCheckGap is the mean time between two checks of a router, so that their cost does not
	// follow the number of engines: beyond that, each engine is checked less often.
	minCheckGap     = 10 * time.Millisecond
	defaultInterval = 400 * time.Millisecond
	defaultRetry    = 100 * time.Millisecond
	// silentAfterMisses is the number of checks in a row without an answer after which an
	// engine counts as silent: one may be a lost packet.
	silentAfterMisses = 2
	// overdueAfter is how long a check may be in progress before it is a sign of silence.
	overdueAfter = 100 * time.Millisecond
	// maxSuspectDivisor is the share of engines, as a divisor, of which more may not show signs
	// of silence: that rather means that this router is cut off or was frozen.
	maxSuspectDivisor = 2
)

// engine is one watched engine.
type engine struct {
	record         backend.Record
	misses         int
	checking       bool
	checkStartedAt time.Time
	checkAt        time.Time
	// waiting is the number of requests waiting there at the last check, notified the number
	// last returned by QueueUpdates.
	waiting, notified int
}

// Tracker decides which engines to check and which count as silent. It is not safe for
// concurrent use.
type Tracker struct {
	cfg Config
	// interval is the time between two checks of an engine that answers.
	interval time.Duration
	// idleFactor multiplies the interval for engines that run nothing.
	idleFactor int
	engines    map[ident.Incarnation]*engine
}

// NewTracker returns a tracker that watches no engine.
func NewTracker(cfg Config) *Tracker {
	cfg.Interval = cmp.Or(cfg.Interval, defaultInterval)
	cfg.Retry = cmp.Or(cfg.Retry, defaultRetry)
	return &Tracker{cfg: cfg, interval: cfg.Interval, idleFactor: 1, engines: make(map[ident.Incarnation]*engine)}
}

// idleFactorOfShared is the idle factor of engines that several routers check. There are so many
// of them that most run nothing, and a router sends next to nothing to each.
const idleFactorOfShared = 4

// SetShared sets whether several routers check the engines.
func (t *Tracker) SetShared(shared bool) {
	t.idleFactor = 1
	if shared {
		t.idleFactor = idleFactorOfShared
	}
}

// Watch replaces the watched engines. New ones are checked within an interval, spread over it
// by their place in the list.
func (t *Tracker) Watch(now time.Time, records []backend.Record) {
	engines := make(map[ident.Incarnation]*engine, len(records))
	t.interval = max(t.cfg.Interval, minCheckGap*time.Duration(len(records)))
	for index, record := range records {
		known := t.engines[record.Instance]
		if known == nil {
			spread := t.interval * time.Duration(index) / time.Duration(len(records))
			known = &engine{checkAt: now.Add(spread)}
		}
		known.record = record
		engines[record.Instance] = known
	}
	t.engines = engines
}

// Idle reports whether no engine is watched.
func (t *Tracker) Idle() bool { return len(t.engines) == 0 }

// Due returns the engines to check now. Each check ends with ObserveAnswer, ObserveMiss or
// Postpone.
func (t *Tracker) Due(now time.Time) []backend.Record {
	var due []backend.Record
	for _, known := range t.engines {
		if known.checking || now.Before(known.checkAt) {
			continue
		}
		known.checking, known.checkStartedAt = true, now
		due = append(due, known.record)
	}
	return due
}

// ObserveAnswer records that an engine answered a check, and how many requests wait and run there.
func (t *Tracker) ObserveAnswer(now time.Time, instance ident.Incarnation, waiting, running int) {
	known := t.engines[instance]
	if known == nil {
		return
	}
	known.checking, known.misses, known.waiting = false, 0, waiting
	interval := t.interval
	if waiting+running == 0 {
		interval *= time.Duration(t.idleFactor)
	}
	known.checkAt = now.Add(interval)
}

// Postpone records that an engine that is backing off was not checked, which is no evidence
// either way.
func (t *Tracker) Postpone(now time.Time, instance ident.Incarnation) {
	known := t.engines[instance]
	if known == nil {
		return
	}
	known.checking = false
	known.checkAt = now.Add(t.interval)
}

// ObserveMiss records that an engine did not answer a check.
func (t *Tracker) ObserveMiss(now time.Time, instance ident.Incarnation) {
	known := t.engines[instance]
	if known == nil {
		return
	}
	known.checking, known.waiting = false, 0
	known.misses++
	known.checkAt = now.Add(t.cfg.Retry)
	if known.misses > silentAfterMisses {
		known.checkAt = now.Add(t.interval)
	}
}

// QueueUpdates returns the engines at which requests wait, and those at which none has since
// the last call, ordered by instance.
func (t *Tracker) QueueUpdates() []Queue {
	var queues []Queue
	for instance, known := range t.engines {
		if known.waiting == 0 && known.notified == 0 {
			continue
		}
		known.notified = known.waiting
		queues = append(queues, Queue{Instance: instance, Waiting: known.waiting})
	}
	slices.SortFunc(queues, func(a, b Queue) int { return cmp.Compare(a.Instance, b.Instance) })
	return queues
}

// Silent returns the engines that count as silent, ordered by instance. It returns none if so
// many show signs of silence that this router itself may be at fault.
func (t *Tracker) Silent(now time.Time) []ident.Incarnation {
	var silent []ident.Incarnation
	suspects := 0
	for instance, known := range t.engines {
		if known.misses > 0 || (known.checking && now.Sub(known.checkStartedAt) >= overdueAfter) {
			suspects++
		}
		if known.misses >= silentAfterMisses {
			silent = append(silent, instance)
		}
	}
	if suspects*maxSuspectDivisor > len(t.engines) {
		return nil
	}
	slices.Sort(silent)
	return silent
}

// Queue is the number of requests waiting at an engine. It is an array of two on the wire.
type Queue struct {
	_        struct{} `cbor:",toarray"`
	Instance ident.Incarnation
	Waiting  int
}

// Notification reports the state of engines to other routers. Silence and queues make engines
// more costly for a short time; gone ones get no work.
type Notification struct {
	// Silent engines do not answer, Answering ones do again.
	Silent    []ident.Incarnation `cbor:"1,keyasint,omitempty"`
	Answering []ident.Incarnation `cbor:"2,keyasint,omitempty"`
	Queues    []Queue             `cbor:"3,keyasint,omitempty"`
	// Gone back ends have ended: another one answers at their address.
	Gone []ident.Incarnation `cbor:"4,keyasint,omitempty"`
	// Full back ends, which are brittle, have just refused a request for want of room.
	Full []ident.Incarnation `cbor:"5,keyasint,omitempty"`
}

// NewNotification returns the notification of the change from one set of silent engines to
// another: silent ones are sent each time, those that answer again once.
func NewNotification(before, silent []ident.Incarnation) Notification {
	notification := Notification{Silent: silent}
	for _, instance := range before {
		if !slices.Contains(silent, instance) {
			notification.Answering = append(notification.Answering, instance)
		}
	}
	return notification
}
