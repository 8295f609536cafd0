package node

import (
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// applyList applies the instance list as the origin read it at a time.
func (r *replica) applyList(origin ident.Node, listedAt time.Time, list *upstream.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyListLocked(origin, listedAt, list)
}

// applyListLocked is applyList for callers that hold the mutex.
func (r *replica) applyListLocked(origin ident.Node, listedAt time.Time, list *upstream.List) {
	if !listedAt.After(r.listedAt) {
		return
	}
	if list.Digest == r.list.digest {
		logBackends(r.backends.ConfirmList(listedAt))
	} else if !list.Included || !r.applyListContent(listedAt, list) {
		return
	}
	r.listedAt = listedAt
	r.listPosition.revision = list.StoreRevision
	if origin != r.node || list.Base == 0 && list.Included {
		r.listPosition.keys = nil
	}
	r.bumpConfirmation(origin)
}

// applyListContent applies a list that differs from this router's copy, and reports whether it
// fits; the caller holds the mutex.
func (r *replica) applyListContent(listedAt time.Time, list *upstream.List) bool {
	change, fits := r.list.apply(list)
	if !fits {
		return false
	}
	if list.Base == 0 {
		logBackends(r.backends.ApplyList(listedAt, r.list.records))
	} else {
		logBackends(r.backends.ApplyChanges(listedAt, change.records, change.removed))
	}
	r.canaries.applyList(listedAt, r.list.records)
	return true
}

// listAge returns the age of the instance list, or of the process if there is no list.
func (r *replica) listAge(now, startedAt time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listedAt.IsZero() {
		return now.Sub(startedAt)
	}
	return now.Sub(r.listedAt)
}

// maxLoggedBackends bounds the changes of one list that are logged one by one: a starting router
// of a large fleet would spend more time on the log than on the list.
const maxLoggedBackends = 100

func logBackends(changes []backend.Change) {
	if len(changes) > maxLoggedBackends {
		kinds := make(map[backend.ChangeKind]int)
		for _, change := range changes {
			kinds[change.Kind]++
		}
		log.WithFields(log.Fields{
			"appeared": kinds[backend.Appeared], "draining": kinds[backend.DrainBegan], "gone": kinds[backend.Gone], "reloaded": kinds[backend.Reloaded],
		}).Info("backends_changed")
		return
	}
	for _, change := range changes {
		log.WithFields(log.Fields{
			"instance": change.Record.Instance, "service": change.Record.Service, "address": change.Record.Address,
			"change": change.Kind, "revision": change.Record.Revision, "models": change.Record.Models,
		}).Info("backend_changed")
	}
}
