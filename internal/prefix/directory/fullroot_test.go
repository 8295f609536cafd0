package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// A router must not report engines that a full shard has no room for, but still
// one that holds more blocks, and one that replaces a dead engine.
func TestFullRootStopsReports(t *testing.T) {
	is := is.New(t)
	const places = 16 // of one root in a shard
	chain := chainOf("open order book ", "a")[:128]
	c := newCluster(t, 6)
	shard, other, another := c.owner(chain)
	name := func(index int) ident.Engine { return ident.Engine(fmt.Sprintf("holder-%02d", index)) }
	reports := func(at ident.Node) int {
		before := c.nodes[at].Counters().Reports
		c.tick()
		return int(c.nodes[at].Counters().Reports - before)
	}
	for index := range places - 1 {
		c.nodes[other].RecordAnswer(c.now, name(index), first, chain, 64)
	}
	is.Equal(reports(other), places-1)
	c.lookUpBlocks(another, first, chain)
	c.nodes[another].RecordAnswer(c.now, name(places-1), first, chain, 64) // the last free place
	is.Equal(reports(another), 1)

	c.lookUpBlocks(other, first, chain)
	c.nodes[other].RecordAnswer(c.now, name(places), first, chain, 64)
	is.Equal(reports(other), 0)
	c.nodes[other].RecordAnswer(c.now, name(places), first, chain, 128) // it holds more
	is.Equal(reports(other), 1)

	c.nodes[shard].SetIncarnation(name(3), "")
	c.tick()
	c.now = c.now.Add(2 * time.Second)
	c.lookUpBlocks(another, first, chain)
	c.nodes[another].RecordAnswer(c.now, name(places+1), first, chain, 64)
	is.Equal(reports(another), 1)
}
