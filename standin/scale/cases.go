package scale

import (
	"time"
)

const (
	// spreadLimit is how long a case waits for the file to be everywhere.
	spreadLimit = 90 * time.Second
	// splitTime is how long the regions have lost each other.
	splitTime = 3 * time.Minute
	// quietTime is how long steady gossip is counted, to tell it from a change's.
	quietTime = 30 * time.Second
)

// faultCase is one way in which a new fleet file is made hard to spread.
type faultCase struct {
	name string
	// prepare brings the fault about; the file is committed after it.
	prepare func(c *cluster)
	// afterCommit ends the fault, if it does end; the times count from there.
	afterCommit func(c *cluster)
	// counts says whether the routers of a zone must get the file.
	counts func(zone int) bool
}

func everyZone(int) bool { return true }

var faultCases = []faultCase{
	{"loss only", func(*cluster) {}, nil, everyZone},
	{"one zone lost with the change", (*cluster).loseZone, nil, func(zone int) bool { return zone != lostZone }},
	{"regions split: the table's region", (*cluster).splitRegions, nil, func(zone int) bool { return zone < zonesPerRegion }},
	{"regions split: the others, after healing", (*cluster).splitRegions, func(c *cluster) {
		c.network.Run(splitTime)
		c.heal()
	}, func(zone int) bool { return zone >= zonesPerRegion }},
}

// spreadRun is the outcome of one case with one seed.
type spreadRun struct {
	times                                    []time.Duration
	missing                                  int
	busiestBodies, tableBodies               int
	gossipBytes, memberEvents, versionEvents float64
}

// run spreads a second file, after the first one is in force everywhere.
func (f faultCase) run(config Config) (spreadRun, error) {
	c, err := newCluster(config)
	if err != nil {
		return spreadRun{}, err
	}
	c.commit()
	c.network.Run(config.Settle)
	quiet := c.gossip()
	c.network.Run(quietTime)
	steady := (c.gossip() - quiet) / quietTime.Seconds()
	c.forgetCounters()

	f.prepare(c)
	c.commit()
	from := c.network.Now()
	if f.afterCommit != nil {
		f.afterCommit(c)
		from = c.network.Now()
	}
	bytes, events, versions := c.gossip(), c.memberEvents(), c.versionEvents()
	began := c.network.Now()
	for c.network.Now().Sub(began) < spreadLimit && c.lagging(f.counts) > 0 {
		c.network.Run(machineTick)
	}
	c.network.Run(quietTime) // the change's own gossip ends
	passed := c.network.Now().Sub(began).Seconds()
	outcome := spreadRun{
		missing: c.lagging(f.counts), tableBodies: c.table.bodyReads,
		gossipBytes: c.gossip() - bytes - steady*passed, memberEvents: c.memberEvents() - events,
		versionEvents: c.versionEvents() - versions,
	}
	for _, node := range c.nodes {
		outcome.busiestBodies = max(outcome.busiestBodies, node.bodiesServed)
		if f.counts(node.zone) && node.adopter.Current() == c.table.pair {
			outcome.times = append(outcome.times, max(0, node.inForceAt.Sub(from)))
		}
	}
	return outcome, nil
}

// gossip returns the bytes of gossip a router, sent and received.
func (c *cluster) gossip() float64 {
	return c.mean(func(node *hollow) uint64 { return node.net.BytesSent + node.net.BytesReceived })
}

func (c *cluster) memberEvents() float64 {
	return c.mean(func(node *hollow) uint64 { return node.memberEvents })
}

func (c *cluster) versionEvents() float64 {
	return c.mean(func(node *hollow) uint64 { return node.versionEvents })
}

func (c *cluster) mean(count func(node *hollow) uint64) float64 {
	total := uint64(0)
	for _, node := range c.nodes {
		total += count(node)
	}
	return float64(total) / float64(len(c.nodes))
}

// forgetCounters leaves out what the first file has cost.
func (c *cluster) forgetCounters() {
	c.table.bodyReads = 0
	for _, node := range c.nodes {
		node.bodiesServed = 0
	}
}

func (c *cluster) lagging(counts func(zone int) bool) int {
	lagging := 0
	for _, node := range c.nodes {
		if counts(node.zone) && node.adopter.Current() != c.table.pair {
			lagging++
		}
	}
	return lagging
}
