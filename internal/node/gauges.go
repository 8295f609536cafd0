package node

import (
	"github.com/fieldpond/fieldpond/internal/answer"
	"github.com/fieldpond/fieldpond/internal/clock"
)

// readGauges returns the state of the node.
func (n *Node) readGauges() gaugeValues {
	view := n.holder.View()
	now := gaugeValues{backends: n.backends.Count(), inFlight: n.backends.InFlight()}
	now.limitedBackends = len(n.backends.LimitedInstances(clock.Now()))
	now.drainingBackends, now.backingOffBackends = n.backends.UnavailableCounts(clock.Now())
	if view.Snapshot != nil {
		now.configurationVersion = view.Snapshot.Version
		now.configurationAge = view.Age(clock.Now())
		now.configurationProblems = len(view.Snapshot.Problems())
	}
	now.leaseHeld = n.holdsLease()
	now.readsStore = n.follower.readsForOthers()
	now.leaf, now.children = n.follower.chain.leaf(), n.follower.flood.Children(clock.Now())
	now.listAge = n.follower.replica.listAge(clock.Now(), n.follower.startedAt)
	now.routers = n.follower.replica.Routers()
	now.sharers = n.follower.replica.Sharers()
	now.quotaMembers, now.limitMembers = n.quotas.members(), n.limits.members()
	now.crashes = n.quarantines.Counts()
	now.unreachableRegions = len(n.backends.UnreachableRegions(clock.Now()))
	if n.detours != nil {
		now.backendsLost, now.detours = n.detours.allLost(), n.detours.ports.Dialer.Opened()
		now.relayed = n.detours.server.Count()
	}
	if n.ports.LinesDropped != nil {
		now.linesDropped = n.ports.LinesDropped()
	}
	now.streamRecords, now.streamRecordsDropped = n.streams.counts()
	now.clients = n.clients.Counts()
	now.silentConnections = n.peers.SilentConnections()
	if n.ports.SilentConnections != nil {
		now.silentConnections += n.ports.SilentConnections()
	}
	now.tooLargeAnswers = n.peers.TooLargeAnswers()
	if n.ports.TooLargeAnswers != nil {
		now.tooLargeAnswers += n.ports.TooLargeAnswers()
	}
	now.malformedAnswers = n.malformedAnswers()
	return now
}

// malformedAnswers returns the number of malformed answers on all connections, by cause.
func (n *Node) malformedAnswers() map[string]float64 {
	counts := []map[answer.Cause]uint64{n.peers.MalformedAnswers()}
	if n.ports.MalformedAnswers != nil {
		counts = append(counts, n.ports.MalformedAnswers()...)
	}
	sums := make(map[string]float64, len(answer.Causes))
	for _, cause := range answer.Causes {
		sum := uint64(0)
		for _, count := range counts {
			sum += count[cause]
		}
		sums[string(cause)] = float64(sum)
	}
	return sums
}
