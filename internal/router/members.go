package router

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
)

// membershipTimeout bounds one call to membership.
const membershipTimeout = 2 * time.Second

// view returns this router's view of the cluster; empty before membership starts.
func (r *Router) view() membership.View {
	if r.members == nil {
		return membership.View{}
	}
	return r.members.View()
}

// owns reports whether this router is among the owners.
func (r *Router) owns(owners []membership.Member) bool {
	for _, owner := range owners {
		if string(owner.Node) == r.settings.Node {
			return true
		}
	}
	return false
}

func (r *Router) startMembership(ctx context.Context) error {
	node, err := membership.Start(ctx, membership.Config{
		Self: membership.Member{
			Node:          ident.Node(r.settings.Node),
			Zone:          ident.Zone(r.settings.Zone),
			HTTPAddress:   r.settings.Advertise,
			GossipAddress: r.settings.GossipAdvertise,
		},
		Listen:     r.settings.GossipListen,
		ClusterKey: r.settings.Key().Reveal(),
		Seeds:      r.settings.Seeds,
		Timing:     membership.Timing{ProbePeriod: r.settings.Intervals.GossipProbe},
	})
	r.members = node
	return err
}

// watchMembers applies membership events until ctx ends. It calls viewChanged once
// for all queued events, as its cost grows with the number of engines; draining
// reports are not delayed by it.
func (r *Router) watchMembers(ctx context.Context) {
	states := make(map[ident.Node]membership.State)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.members.Events().Ready():
		}
		changed := false
		for event, ok := r.members.Events().Pop(); ok; event, ok = r.members.Events().Pop() {
			changed = r.applyEvent(event, states) || changed
		}
		if changed {
			r.viewChanged(ctx)
		}
	}
}

// applyEvent applies one event and returns whether the view has changed.
func (r *Router) applyEvent(event membership.Event, states map[ident.Node]membership.State) (changed bool) {
	switch event.Kind {
	case membership.ReportReceived:
		if event.Report.Kind == membership.ReportDraining {
			r.placementRunner.ObserveDraining(ident.Engine(event.Report.Backend), event.Report.Incarnation)
			r.apps.observeDraining(ident.Application(event.Report.Backend), event.Report.Incarnation)
		}
		return false
	case membership.FleetHeadRaised:
		r.observeFleetHead(event.Head)
		return false
	case membership.MemberRemoved:
		delete(states, event.Member.Node)
		return true
	case membership.MemberChanged:
		logStateChange(event.Member, states)
		return true
	default:
		return false
	}
}

// logStateChange logs a router's state if it has changed.
func logStateChange(member membership.Member, states map[ident.Node]membership.State) {
	if previous, found := states[member.Node]; found && previous == member.State {
		return
	}
	states[member.Node] = member.State
	log.WithField("router", member.Node).WithField("state", member.State.String()).Info("router changed state")
}

// viewChanged applies a changed view.
func (r *Router) viewChanged(ctx context.Context) {
	r.placementRunner.SetView(r.view())
	if compiled := r.syncer.Current(); compiled != nil {
		r.streams.Set(ctx, r.assignedStreams(compiled))
	}
}

// observeFleetHead passes another router's fleet version to the syncer.
func (r *Router) observeFleetHead(head membership.FleetHead) {
	for _, member := range r.view().Members {
		if member.Node == head.Holder {
			r.syncer.ObserveHead(fleet.Version(head.Version), fleet.Digest(head.Digest), member.HTTPAddress)
			return
		}
	}
}

// broadcastDraining notifies the other routers that a back end is draining.
func (r *Router) broadcastDraining(backend string, incarnation ident.Incarnation) {
	r.background.Go(func() {
		bounded, cancel := context.WithTimeout(context.Background(), membershipTimeout)
		defer cancel()
		// A lost report costs each other router only a refused request.
		_ = r.members.Broadcast(bounded, membership.BackendReport{
			Backend: backend, Incarnation: incarnation, Kind: membership.ReportDraining,
			Observer: ident.Node(r.settings.Node), ObservedAt: time.Now().UnixMilli(),
		})
	})
}

// addSeeds passes gossip addresses from the machine list to membership.
func (r *Router) addSeeds(ctx context.Context, addresses []string) {
	bounded, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	// The next poll of the list retries.
	_ = r.members.AddSeeds(bounded, addresses)
}

// advertiseFleet advertises the fleet file in force to the other routers.
func (r *Router) advertiseFleet(ctx context.Context, compiled *fleet.Compiled) {
	bounded, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	if err := r.members.SetFleetVersion(bounded, uint64(compiled.Version), string(compiled.Digest)); err != nil {
		log.WithError(err).Warn("fleet version not advertised")
	}
}
