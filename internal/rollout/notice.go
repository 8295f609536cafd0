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

// notices gathers what is to be told, one notice a version.
type notices struct {
	order []noticeKey
	by    map[noticeKey]*Notification
	// loadTime is how long engines that load mostly take.
	loadTime time.Duration
}

type noticeKey struct {
	model   ident.Model
	version int
}

func (n *notices) of(model ident.Model, version int) *Notification {
	key := noticeKey{model, version}
	if n.by == nil {
		n.by = make(map[noticeKey]*Notification)
	}
	if n.by[key] == nil {
		n.by[key] = &Notification{Model: model, Version: version}
		n.order = append(n.order, key)
	}
	return n.by[key]
}

// loading gathers the engines of orders that are about to leave.
func (n *notices) loading(actions []Action) {
	for _, action := range actions {
		if order := action.Order; order != nil {
			notice := n.of(order.Model, order.Version)
			notice.Loading = append(notice.Loading, order.Target.Instance)
			notice.LoadTime = n.loadTime
		}
	}
}

// emptying gathers the engines that are emptied for some time at most.
func (n *notices) emptying(engines []Emptying, most time.Duration) {
	for _, engine := range engines {
		notice := n.of(engine.Model, engine.Version)
		notice.Quiescing = append(notice.Quiescing, engine.Instance)
		notice.QuiesceTime, notice.LoadTime = most, n.loadTime
	}
}

// announce tells what was gathered.
func (n *notices) announce(to Notifier) {
	for _, key := range n.order {
		to.Notify(*n.by[key])
	}
}
