package scale

import (
	"fmt"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/membership"
)

const (
	// headTimeout and bodyTimeout are those of a real router.
	headTimeout = 2 * time.Second
	bodyTimeout = 15 * time.Second
	// keeperPeriod is the longest that a router leaves its adopter alone.
	keeperPeriod = time.Second
	// tableTime is how long the table takes for one read.
	tableTime = 5 * time.Millisecond
	// tableRequestBytes and tableReplyBytes estimate one read of the head row
	// with a history of 32 applies, headers included.
	tableRequestBytes = 250
	tableReplyBytes   = 4000
)

// tableTruth is the platform's table, as far as the fleet file goes.
type tableTruth struct {
	pair              fleet.Pair
	bodies            map[fleet.Digest][]byte
	polls, bodyReads  int
	committed         time.Time
	committedVersions uint64
}

// commit puts a new fleet file into the table.
func (c *cluster) commit() {
	c.table.committedVersions++
	body := fleetFile(c.table.committedVersions)
	if c.table.bodies == nil {
		c.table.bodies = map[fleet.Digest][]byte{}
	}
	digest := fleet.DigestOf(body)
	c.table.bodies[digest] = body
	c.table.pair = fleet.Pair{Version: fleet.Version(c.table.committedVersions), Digest: digest}
	c.table.committed = c.network.Now()
}

// fleetFile returns a small fleet file. Its size on the wire is that of
// Config.BodyBytes: what a large one costs to read is measured by a benchmark.
func fleetFile(version uint64) []byte {
	return fmt.Appendf(nil, `schema: fieldpond/v1
name: scale run %d
regions: [{name: region, zones: [zone-a]}]
models: [{name: model, version: v1}]
classes: [{name: class}]
services: [{name: service, kind: model, model: model, classes: [class]}]
engines: [{name: engine, address: "10.0.3.17:7101", zone: zone-a, models: [model]}]
tenants: [{name: tenant, keyHashes: [%s], places: [region], services: [service]}]
`, version, strings.Repeat("0a", 32))
}

// headHeard takes in the gossip that another router has a newer file.
func (h *hollow) headHeard(head membership.FleetHead) {
	holder := h.cluster.byName[head.Holder]
	if holder == nil {
		return
	}
	pair := fleet.Pair{Version: fleet.Version(head.Version), Digest: fleet.Digest(head.Digest)}
	if current := h.adopter.Current(); pair.Version >= current.Version && pair != current {
		h.adopter.Heard(h.now(), pair, holder.net.Member.HTTPAddress)
		h.wakeFleetAfter(0)
	}
}

// wakeFleetAfter plans the next look of the adopter; an earlier plan is void.
func (h *hollow) wakeFleetAfter(delay time.Duration) {
	h.wakes++
	wake := h.wakes
	h.cluster.network.After(delay, func() {
		if wake == h.wakes && h.net.Up() {
			h.wakeFleet()
		}
	})
}

func (h *hollow) wakeFleet() {
	var actions []fleet.AdoptAction
	now := h.now()
	h.busy(dutyFleet, func() {
		h.adopter.SetSurroundings(now, fleet.SurroundingsOf(h.net.Machine.View(), h.net.Member.Node, h.net.Member.Zone))
		actions = h.adopter.Tick(now)
	})
	for _, action := range actions {
		h.startFetch(action)
	}
	h.wakeFleetAfter(max(0, min(h.adopter.NextTick(now).Sub(now), keeperPeriod)))
}

// headRequestBytes and headReplyBytes are the encoded question for a head and
// its answer; bodyRequestBytes the question for a body.
const (
	headRequestBytes = 1
	headReplyBytes   = 85
	bodyRequestBytes = 80
)

func (h *hollow) startFetch(action fleet.AdoptAction) {
	switch {
	case action.Kind == fleet.ActionPollTable:
		h.pollTable()
	case action.Kind == fleet.ActionFetchBody && action.Address == "":
		h.readTableBody(action.Pair)
	case action.Kind == fleet.ActionFetchBody:
		h.fetchBody(action)
	case action.Kind == fleet.ActionAskPeer:
		h.askPeer(action.Address)
	}
}

