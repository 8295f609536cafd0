package rollout

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Notification tells other routers what becomes of engines, ahead of the list of back
// ends. It decides nothing: a notice that is lost costs a refusal.
type Notification struct {
	Model   ident.Model `cbor:"1,keyasint"`
	Version int         `cbor:"2,keyasint"`
	// Loading are about to take the version, and refuse work until they have it.
	Loading []ident.Incarnation `cbor:"3,keyasint,omitempty"`
	// Loaded have it.
	Loaded []ident.Incarnation `cbor:"4,keyasint,omitempty"`
	// Unsettled did not say that they take it: they go on as before, as far as is
	// known.
	Unsettled []ident.Incarnation `cbor:"5,keyasint,omitempty"`
	// LoadTime is how long a load mostly takes; 0 means that it is not told.
	LoadTime time.Duration `cbor:"6,keyasint,omitempty"`
	// Quiescing engines get no new work, since they begin to load in QuiesceTime or
	// before.
	Quiescing   []ident.Incarnation `cbor:"7,keyasint,omitempty"`
	QuiesceTime time.Duration       `cbor:"8,keyasint,omitempty"`
}

// Notifier tells notices to all routers, this one included. It must not block.
type Notifier interface {
	Notify(notice Notification)
}

// notificationBatch gathers what is to be told, one notice a version.
type notificationBatch struct {
	keys      []notificationKey
	byVersion map[notificationKey]*Notification
	// loadTime is how long engines that load mostly take.
	loadTime time.Duration
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

// addLoading gathers the engines of orders that are about to leave.
func (n *notificationBatch) addLoading(actions []Action) {
	for _, action := range actions {
		if order := action.Order; order != nil {
			notification := n.forVersion(order.Model, order.Version)
			notification.Loading = append(notification.Loading, order.Target.Instance)
			notification.LoadTime = n.loadTime
		}
	}
}

// addQuiescing gathers the engines that are emptied for some time at most.
func (n *notificationBatch) addQuiescing(engines []QuiescingEngine, longest time.Duration) {
	for _, engine := range engines {
		notification := n.forVersion(engine.Model, engine.Version)
		notification.Quiescing = append(notification.Quiescing, engine.Instance)
		notification.QuiesceTime, notification.LoadTime = longest, n.loadTime
	}
}

// announce tells what was gathered.
func (n *notificationBatch) send(notifier Notifier) {
	for _, key := range n.keys {
		notifier.Notify(*n.byVersion[key])
	}
}
