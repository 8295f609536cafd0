package guard

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

const (
	// RowPrefix is the prefix of the keys of rows, one for each request that is quarantined or
	// would be by the next crash.
	RowPrefix = "quarantine/"
	// maxRows bounds the rows read.
	maxRows = 2000
	// trialInterval is the least time between two requests of this router for a trial of one
	// request.
	trialInterval = 2 * time.Second
	// trialTimeout bounds such a request, since a client is waiting.
	trialTimeout = 300 * time.Millisecond
)

// trialResult is the result of a request for a trial.
type trialResult string

const (
	trialGranted trialResult = "granted"
	trialDenied  trialResult = "denied"
	trialFailed  trialResult = "failed"
)

// rowValue is the value of a row.
type rowValue struct {
	// StoreTime is the store's own time from which the ages in Evidence count.
	StoreTime time.Duration       `cbor:"1,keyasint"`
	Evidence  quarantine.Evidence `cbor:"2,keyasint"`
}

// rows stores the evidence against requests, and grants trials by conditional writes, so that
// their number is bounded over all routers. It is safe for concurrent use.
type rows struct {
	table   store.Table
	timeout time.Duration
	ledger  *quarantine.Ledger

	mu sync.Mutex
	// read is true once the rows were read. stored has their numbers of crashes; listedAt is
	// the time of the last list.
	read     bool
	stored   map[quarantine.Fingerprint]int
	listedAt time.Time
	// epoch is that of the store at the last list.
	epoch uint64
	// trialRequestedAt is when this router last requested a trial.
	trialRequestedAt map[quarantine.Fingerprint]time.Time
}

func newRows(table store.Table, timeout time.Duration, ledger *quarantine.Ledger) *rows {
	return &rows{
		table: table, timeout: timeout, ledger: ledger,
		stored: make(map[quarantine.Fingerprint]int), trialRequestedAt: make(map[quarantine.Fingerprint]time.Time), listedAt: clock.Now(),
	}
}

func (r *rows) loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// outdated returns the requests whose rows lack evidence, and those whose rows are no longer
// needed. The router that observed it may have ended before it updated the row.
func (r *rows) outdated() []quarantine.Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var outdated []quarantine.Fingerprint
	for _, request := range r.ledger.AllToStore() {
		if r.stored[request] < r.ledger.ToStore(request) {
			outdated = append(outdated, request)
		}
	}
	for request := range r.stored {
		if r.ledger.ToStore(request) == 0 {
			outdated = append(outdated, request)
		}
	}
	return outdated
}

// list reads and applies all rows. It returns the requests whose rows were removed though there
// is evidence, and those that are quarantined from now on.
func (r *rows) list(ctx context.Context) (removed, quarantined []quarantine.Fingerprint, err error) {
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	before := r.beginList()
	list, err := r.table.List(bounded, RowPrefix, maxRows)
	if err != nil {
		return nil, nil, err
	}
	now := clock.Now()
	found := make(map[quarantine.Fingerprint]int, len(list.Rows))
	for _, row := range list.Rows {
		value, err := decodeRow(&row)
		if err != nil {
			log.WithFields(log.Fields{"row": row.Key, "cause": err.Error()}).Warn("quarantine_row_unreadable")
			continue
		}
		found[value.Evidence.Request] = value.Evidence.ToStore()
		quarantined = append(quarantined, r.applyRow(now, row.StoreTime, value)...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// Rows that a restored store lacks were not removed by an operator and are written again.
	restored := r.read && list.Epoch > r.epoch
	r.epoch = max(r.epoch, list.Epoch)
	for request := range before {
		if _, listed := found[request]; listed || list.More {
			continue
		}
		delete(r.stored, request)
		// A row that was not needed was removed by a router.
		if r.ledger.ToStore(request) > 0 && !restored {
			removed = append(removed, request)
		}
	}
	r.read = true
	maps.Copy(r.stored, found)
	return removed, quarantined, nil
}

// beginList records the start of a list and returns the rows stored before. Only those can be
// missing in it: a row written during the list is newer.
func (r *rows) beginList() map[quarantine.Fingerprint]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedAt = clock.Now()
	return maps.Clone(r.stored)
}

// relistDue reports whether the rows are to be read again: often while an operator may end a
// quarantine, otherwise as often as insufficient evidence expires.
func (r *rows) relistDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := quietRelistInterval
	if r.ledger.Counts().Quarantined() {
		interval = relistInterval
	}
	return now.Sub(r.listedAt) >= interval
}

// applyRow merges a row as of now. The storeTime of a list is zero.
func (r *rows) applyRow(now time.Time, storeTime time.Duration, value *rowValue) []quarantine.Fingerprint {
	at := now
	if storeTime > value.StoreTime {
		at = now.Add(value.StoreTime - storeTime)
	}
	quarantined, _ := r.ledger.Merge(at, []quarantine.Evidence{value.Evidence})
	return quarantined
}

func decodeRow(row *protocol.Row) (*rowValue, error) {
	var value rowValue
	if err := cbor.Unmarshal(row.Value, &value); err != nil {
		return nil, errors.Wrap(err, "read the row")
	}
	if rowKey(value.Evidence.Request) != row.Key {
		return nil, errors.Errorf("the row is that of request %s", value.Evidence.Request)
	}
	return &value, nil
}