// readTable runs answer after a read of the table, or failed after a timeout.
func (h *hollow) readTable(answer, failed func()) {
	h.traffic[dutyTable].sent(tableRequestBytes)
	if !h.cluster.connected(h.zone, tableZone) {
		h.cluster.network.After(headTimeout, failed)
		return
	}
	h.cluster.network.After(tableTime+2*zoneDelay(h.zone, tableZone), func() {
		h.traffic[dutyTable].received(tableReplyBytes)
		answer()
	})
}

func (h *hollow) pollTable() {
	h.cluster.table.polls++
	h.readTable(func() {
		pair := h.cluster.table.pair
		h.adopter.HeadPolled(h.now(), pair, pair.Version > 0)
		h.wakeFleetAfter(0)
	}, func() {
		h.adopter.PollFailed(h.now(), 0)
		h.wakeFleetAfter(0)
	})
}

func (h *hollow) readTableBody(pair fleet.Pair) {
	h.cluster.table.bodyReads++
	failed := func() {
		h.adopter.FetchFailed(h.now())
		h.wakeFleetAfter(0)
	}
	h.readTable(func() {
		if h.cluster.table.pair != pair {
			failed()
			return
		}
		transfer := h.cluster.wireTime(h.cluster.config.BodyBytes)
		h.traffic[dutyFleet].ReceivedBytes += uint64(h.cluster.config.BodyBytes)
		h.cluster.network.After(transfer, func() { h.bodyReceived(pair) })
	}, failed)
}

func (h *hollow) askPeer(address string) {
	peer := h.cluster.byHTTP[address]
	var pair fleet.Pair
	h.cluster.call(exchange{
		duty: dutyFleet, from: h, to: peer, request: headRequestBytes, timeout: headTimeout,
		serve: func() (int, bool) {
			pair = peer.adopter.Current()
			return headReplyBytes, true
		},
		done: func(ok bool) {
			if ok {
				h.adopter.PeerAnswered(h.now(), address, pair)
			} else {
				h.adopter.PeerFailed(address)
			}
			h.wakeFleetAfter(0)
		},
	})
}

func (h *hollow) fetchBody(action fleet.AdoptAction) {
	peer := h.cluster.byHTTP[action.Address]
	h.cluster.call(exchange{
		duty: dutyFleet, from: h, to: peer, request: bodyRequestBytes, timeout: bodyTimeout,
		serve: func() (int, bool) {
			if peer.adopter.Current() != action.Pair {
				return headReplyBytes, false
			}
			peer.bodiesServed++
			return h.cluster.config.BodyBytes, true
		},
		transfer: func(reply int) time.Duration { return peer.sendBody(reply) },
		done: func(ok bool) {
			if ok {
				h.bodyReceived(action.Pair)
				return
			}
			h.adopter.FetchFailed(h.now())
			h.wakeFleetAfter(0)
		},
	})
}

func (c *cluster) wireTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(c.config.UplinkBytes) * float64(time.Second))
}

// sendBody puts a body behind those that this router already sends and returns
// when it will have been sent.
func (h *hollow) sendBody(bytes int) time.Duration {
	if h.uplinkFree.Before(h.now()) {
		h.uplinkFree = h.now()
	}
	h.uplinkFree = h.uplinkFree.Add(h.cluster.wireTime(bytes))
	return h.uplinkFree.Sub(h.now())
}

// bodyReceived puts a body in force after the time that a large one takes.
func (h *hollow) bodyReceived(pair fleet.Pair) {
	h.cluster.network.After(h.cluster.config.AdoptTime, func() {
		var actions []fleet.AdoptAction
		h.busy(dutyFleet, func() { actions = h.adopter.BodyReceived(h.now(), h.cluster.table.bodies[pair.Digest]) })
		for range actions {
			h.inForceAt = h.now()
			h.cluster.network.Do(h.net, func(machine *membership.Machine, now time.Time) {
				machine.SetFleetVersion(now, uint64(pair.Version), string(pair.Digest))
			})
		}
		h.wakeFleetAfter(0)
	})
}
