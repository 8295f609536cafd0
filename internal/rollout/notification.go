package rollout

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Notification reports to routers which engines change, before the instance list shows it. A lost
// one costs no more than a request that an engine refuses.
type Notification struct {
	Model   ident.Model `cbor:"1,keyasint"`
	Version int         `cbor:"2,keyasint"`
	// Loading engines are about to load the version, and refuse requests until they have it.
	Loading []ident.Incarnation `cbor:"3,keyasint,omitempty"`
	// Loaded engines have the version.
	Loaded []ident.Incarnation `cbor:"4,keyasint,omitempty"`
	// Unsettled engines did not confirm their order and are assumed to serve as before.
	Unsettled []ident.Incarnation `cbor:"5,keyasint,omitempty"`
	// LoadTime is the time in which nearly all loads end; 0 if not stated.
	LoadTime time.Duration `cbor:"6,keyasint,omitempty"`
	// Quiescing engines get no new work, since they begin to load within QuiesceTime.
	Quiescing   []ident.Incarnation `cbor:"7,keyasint,omitempty"`
	QuiesceTime time.Duration       `cbor:"8,keyasint,omitempty"`
}

// Notifier sends notifications to all routers, this one included. It must not block.
type Notifier interface {
	Notify(notification Notification)
}

// notificationBatch collects one notification for each version, in order of first use.
type notificationBatch struct {
	keys      []notificationKey
	byVersion map[notificationKey]*Notification
	loadTime  time.Duration
}

type notificationKey struct {
	model   ident.Model
	version int
}

func (n *notificationBatch) forVersion(model ident.Model, version int) *Notification {
	key := notificationKey{model, version}
	if n.byVersion == nil {
		n.byVersion = make(map[notificationKey]*Notification)
	}
	if n.byVersion[key] == nil {
		n.byVersion[key] = &Notification{Model: model, Version: version}
		n.keys = append(n.keys, key)
	}
	return n.byVersion[key]
}

// addLoading adds the engines of orders that are about to be sent.
func (n *notificationBatch) addLoading(actions []Action) {
	for _, action := range actions {
		if order := action.Order; order != nil {
			notification := n.forVersion(order.Model, order.Version)
			notification.Loading = append(notification.Loading, order.Target.Instance)
			notification.LoadTime = n.loadTime
		}
	}
}

// addQuiescing adds engines that quiesce for at most the time longest.
func (n *notificationBatch) addQuiescing(engines []QuiescingEngine, longest time.Duration) {
	for _, engine := range engines {
		notification := n.forVersion(engine.Model, engine.Version)
		notification.Quiescing = append(notification.Quiescing, engine.Instance)
		notification.QuiesceTime, notification.LoadTime = longest, n.loadTime
	}
}

func (n *notificationBatch) send(notifier Notifier) {
	for _, key := range n.keys {
		notifier.Notify(*n.byVersion[key])
	}
}
