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
	// RowPrefix is the begin of the keys of the rows of requests that are held or will be
	// by the next crash, one row each. They outlive all routers.
	RowPrefix = "quarantine/"
	// maxRows bounds the rows read.
	maxRows = 2000
	// trialPause is the least time between two questions of this router for a trial of one
	// request, whatever came of the last one.
	trialPause = 2 * time.Second
	// trialTimeout bounds such a question, for which a request waits.
	trialTimeout = 300 * time.Millisecond
)

// trialResult is what came of a question for a trial.
type trialResult string

const (
	trialGranted trialResult = "granted"
	trialDenied  trialResult = "denied"
	trialFailed  trialResult = "failed"
)

// rowValue is the value of a row.
type rowValue struct {
	// StoreTime is the store's own time as of which the ages in Told count.
	StoreTime time.Duration       `cbor:"1,keyasint"`
	Told      quarantine.Evidence `cbor:"2,keyasint"`
}

// rows keeps the evidence against requests in the store, and grants trials by conditional
// writes, so that all routers together try each as often as it may be. It is safe for
// concurrent use.
type rows struct {
	table   store.Table
	timeout time.Duration
	ledger  *quarantine.Ledger

	mu sync.Mutex
	// read is true once the rows were read. kept holds those that are there, and for how many
	// crashes each has the evidence; listedAt is when all of them were asked for last.
	read     bool
	kept     map[quarantine.Fingerprint]int
	listedAt time.Time
	// epoch is that of the store at the last list.
	epoch uint64
	// triedAt is when this router last asked for a trial.
	triedAt map[quarantine.Fingerprint]time.Time
}

func newRows(table store.Table, timeout time.Duration, ledger *quarantine.Ledger) *rows {
	return &rows{
		table: table, timeout: timeout, ledger: ledger,
		kept: make(map[quarantine.Fingerprint]int), triedAt: make(map[quarantine.Fingerprint]time.Time), listedAt: clock.Now(),
	}
}

// loaded reports whether the rows were read.
func (r *rows) loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// outdated returns the requests whose rows lack what they should have, and those that need none
// any more and have one, as far as this router knows. Who learnt of either first may have ended
// before it brought the row up to date.
func (r *rows) outdated() []quarantine.Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var outdated []quarantine.Fingerprint
	for _, request := range r.ledger.AllToKeep() {
		if r.kept[request] < r.ledger.ToKeep(request) {
			outdated = append(outdated, request)
		}
	}
	for request := range r.kept {
		if r.ledger.ToKeep(request) == 0 {
			outdated = append(outdated, request)
		}
	}
	return outdated
}

// list reads all rows and takes them in. It returns the requests whose rows were removed though
// there is evidence, and those that are held from now on.
func (r *rows) list(ctx context.Context) (gone, held []quarantine.Fingerprint, err error) {
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
		kept, err := readRow(&row)
		if err != nil {
			log.WithFields(log.Fields{"row": row.Key, "cause": err.Error()}).Warn("quarantine_row_unreadable")
			continue
		}
		found[kept.Told.Request] = kept.Told.Kept()
		held = append(held, r.takeRow(now, row.StoreTime, kept)...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// What a store lacks that came back from an older copy was removed by nobody: it is
	// written again.
	cameBack := r.read && list.Epoch > r.epoch
	r.epoch = max(r.epoch, list.Epoch)
	for request := range before {
		if _, there := found[request]; there || list.More {
			continue
		}
		delete(r.kept, request)
		// What needs no row was removed by a router.
		if r.ledger.ToKeep(request) > 0 && !cameBack {
			gone = append(gone, request)
		}
	}
	r.read = true
	maps.Copy(r.kept, found)
	return gone, held, nil
}

// beginList notes that the rows are asked for, and returns those that this router knows. What a
// list lacks is gone only if it was known before: a row that is written while the list is on its
// way is newer.
func (r *rows) beginList() map[quarantine.Fingerprint]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedAt = clock.Now()
	return maps.Clone(r.kept)
}

// relistDue reports whether the rows are to be read again: often while an operator may want to
// end a quarantine, else as often as evidence that did not suffice is forgotten.
func (r *rows) relistDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := quietRelistInterval
	if held, _ := r.ledger.Counts(); held > 0 {
		interval = relistInterval
	}
	return now.Sub(r.listedAt) >= interval
}

// takeRow takes in a row as of now, the store's time being as told; a list tells none.
func (r *rows) takeRow(now time.Time, storeTime time.Duration, kept *rowValue) []quarantine.Fingerprint {
	at := now
	if storeTime > kept.StoreTime {
		at = now.Add(kept.StoreTime - storeTime)
	}
	held, _ := r.ledger.Take(at, []quarantine.Evidence{kept.Told})
	return held
}

func readRow(row *protocol.Row) (*rowValue, error) {
	var kept rowValue
	if err := cbor.Unmarshal(row.Value, &kept); err != nil {
		return nil, errors.Wrap(err, "read the row")
	}
	if rowKey(kept.Told.Request) != row.Key {
		return nil, errors.Errorf("the row tells of the request %s", kept.Told.Request)
	}
	return &kept, nil
}

