package node

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// routerPrefix starts the keys of the routers' rows, followed by zone and name. Each
// router writes its own row at its start and removes it at the end of a planned stop.
const routerPrefix = "router/"

const (
	// maxRouters bounds the number of router rows that are read.
	maxRouters = 4000
	// smallFleet is the number of routers up to which each router reads the rows of all.
	smallFleet = 128
)

// routerRow is the value of a router's row.
type routerRow struct {
	// Addr is where the router accepts pulls.
	Addr netip.AddrPort `cbor:"1,keyasint"`
	// Incarnation identifies one process lifetime of the router.
	Incarnation string `cbor:"2,keyasint"`
	// FirstEra is one more than Epochs.First, 0 if that was unknown.
	FirstEra uint64 `cbor:"3,keyasint,omitempty"`
	// SlowLink is whether the router's link is too slow to supply many others.
	SlowLink bool `cbor:"4,keyasint,omitempty"`
}

// routerList writes this router's row and reads those of all routers.
type routerList struct {
	table       store.Table
	timeout     time.Duration
	node        ident.Node
	zone        ident.Zone
	addr        netip.AddrPort
	incarnation string
	slowLink    bool
	epochs      optionalEpochs
	// zones are all zones, if they are known.
	zones []ident.Zone
	// down reports whether a peer is known to be down; it may be nil.
	down func(ident.Node) bool
	// refused is whether the store refused the last write of the row but not the read before it:
	// too many routers write rows, as when a large fleet starts at once. It is used by one
	// goroutine.
	refused bool

	mu  sync.Mutex
	row protocol.Row
}

func (r *routerList) key() string { return routerPrefix + string(r.zone) + "/" + string(r.node) }

// fleetView is what a router reads of its peers when it joins.
type fleetView struct {
	// self is this router's row, or a leaf.
	self upstream.Peer
	// peers are all routers with readable rows, in a large fleet only those of the backbone.
	peers []upstream.Peer
	// routers is the number of rows, as requested at countedAt; 0 in a large fleet.
	routers   int
	countedAt time.Time
	// large is whether this router's zone is large.
	large bool
	// provisional is whether the rows of other routers were still being written, so that the
	// backbone is not known yet.
	provisional bool
}

// join writes this router's row and reads those of its peers after that. A leaf writes none.
func (r *routerList) join(ctx context.Context) (fleetView, error) {
	_, known := r.epochs.First()
	reads := r.refused || (!known && r.epochs.enabled())
	if reads {
		// The rows of earlier routers have the first epoch, and tell whether this is a leaf.
		leaf, isLeaf, err := r.readBeforeJoin(ctx)
		if err != nil || isLeaf {
			r.refused = false
			return leaf, err
		}
	}
	row, err := r.write(ctx)
	r.refused = reads && fault.Is(err, fault.RateLimited)
	if err != nil {
		return fleetView{}, err
	}
	return r.recordRow(ctx, row)
}

// readBeforeJoin reads rows of earlier routers, and returns the view of this router if it is a
// leaf. A refusal of its row alone shows that the fleet is large.
func (r *routerList) readBeforeJoin(ctx context.Context) (leaf fleetView, isLeaf bool, err error) {
	limit := upstream.LargeZone
	if r.refused {
		limit = upstream.BackboneSize
	}
	zone, err := r.readZone(ctx, r.zone, limit+1)
	if err != nil {
		return fleetView{}, false, err
	}
	if len(zone) == 0 {
		_, _, _, err = r.list(ctx, routerPrefix, smallFleet, false)
		return fleetView{}, false, err
	}
	backbone := upstream.Backbone(zone, r.isDown)
	if len(zone) <= limit || r.isIn(backbone) {
		return fleetView{}, false, nil
	}
	leaf = r.leafView(backbone)
	leaf.provisional = r.refused
	return leaf, true, nil
}

// leafView returns the view of this router as a leaf.
func (r *routerList) leafView(backbone []upstream.Peer) fleetView {
	return fleetView{self: upstream.Leaf(r.peer(0), r.incarnation), peers: backbone, large: true}
}

// isIn reports whether this router is one of some routers.
func (r *routerList) isIn(routers []upstream.Peer) bool {
	return slices.ContainsFunc(routers, func(peer upstream.Peer) bool { return peer.Node == r.node })
}