func rowKey(request quarantine.Fingerprint) string {
	var key strings.Builder
	key.WriteString(RowPrefix)
	key.WriteString(request.String())
	return key.String()
}

// lacksEvidence reports whether the row of a request lacks evidence, as far as this router has
// seen.
func (r *rows) lacksEvidence(request quarantine.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored[request] < r.ledger.ToStore(request)
}

// updateAttempts bounds the attempts to write one row: routers that observed the same crash
// write the same rows concurrently.
const updateAttempts = 4

// update writes or removes the row of a request as its evidence requires.
func (r *rows) update(ctx context.Context, request quarantine.Fingerprint) error {
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	err := errRowChanged
	for try := 0; try < updateAttempts && errors.Is(err, errRowChanged); try++ {
		err = r.updateOnce(bounded, request)
	}
	return err
}

func (r *rows) updateOnce(ctx context.Context, request quarantine.Fingerprint) error {
	row, found, err := r.table.Read(ctx, rowKey(request))
	if err != nil {
		return err
	}
	stored := 0
	if found {
		stored = storedCrashes(&row)
	}
	now := clock.Now()
	evidence, _ := r.ledger.Evidence(now, request)
	needed := r.ledger.ToStore(request)
	if found == (needed > 0) && stored >= needed {
		r.recordStored(request, stored)
		return nil
	}
	write := protocol.Write{Key: rowKey(request), Delete: true}
	if needed > 0 {
		if write, err = newWrite(row.StoreTime, evidence); err != nil {
			return err
		}
	}
	return r.commit(ctx, &row, write, request, needed)
}

// storedCrashes returns the number of crashes in a row, 0 if it cannot be decoded.
func storedCrashes(row *protocol.Row) int {
	value, err := decodeRow(row)
	if err != nil {
		return 0
	}
	return value.Evidence.ToStore()
}

func newWrite(storeTime time.Duration, evidence quarantine.Evidence) (protocol.Write, error) {
	value, err := cbor.Marshal(rowValue{StoreTime: storeTime, Evidence: evidence})
	return protocol.Write{Key: rowKey(evidence.Request), Value: value}, err
}

// errRowChanged is returned when another router wrote the row first.
var errRowChanged = errors.New("another router changed the row")

// commit writes a row on condition that it did not change since it was read.
func (r *rows) commit(ctx context.Context, read *protocol.Row, write protocol.Write, request quarantine.Fingerprint, crashes int) error {
	result, err := r.table.Commit(ctx, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: write.Key, Version: read.Version}}, Writes: []protocol.Write{write},
	})
	if err != nil {
		return err
	}
	if !result.Committed {
		return errRowChanged
	}
	r.recordStored(request, crashes)
	return nil
}

// recordStored records the number of crashes in a row, 0 if there is none.
func (r *rows) recordStored(request quarantine.Fingerprint, crashes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if crashes > 0 {
		r.stored[request] = crashes
		return
	}
	delete(r.stored, request)
}

// acquireTrial requests a trial, and returns the number granted so far. One whose write gets no
// answer counts as used.
func (r *rows) acquireTrial(ctx context.Context, request quarantine.Fingerprint) (trialResult, int) {
	if !r.mayRequestTrial(clock.Now(), request) {
		return trialDenied, 0
	}
	bounded, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	row, found, err := r.table.Read(bounded, rowKey(request))
	if err != nil {
		return trialFailed, 0
	}
	// Without a row the trials of all routers are not bounded.
	if !found {
		return trialDenied, 0
	}
	value, err := decodeRow(&row)
	if err != nil {
		return trialFailed, 0
	}
	r.applyRow(clock.Now(), row.StoreTime, value)
	since := row.StoreTime - value.StoreTime + value.Evidence.TrialAge
	if !quarantine.TrialAllowed(value.Evidence.Trials, since) {
		return trialDenied, value.Evidence.Trials
	}
	return r.grantTrial(bounded, &row, request, value.Evidence.Trials+1)
}

// mayRequestTrial reports whether this router may request a trial now, and records it.
func (r *rows) mayRequestTrial(now time.Time, request quarantine.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.trialRequestedAt[request]) < trialInterval {
		return false
	}
	if len(r.trialRequestedAt) > maxRows {
		clear(r.trialRequestedAt)
	}
	r.trialRequestedAt[request] = now
	return true
}

// grantTrial writes that one more trial is granted.
func (r *rows) grantTrial(ctx context.Context, row *protocol.Row, request quarantine.Fingerprint, trials int) (trialResult, int) {
	now := clock.Now()
	r.ledger.RecordTrials(request, trials, now)
	evidence, known := r.ledger.Evidence(now, request)
	if !known {
		return trialDenied, 0
	}
	evidence.Trials, evidence.TrialAge = trials, 0
	write, err := newWrite(row.StoreTime, evidence)
	if err != nil {
		return trialFailed, trials
	}
	if err := r.commit(ctx, row, write, request, evidence.ToStore()); err != nil {
		return trialFailed, trials
	}
	return trialGranted, trials
}