func rowKey(request quarantine.Fingerprint) string {
	var key strings.Builder
	key.WriteString(RowPrefix)
	key.WriteString(request.String())
	return key.String()
}

// lacks reports whether the row of a request lacks evidence, as far as this router knows.
func (r *rows) lacks(request quarantine.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept[request] < r.ledger.ToKeep(request)
}

// updateTries bounds the tries to write one row: routers that saw one crash write the same rows at
// the same moment, and what another one wrote may have less evidence.
const updateTries = 4

// update brings the row of a request up to date: it has the evidence while that is to be kept.
func (r *rows) update(ctx context.Context, request quarantine.Fingerprint) error {
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	err := errRowChanged
	for try := 0; try < updateTries && errors.Is(err, errRowChanged); try++ {
		err = r.updateOnce(bounded, request)
	}
	return err
}

// updateOnce tries that once.
func (r *rows) updateOnce(ctx context.Context, request quarantine.Fingerprint) error {
	row, found, err := r.table.Read(ctx, rowKey(request))
	if err != nil {
		return err
	}
	has := 0
	if found {
		has = evidenceOf(&row)
	}
	now := clock.Now()
	told, _ := r.ledger.Tell(now, request)
	wanted := r.ledger.ToKeep(request)
	if found == (wanted > 0) && has >= wanted {
		r.know(request, has)
		return nil
	}
	write := protocol.Write{Key: rowKey(request), Delete: true}
	if wanted > 0 {
		if write, err = writeOf(row.StoreTime, told); err != nil {
			return err
		}
	}
	return r.commit(ctx, &row, write, request, wanted)
}

// evidenceOf returns for how many crashes a row has the evidence, 0 if it cannot be read.
func evidenceOf(row *protocol.Row) int {
	kept, err := readRow(row)
	if err != nil {
		return 0
	}
	return kept.Told.Kept()
}

func writeOf(storeTime time.Duration, told quarantine.Evidence) (protocol.Write, error) {
	value, err := cbor.Marshal(rowValue{StoreTime: storeTime, Told: told})
	return protocol.Write{Key: rowKey(told.Request), Value: value}, err
}

// errRowChanged says that another router wrote the row meanwhile.
var errRowChanged = errors.New("another router wrote the row meanwhile")

// commit writes a row on condition that it is as it was read.
func (r *rows) commit(ctx context.Context, read *protocol.Row, write protocol.Write, request quarantine.Fingerprint, evidence int) error {
	result, err := r.table.Commit(ctx, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: write.Key, Version: read.Version}}, Writes: []protocol.Write{write},
	})
	if err != nil {
		return err
	}
	if !result.Committed {
		return errRowChanged
	}
	r.know(request, evidence)
	return nil
}

// know takes in for how many crashes a row has the evidence, 0 if it is not there.
func (r *rows) know(request quarantine.Fingerprint, evidence int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if evidence > 0 {
		r.kept[request] = evidence
		return
	}
	delete(r.kept, request)
}

// claimTrial asks for the grant of a trial, and returns the number of those granted so far.
// One whose write has no answer counts as granted to nobody.
func (r *rows) claimTrial(ctx context.Context, request quarantine.Fingerprint) (trialResult, int) {
	if !r.mayClaim(clock.Now(), request) {
		return trialDenied, 0
	}
	bounded, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	row, found, err := r.table.Read(bounded, rowKey(request))
	if err != nil {
		return trialFailed, 0
	}
	// A verdict that is not kept yet cannot bound the trials of all.
	if !found {
		return trialDenied, 0
	}
	kept, err := readRow(&row)
	if err != nil {
		return trialFailed, 0
	}
	r.takeRow(clock.Now(), row.StoreTime, kept)
	since := row.StoreTime - kept.StoreTime + kept.Told.TrialAge
	if !quarantine.GrantTrial(kept.Told.Trials, since) {
		return trialDenied, kept.Told.Trials
	}
	return r.grantTrial(bounded, &row, request, kept.Told.Trials+1)
}

// mayClaim reports whether this router may ask for a trial now.
func (r *rows) mayClaim(now time.Time, request quarantine.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.triedAt[request]) < trialPause {
		return false
	}
	if len(r.triedAt) > maxRows {
		clear(r.triedAt)
	}
	r.triedAt[request] = now
	return true
}

// grantTrial writes that one more trial is granted.
func (r *rows) grantTrial(ctx context.Context, row *protocol.Row, request quarantine.Fingerprint, trials int) (trialResult, int) {
	now := clock.Now()
	r.ledger.Tried(request, trials, now)
	told, known := r.ledger.Tell(now, request)
	if !known {
		return trialDenied, 0
	}
	told.Trials, told.TrialAge = trials, 0
	write, err := writeOf(row.StoreTime, told)
	if err != nil {
		return trialFailed, trials
	}
	if err := r.commit(ctx, row, write, request, told.Kept()); err != nil {
		return trialFailed, trials
	}
	return trialGranted, trials
}