// rejoin is join for a router whose row a restore may have lost. It writes the row only if it is
// lost, so that the order of the routers stays.
func (r *routerList) rejoin(ctx context.Context) (fleetView, error) {
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	row, _, err := r.table.Read(bounded, r.key())
	if err == nil && !r.owns(row) {
		row, err = r.write(ctx)
	}
	if err != nil {
		return fleetView{}, err
	}
	return r.recordRow(ctx, row)
}

// writeLeaf writes the row of a leaf, which only serves to count it.
func (r *routerList) writeLeaf(ctx context.Context) error {
	row, err := r.write(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.row = row
	return nil
}

// current reports whether this router's row was written and seen in an epoch or later.
func (r *routerList) current(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.row.Version != 0 && store.Epoch(r.row.Version) >= epoch
}

func (r *routerList) write(ctx context.Context) (protocol.Row, error) {
	row := routerRow{Addr: r.addr, Incarnation: r.incarnation, SlowLink: r.slowLink}
	if first, known := r.epochs.First(); known {
		row.FirstEra = first + 1
	}
	value, err := cbor.Marshal(row)
	if err != nil {
		return protocol.Row{}, errors.Wrap(err, "encode the row of this router")
	}
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	written, err := r.table.Commit(bounded, protocol.Transaction{Writes: []protocol.Write{{Key: r.key(), Value: value}}})
	if err != nil {
		return protocol.Row{}, err
	}
	return written.Rows[0], nil
}

// recordRow stores this router's row and reads those of its peers.
func (r *routerList) recordRow(ctx context.Context, row protocol.Row) (fleetView, error) {
	r.mu.Lock()
	r.row = row
	r.mu.Unlock()
	return r.view(ctx, r.peer(row.Version))
}

func (r *routerList) peer(revision uint64) upstream.Peer {
	return upstream.Peer{Node: r.node, Zone: r.zone, Addr: r.addr, Revision: revision}
}

// reread reads the peers of a router in a large fleet again, with its row if it has one.
func (r *routerList) reread(ctx context.Context) (fleetView, error) {
	r.mu.Lock()
	revision := r.row.Version
	r.mu.Unlock()
	zone, err := r.readZone(ctx, r.zone, upstream.LargeZone+1)
	if err != nil {
		return fleetView{}, err
	}
	return r.zoneView(ctx, r.peer(revision), zone)
}

// view reads the peers of this router, whose row is self.
func (r *routerList) view(ctx context.Context, self upstream.Peer) (fleetView, error) {
	countedAt := clock.Now()
	peers, routers, more, err := r.list(ctx, routerPrefix, smallFleet, false)
	if err != nil || !more {
		return fleetView{self: self, peers: peers, routers: routers, countedAt: countedAt}, err
	}
	zone, err := r.readZone(ctx, r.zone, upstream.LargeZone+1)
	if err != nil {
		return fleetView{}, err
	}
	return r.zoneView(ctx, self, zone)
}

// zoneView reads the peers of this router, whose row is self, given the first routers of its
// zone. If the zone is large it reads only the backbone, and a router that is not of it is a leaf.
func (r *routerList) zoneView(ctx context.Context, self upstream.Peer, zone []upstream.Peer) (fleetView, error) {
	if len(zone) <= upstream.LargeZone {
		countedAt := clock.Now()
		peers, routers, err := r.read(ctx)
		return fleetView{self: self, peers: peers, routers: routers, countedAt: countedAt}, err
	}
	backbone := upstream.Backbone(zone, r.isDown)
	if !r.isIn(backbone) {
		return r.leafView(backbone), nil
	}
	others, err := r.readOtherZones(ctx)
	self.Revision = upstream.Ordered(self.Revision, r.slowLink)
	return fleetView{self: self, peers: append(backbone, others...), large: true}, err
}

func (r *routerList) isDown(node ident.Node) bool { return r.down != nil && r.down(node) }

// readOtherZones returns the backbones of the other zones.
func (r *routerList) readOtherZones(ctx context.Context) ([]upstream.Peer, error) {
	var peers []upstream.Peer
	for _, zone := range r.zones {
		if zone == r.zone {
			continue
		}
		backbone, err := r.readZone(ctx, zone, upstream.BackboneSize)
		if err != nil {
			return nil, err
		}
		peers = append(peers, backbone...)
	}
	return peers, nil
}

// readZone returns the first routers of a zone by name, as a large fleet orders them.
func (r *routerList) readZone(ctx context.Context, zone ident.Zone, limit int) ([]upstream.Peer, error) {
	peers, _, _, err := r.list(ctx, routerPrefix+string(zone)+"/", limit, true)
	return peers, err
}

// read returns the routers of all zones with readable rows, and the number of rows.
func (r *routerList) read(ctx context.Context) (peers []upstream.Peer, routers int, err error) {
	return r.readAll(ctx, false)
}

// readAll is read; ordered means that the revisions are those of upstream.Ordered.
func (r *routerList) readAll(ctx context.Context, ordered bool) (peers []upstream.Peer, routers int, err error) {
	peers, routers, _, err = r.list(ctx, routerPrefix, maxRouters, ordered)
	return peers, routers, err
}

// list returns the routers with readable rows, at most limit, the number of rows, and whether
// there are more. ordered means that their revisions are those of upstream.Ordered.
func (r *routerList) list(ctx context.Context, prefix string, limit int, ordered bool) (peers []upstream.Peer, routers int, more bool, err error) {
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	list, err := r.table.List(bounded, prefix, limit)
	if err != nil {
		return nil, 0, false, err
	}
	for _, row := range list.Rows {
		zone, name, valid := strings.Cut(strings.TrimPrefix(row.Key, routerPrefix), "/")
		var read routerRow
		if !valid || cbor.Unmarshal(row.Value, &read) != nil {
			continue
		}
		if read.FirstEra > 0 {
			r.epochs.ObserveFirst(read.FirstEra - 1)
		}
		peer := upstream.Peer{Node: ident.Node(name), Zone: ident.Zone(zone), Addr: read.Addr, Revision: row.Version}
		if ordered {
			peer.Revision = upstream.Ordered(row.Version, read.SlowLink)
		}
		peers = append(peers, peer)
	}
	return peers, len(list.Rows), list.More, nil
}

const (
	// leaveTimeout bounds the attempts to remove a row, so that an unavailable store does not
	// delay the shutdown for longer than two calls may take.
	leaveTimeout = 2 * time.Second
	// leaveRetryPause follows a failed removal.
	leaveRetryPause = 200 * time.Millisecond
)

// leave removes this router's row, unless a later incarnation has written it. Failed removals are
// retried: otherwise the router would be counted forever, and all bounds that are divided by the number
// of routers would be too small.
func (r *routerList) leave(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		err := r.removeOwn(bounded)
		if err == nil {
			return
		}
		if !wait.For(bounded, leaveRetryPause) {
			log.WithFields(log.Fields{"cause": err.Error()}).Warn("router_row_not_removed")
			return
		}
	}
}

// removeOwn tries once to remove this router's row. If a late write of its own has changed the
// row's revision, it removes the row at the revision that the refusal returned.
func (r *routerList) removeOwn(ctx context.Context) error {
	r.mu.Lock()
	row := r.row
	r.mu.Unlock()
	if row.Version == 0 {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	result, err := r.remove(bounded, row)
	if current := refusedBy(result); err == nil && r.owns(current) {
		_, err = r.remove(bounded, current)
	}
	return err
}

// remove removes a row if it still has this revision.
func (r *routerList) remove(ctx context.Context, row protocol.Row) (protocol.TransactionResult, error) {
	return r.table.Commit(ctx, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []protocol.Write{{Key: row.Key, Delete: true}},
	})
}

// refusedBy returns the row whose revision made a transaction fail, the zero row if none did.
func refusedBy(result protocol.TransactionResult) protocol.Row {
	if result.Committed || len(result.Rows) == 0 {
		return protocol.Row{}
	}
	return result.Rows[0]
}

// owns reports whether a row exists and was written by this incarnation of the router.
func (r *routerList) owns(row protocol.Row) bool {
	var written routerRow
	return row.Version != 0 && cbor.Unmarshal(row.Value, &written) == nil && written.Incarnation == r.incarnation
}
