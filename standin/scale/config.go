// Package scale runs hundreds of hollow routers in one process and in virtual
// time, to measure what one router spends on its fellows and how fast a new
// configuration spreads.
//
// A hollow router is the real membership.Machine, the real placement.Core with
// its directory.Node, beliefs and endpoint registry, and the real fleet.Adopter.
// What it lacks are sockets: messages are encoded with the real codecs, counted
// with the headers that a real connection adds, and carried by simnet. Load is
// a rate for each node, so that a small run shows the same node as a large one.
package scale

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// The size that is designed for; all loads are rates for one of TargetNodes.
const (
	// TargetNodes is the number of routers.
	TargetNodes = 390
	// targetEngines is the number of model engines.
	targetEngines = 860
	// targetRequests is the number of model requests a second.
	targetRequests = 4400
	// targetEvents is the number of cached blocks stored or removed a second.
	targetEvents = 260_000
	// targetTenants is the number of tenants; each has a prefix of its own.
	targetTenants = 23_000
	// targetModels is the number of models in steady use.
	targetModels = 13

	zoneCount      = 9
	zonesPerRegion = 3
)

// The network that the users have measured.
const (
	delayWithinZone   = 100 * time.Microsecond
	delayBetweenZones = 1500 * time.Microsecond
	// resendDelay is what the loss of a segment adds to an exchange over TCP.
	resendDelay = 200 * time.Millisecond
)

// What a real exchange adds to the encoded bodies, in bytes.
const (
	// segmentHeaders is the size of the IPv4 and TCP headers of a segment.
	segmentHeaders = 52
	// exchangeSegments is the number of segments a request or a reply takes on
	// an open connection: its data, and the acknowledgement of the other side.
	exchangeSegments = 2
	// peerRequestHeaders and peerReplyHeaders are the HTTP headers of a call
	// between routers, as BenchmarkCallBytes of internal/peer measures them.
	peerRequestHeaders = 305
	peerReplyHeaders   = 188
	// loadRequestHeaders and loadReplyHeaders are those of a load report's read,
	// as BenchmarkLoadBytes of internal/engine measures them.
	loadRequestHeaders = 100
	loadReplyHeaders   = 115
	segmentOverhead    = exchangeSegments * segmentHeaders
)

// Config describes one run.
type Config struct {
	// Nodes is the number of routers.
	Nodes int
	// Seed feeds every random choice of the first run; further runs count up.
	Seed int64
	// Seeds is the number of runs of the fault cases.
	Seeds int
	// Loss is the share of datagrams lost.
	Loss float64
	// Settle is the virtual time in which gossip comes to rest.
	Settle time.Duration
	// Warm is the virtual time under load before the measurement.
	Warm time.Duration
	// Window is the virtual time that is measured.
	Window time.Duration
	// BodyBytes is the size of a fleet file on the wire.
	BodyBytes int
	// AdoptTime is how long a router works to put a fleet file in force.
	AdoptTime time.Duration
	// UplinkBytes is what a router can send in a second.
	UplinkBytes int
	// Parallel bounds the fault cases that run at one time.
	Parallel int
}

// DefaultConfig returns the usual run for so many nodes.
func DefaultConfig(nodes int) Config {
	return Config{
		Nodes: nodes, Seed: 1, Seeds: 3, Loss: 0.01,
		Settle: time.Minute, Warm: 12 * time.Second, Window: 8 * time.Second,
		BodyBytes: 3_970_000, AdoptTime: 900 * time.Millisecond, UplinkBytes: 125_000_000,
		Parallel: 4,
	}
}

// Validate checks a configuration.
func (c Config) Validate() error {
	const maxNodes, maxSeeds, maxParallel = 1000, 100, 6
	switch {
	case c.Nodes < 2 || c.Nodes > maxNodes:
		return fault.New(fault.BadRequest, "%d nodes cannot be run", c.Nodes).WithRemedy("ask for 2 to %d nodes", maxNodes)
	case c.Seeds < 1 || c.Seeds > maxSeeds:
		return fault.New(fault.BadRequest, "%d seeds cannot be run", c.Seeds).WithRemedy("ask for 1 to %d seeds", maxSeeds)
	case c.Loss < 0 || c.Loss >= 1:
		return fault.New(fault.BadRequest, "a loss of %g is no share", c.Loss).WithRemedy("give a share from 0 up to, not including, 1")
	case c.Parallel < 1 || c.Parallel > maxParallel:
		return fault.New(fault.BadRequest, "%d cases at one time cannot be run", c.Parallel).WithRemedy("ask for 1 to %d", maxParallel)
	case c.Settle < 0 || c.Warm < 0 || c.Window < time.Second || c.AdoptTime < 0:
		return fault.New(fault.BadRequest, "a time of the run is negative, or the window below 1s").
			WithRemedy("give times of 0 or more and a window of 1s or more")
	case c.BodyBytes < 1 || c.UplinkBytes < 1:
		return fault.New(fault.BadRequest, "the size of the fleet file and the uplink must be above 0")
	}
	return nil
}

func (c Config) engines() int  { return share(targetEngines, c.Nodes) }
func (c Config) prefixes() int { return share(targetTenants, c.Nodes) }

// share returns the part of a whole of the target that so many nodes bear.
func share(whole, nodes int) int { return max(1, (whole*nodes+TargetNodes/2)/TargetNodes) }
