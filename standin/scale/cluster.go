package scale

import (
	"math/rand"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/membership/simnet"
)

const (
	// machineTick and probePeriod are those of a real router by default.
	machineTick = 100 * time.Millisecond
	probePeriod = 500 * time.Millisecond
	// seedsANode is how many others a router is told of at its start.
	seedsANode = 3
)

// cluster is a number of hollow routers with what surrounds them.
type cluster struct {
	config       Config
	network      *simnet.Network
	random       *rand.Rand
	nodes        []*hollow
	byNet        map[*simnet.Node]*hollow
	byName       map[ident.Node]*hollow
	byHTTP       map[string]*hollow
	engines      []*engineTruth
	engineByName map[ident.Engine]*engineTruth
	table        tableTruth
	// cut says which zones cannot reach each other; nil means none.
	cut func(from, to int) bool
	// loaded is true while requests, load reports and cache events flow.
	loaded bool
}

// newCluster starts the routers, which then know each other.
func newCluster(config Config) (*cluster, error) {
	c := &cluster{
		config: config, random: rand.New(rand.NewSource(config.Seed)),
		byNet: map[*simnet.Node]*hollow{}, byName: map[ident.Node]*hollow{}, byHTTP: map[string]*hollow{},
		engineByName: map[ident.Engine]*engineTruth{},
	}
	network, err := simnet.New(simnet.Config{
		Seed: config.Seed, Loss: config.Loss, Tick: machineTick, Encode: true,
		Timing: membership.Timing{ProbePeriod: probePeriod},
		Delay:  func(from, to *simnet.Node) time.Duration { return c.delay(c.byNet[from], c.byNet[to]) },
		Around: func(node *simnet.Node, work func()) { c.byNet[node].busy(dutyGossip, work) },
		OnEvents: func(node *simnet.Node, events []membership.Event) {
			if known := c.byNet[node]; known != nil {
				known.takeEvents(events)
			}
		},
	})
	if err != nil {
		return nil, err
	}
	c.network = network
	network.Cut = func(from, to *simnet.Node) bool { return !c.connected(c.byNet[from].zone, c.byNet[to].zone) }
	for index := range config.Nodes {
		if err := c.start(index); err != nil {
			return nil, err
		}
	}
	network.Introduce()
	return c, nil
}

func (c *cluster) start(index int) error {
	var seeds []string
	for range seedsANode {
		seeds = append(seeds, simnet.Address(c.random.Intn(c.config.Nodes)))
	}
	zone := index % zoneCount
	node, err := c.network.Start(index, zoneName(zone), seeds)
	if err != nil {
		return err
	}
	added := newHollow(c, node, zone)
	c.nodes = append(c.nodes, added)
	c.byNet[node], c.byName[node.Member.Node], c.byHTTP[node.Member.HTTPAddress] = added, added, added
	return nil
}

func zoneName(zone int) ident.Zone { return ident.Zone("zone-" + string(rune('a'+zone))) }

// delay is the one-way time between two routers.
func (c *cluster) delay(from, to *hollow) time.Duration { return zoneDelay(from.zone, to.zone) }

func zoneDelay(from, to int) time.Duration {
	if from == to {
		return delayWithinZone
	}
	return delayBetweenZones
}

func (c *cluster) connected(from, to int) bool { return c.cut == nil || !c.cut(from, to) }

// lostZone is the zone that is cut off, and the table's zone is tableZone.
const (
	lostZone  = 4
	tableZone = 0
)

// loseZone cuts a whole zone off, as when its power is gone.
func (c *cluster) loseZone() {
	c.cut = func(from, to int) bool { return from != to && (from == lostZone || to == lostZone) }
}

// splitRegions cuts every region off the others.
func (c *cluster) splitRegions() {
	c.cut = func(from, to int) bool { return from/zonesPerRegion != to/zonesPerRegion }
}

func (c *cluster) heal() { c.cut = nil }

// exchange is one request and reply between routers over TCP.
type exchange struct {
	duty     duty
	from, to *hollow
	request  int
	// serve runs at the receiver and returns the size of the reply; ok is false
	// if it has none to give, which takes a short reply as well.
	serve func() (reply int, ok bool)
	// transfer returns how long the reply takes beyond the delay of the network.
	transfer func(reply int) time.Duration
	timeout  time.Duration
	// done runs at the sender; ok is false on a timeout or a refusal.
	done func(ok bool)
}

// call carries out an exchange. A lost segment is sent again by TCP.
func (c *cluster) call(e exchange) {
	request := e.request + peerRequestHeaders + segmentOverhead
	e.from.traffic[e.duty].sent(request)
	e.from.traffic[e.duty].Payload += uint64(e.request)
	if e.to == nil || !e.to.net.Up() || !c.connected(e.from.zone, e.to.zone) {
		c.network.After(e.timeout, func() { e.done(false) })
		return
	}
	c.network.After(c.segmentDelay(e.from, e.to), func() {
		e.to.traffic[e.duty].received(request)
		e.to.traffic[e.duty].Payload += uint64(e.request)
		body, ok := e.serve()
		reply := body + peerReplyHeaders + segmentOverhead
		e.to.traffic[e.duty].sent(reply)
		wait := c.segmentDelay(e.to, e.from)
		if e.transfer != nil {
			wait += e.transfer(body)
		}
		if wait > e.timeout {
			wait, ok = e.timeout, false
		}
		c.network.After(wait, func() {
			e.from.traffic[e.duty].received(reply)
			e.done(ok)
		})
	})
}

func (c *cluster) segmentDelay(from, to *hollow) time.Duration {
	delay := c.delay(from, to)
	if c.random.Float64() < c.config.Loss {
		delay += resendDelay
	}
	return delay
}
