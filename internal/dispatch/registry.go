package dispatch

import (
	"container/list"
	"sync"

	"github.com/fieldpond/fieldpond/internal/claim"
	"github.com/fieldpond/fieldpond/internal/fault"
)

// claimedRun is one run under an idempotency key. answer and failure are
// written once, before done is closed.
type claimedRun struct {
	digest  claim.Digest
	done    chan struct{}
	answer  Answer
	failure *fault.Fault
}

// runRegistry holds the active claimed runs of this process and a bounded number
// of recent answers. It saves store traffic and joins retries to the active run;
// only the claim in the table decides who may run.
type runRegistry struct {
	mutex      sync.Mutex
	runs       map[claim.Key]*claimedRun
	retained   *list.List
	bytes      int
	maxAnswers int
	maxBytes   int
}

type retainedRun struct {
	key  claim.Key
	run  *claimedRun
	size int
}

func newRunRegistry(maxAnswers, maxBytes int) *runRegistry {
	return &runRegistry{runs: map[claim.Key]*claimedRun{}, retained: list.New(), maxAnswers: maxAnswers, maxBytes: maxBytes}
}

// join returns the run under the key, and whether the caller must execute it.
func (r *runRegistry) join(key claim.Key, digest claim.Digest) (run *claimedRun, first bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if running, found := r.runs[key]; found {
		return running, false
	}
	run = &claimedRun{digest: digest, done: make(chan struct{})}
	r.runs[key] = run
	return run, true
}

// publish sets the outcome and wakes all waiting callers.
func (r *runRegistry) publish(run *claimedRun, answer Answer, failure *fault.Fault) {
	run.answer = answer
	run.failure = failure
	close(run.done)
}

// retain keeps an answered run and forgets a failed one, whose next retry reads
// the table.
func (r *runRegistry) retain(key claim.Key, run *claimedRun) {
	if run.failure != nil {
		r.remove(key, run)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry := retainedRun{key: key, run: run, size: len(run.answer.Body) + len(key.IdempotencyKey)}
	r.retained.PushBack(entry)
	r.bytes += entry.size
	for r.retained.Len() > r.maxAnswers || r.bytes > r.maxBytes {
		oldest := r.retained.Remove(r.retained.Front()).(retainedRun)
		r.bytes -= oldest.size
		delete(r.runs, oldest.key)
	}
}

func (r *runRegistry) remove(key claim.Key, run *claimedRun) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.runs[key] == run {
		delete(r.runs, key)
	}
}
