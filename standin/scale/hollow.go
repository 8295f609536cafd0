package scale

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/membership/simnet"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
)

// duty is one part of a router's work.
type duty int

// The duties, in the order in which they are reported.
const (
	dutyGossip duty = iota
	dutyDirectory
	dutyRequests
	dutyLoad
	dutyEvents
	dutyFleet
	dutyTable
	dutyCount
)

// dutyNames are the duties as a report names them.
var dutyNames = [dutyCount]string{
	"gossip", "directory", "requests", "load reports", "cache events", "fleet file", "table",
}

// Traffic is what one duty of one router has cost.
type Traffic struct {
	// Busy is real time spent in the machines and codecs.
	Busy time.Duration
	// SentBytes and ReceivedBytes include the headers of every layer.
	SentBytes, ReceivedBytes uint64
	// SentMessages and ReceivedMessages count datagrams, requests and replies.
	SentMessages, ReceivedMessages uint64
	// Payload is the part of both that is no header, in bytes.
	Payload uint64
}

func (t *Traffic) sent(bytes int) {
	t.SentBytes += uint64(bytes)
	t.SentMessages++
}

func (t *Traffic) received(bytes int) {
	t.ReceivedBytes += uint64(bytes)
	t.ReceivedMessages++
}

// hollow is one router without sockets.
type hollow struct {
	cluster *cluster
	net     *simnet.Node
	zone    int
	traffic [dutyCount]Traffic

	adopter *fleet.Adopter
	wakes   uint64
	// inForceAt is when the last version came into force here.
	inForceAt time.Time
	// uplinkFree is when the bodies that others asked for are sent.
	uplinkFree   time.Time
	bodiesServed int

	core      *placement.Core
	directory *directory.Node
	// jobs are the requests that wait for a place.
	jobs map[endpoint.AttemptKey]*job
	// requests counts those offered, and numbers them.
	requests, placed, refused uint64
	tickAt                    time.Time
	// eventsIn counts blocks that cache events named.
	eventsIn uint64
	// memberEvents counts changes of the membership view.
	memberEvents uint64
	// versionEvents counts members' changes of fleet version.
	versionEvents uint64
	viewStale     bool
}

func newHollow(c *cluster, node *simnet.Node, zone int) *hollow {
	h := &hollow{cluster: c, net: node, zone: zone, jobs: map[endpoint.AttemptKey]*job{}}
	h.adopter = fleet.NewAdopter(c.network.Now(), c.random.Float64)
	h.wakeFleetAfter(time.Duration(c.random.Int63n(int64(time.Second))))
	return h
}

// busy runs work and adds the real time it takes to a duty.
func (h *hollow) busy(duty duty, work func()) {
	began := time.Now()
	work()
	h.traffic[duty].Busy += time.Since(began)
}

func (h *hollow) now() time.Time { return h.cluster.network.Now() }

func (h *hollow) takeEvents(events []membership.Event) {
	for _, event := range events {
		switch event.Kind {
		case membership.FleetHeadRaised:
			h.headHeard(event.Head)
		case membership.MemberChanged, membership.MemberForgotten:
			h.memberEvents++
			h.viewChanged()
		case membership.MemberAdvanced:
			h.versionEvents++
		case membership.SignReceived:
			// No engine leaves in these runs.
		}
	}
}

// viewChanged hands the placement core the membership, once for the changes
// that come at one time.
func (h *hollow) viewChanged() {
	if h.core == nil || h.viewStale {
		return
	}
	h.viewStale = true
	h.cluster.network.After(machineTick, func() {
		h.viewStale = false
		h.busy(dutyGossip, func() { h.core.SetView(h.net.Machine.View()) })
	})
}
