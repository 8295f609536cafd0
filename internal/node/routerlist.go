package node

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// routerPrefix starts the keys of the routers' rows, followed by zone and name. Each
// router writes its own row at its start and removes it at the end of a planned stop.
const routerPrefix = "router/"

// maxRouters bounds the number of router rows that are read.
const maxRouters = 4000

// routerRow is the value of a router's row.
type routerRow struct {
	// Addr is where the router accepts pulls.
	Addr netip.AddrPort `cbor:"1,keyasint"`
	// Incarnation identifies one process lifetime of the router.
	Incarnation string `cbor:"2,keyasint"`
	// FirstEra is one more than Epochs.First, 0 if that was unknown.
	FirstEra uint64 `cbor:"3,keyasint,omitempty"`
}

// routerList writes this router's row and reads those of all routers.
type routerList struct {
	table       store.Table
	timeout     time.Duration
	node        ident.Node
	zone        ident.Zone
	addr        netip.AddrPort
	incarnation string
	epochs      optionalEpochs

	mu  sync.Mutex
	row protocol.Row
}

func (r *routerList) key() string { return routerPrefix + string(r.zone) + "/" + string(r.node) }

// join writes this router's row and returns it, with the routers and the number of rows
// as read after the write.
func (r *routerList) join(ctx context.Context) (self upstream.Peer, peers []upstream.Peer, routers int, err error) {
	if _, known := r.epochs.First(); !known && r.epochs.enabled() {
		// The rows of earlier routers have the first epoch.
		if _, _, err := r.read(ctx); err != nil {
			return self, nil, 0, err
		}
	}
	row, err := r.write(ctx)
	if err != nil {
		return self, nil, 0, err
	}
	return r.recordRow(ctx, row)
}

// rejoin is join for a router whose row a restore may have lost. It writes the row only if it is
// lost, so that the order of the routers stays.
func (r *routerList) rejoin(ctx context.Context) (self upstream.Peer, peers []upstream.Peer, routers int, err error) {
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	row, _, err := r.table.Read(bounded, r.key())
	if err == nil && !r.owns(row) {
		row, err = r.write(ctx)
	}
	if err != nil {
		return self, nil, 0, err
	}
	return r.recordRow(ctx, row)
}

// current reports whether this router's row was seen in an epoch or later.
func (r *routerList) current(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return store.Epoch(r.row.Version) >= epoch
}

func (r *routerList) write(ctx context.Context) (protocol.Row, error) {
	row := routerRow{Addr: r.addr, Incarnation: r.incarnation}
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

// recordRow stores this router's row and reads those of all routers.
func (r *routerList) recordRow(ctx context.Context, row protocol.Row) (self upstream.Peer, peers []upstream.Peer, routers int, err error) {
	r.mu.Lock()
	r.row = row
	r.mu.Unlock()
	self = upstream.Peer{Node: r.node, Zone: r.zone, Addr: r.addr, Revision: row.Version}
	peers, routers, err = r.read(ctx)
	return self, peers, routers, err
}

// read returns the routers of all zones with readable rows, and the number of rows.
func (r *routerList) read(ctx context.Context) (peers []upstream.Peer, routers int, err error) {
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	list, err := r.table.List(bounded, routerPrefix, maxRouters)
	if err != nil {
		return nil, 0, err
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
		peers = append(peers, upstream.Peer{
			Node: ident.Node(name), Zone: ident.Zone(zone), Addr: read.Addr, Revision: row.Version,
		})
	}
	return peers, len(list.Rows), nil
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
