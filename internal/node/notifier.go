package node

import (
	"context"
	"net"
	"net/netip"
	"slices"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/affinity"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/flood"
	"github.com/fieldpond/fieldpond/internal/health"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
	"github.com/fieldpond/fieldpond/internal/quota"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

const (
	// maxDatagramBytes bounds a received datagram: notifications take at most 1,400 bytes,
	// but a canary.Report may be longer.
	maxDatagramBytes = 4096
	// enginesPerNotification bounds the engines in one notification.
	enginesPerNotification = 40
)

// notifier sends and receives notifications and other datagrams of routers, which are not
// acknowledged. It implements rollout.Notifier.
type notifier struct {
	socket     *net.UDPConn
	backends   *backend.Registry
	recipients *recipients
	// flood passes notifications on while floods, which may be nil, reports a large fleet.
	flood  *flood.Router
	floods func() bool
	// quotas receives messages about tenants' limits; it may be nil.
	quotas *quotas
	// limits receives messages about grants of requests to back ends; it may be nil.
	limits *backendLimits
	// updates applies state updates of back ends; it may be nil.
	updates *backendUpdates
	// guard merges evidence of crashes; it may be nil.
	guard *guard.Guard
	// streams receives records of streams; it may be nil.
	streams *streams
	// onJoined is called with the address of a router that has joined; it may be nil.
	onJoined func(router netip.AddrPort)
	// canaries receives permits and reports of rollouts; it may be nil.
	canaries *canaries
}

var _ rollout.Notifier = (*notifier)(nil)

// datagram is a message between routers; each field but Scope is a kind of content.
type datagram struct {
	Rollout *rollout.Notification `cbor:"1,keyasint,omitempty"`
	Health  *health.Notification  `cbor:"2,keyasint,omitempty"`
	Quota   *quota.Datagram       `cbor:"3,keyasint,omitempty"`
	Permit  *canary.Permit        `cbor:"4,keyasint,omitempty"`
	Report  *canary.Report        `cbor:"5,keyasint,omitempty"`
	// Quarantine is evidence of requests that crash back ends.
	Quarantine []quarantine.Evidence `cbor:"7,keyasint,omitempty"`
	// Updates are state updates of back ends, Limit is about grants of requests to them.
	Updates []backend.StateUpdate `cbor:"8,keyasint,omitempty"`
	Limit   *limitMessage         `cbor:"9,keyasint,omitempty"`
	// Flood is set if the receiver passes the notification on to its neighbors.
	Flood *flood.Header `cbor:"10,keyasint,omitempty"`
	// Streams is about the releases at which streams began.
	Streams *affinity.Message `cbor:"11,keyasint,omitempty"`
	// Overloads are services whose back ends are brittle.
	Overloads []backend.ServiceOverload `cbor:"12,keyasint,omitempty"`
	// Joined means that the sender has joined the routers.
	Joined bool `cbor:"13,keyasint,omitempty"`
	// Scope is to which routers the receiver relays the notification.
	Scope scope `cbor:"6,keyasint,omitempty"`
}

// listenNotifications opens the socket for notifications at an address.
func listenNotifications(addr netip.AddrPort, backends *backend.Registry, peers *recipients) (*notifier, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen for notifications")
	}
	return &notifier{socket: socket, backends: backends, recipients: peers}, nil
}

// Notify implements rollout.Notifier.
func (n *notifier) Notify(notification rollout.Notification) {
	n.applyRollout(&notification)
	for _, part := range splitRollout(notification) {
		// It is not sent again later, so it is sent through two relays if there are any.
		n.send(datagram{Rollout: &part})
		n.sendAgain(datagram{Rollout: &part})
	}
}

// notifyHealth applies the results of health checks and sends them to all other routers.
func (n *notifier) notifyHealth(notification health.Notification) {
	n.applyHealth(&notification)
	for _, part := range splitHealth(notification) {
		n.send(datagram{Health: &part})
	}
}

// sendCrashEvidence sends evidence of crashes to all other routers.
func (n *notifier) sendCrashEvidence(evidence []quarantine.Evidence) {
	n.send(datagram{Quarantine: evidence})
}

// sendStateUpdates sends state updates of back ends to all other routers.
func (n *notifier) sendStateUpdates(updates []backend.StateUpdate) {
	for part := range slices.Chunk(updates, updatesPerDatagram) {
		n.send(datagram{Updates: part})
	}
}

// send sends a notification to all other routers.
func (n *notifier) send(packet datagram) {
	if n.floods != nil && n.floods() {
		header, to := n.flood.Send(clock.Now())
		n.sendFlood(packet, header, to)
		return
	}
	n.sendAll(packet, n.recipients.toAll())
}

// sendAgain sends a notification another way than send has.
func (n *notifier) sendAgain(packet datagram) {
	if n.floods != nil && n.floods() {
		n.send(packet)
		return
	}
	n.sendAll(packet, n.recipients.toNextRelays())
}

// sendFlood sends a notification that its receivers pass on.
func (n *notifier) sendFlood(packet datagram, header flood.Header, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	packet.Flood = &header
	n.sendAll(packet, direct(to))
}

// sendAll sends a datagram to the address of each message, with the message's scope.
func (n *notifier) sendAll(packet datagram, messages []message) {
	var encoded [toRegion + 1][]byte
	for _, message := range messages {
		if encoded[message.scope] == nil {
			packet.Scope = message.scope
			data, err := cbor.Marshal(packet)
			if err != nil {
				log.WithFields(log.Fields{"cause": err.Error()}).Warn("notice_not_sent")
				return
			}
			encoded[message.scope] = data
		}
		// A datagram that cannot be sent is lost, as one on the network may be.
		_, _ = n.socket.WriteToUDPAddrPort(encoded[message.scope], message.to)
	}
}

// sendQuota sends a message about the limits of tenants to one router.
func (n *notifier) sendQuota(envelope quota.Envelope) {
	n.sendTo(envelope.To, datagram{Quota: quota.Pack(envelope.Message)})
}

// announceJoin reports to other routers that this one has joined.
func (n *notifier) announceJoin(others []netip.AddrPort) {
	n.sendAll(datagram{Joined: true}, direct(others))
}

// sendTo sends a datagram to one router.
func (n *notifier) sendTo(to netip.AddrPort, packet datagram) {
	encoded, err := cbor.Marshal(packet)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("notice_not_sent")
		return
	}
	// Lost datagrams are sent again, or their receiver tolerates the loss.
	_, _ = n.socket.WriteToUDPAddrPort(encoded, to)
}

// splitHealth splits a notification into ones that fit into a datagram each.
func splitHealth(notification health.Notification) []health.Notification {
	var parts []health.Notification
	for len(notification.Silent)+len(notification.Answering)+len(notification.Queues)+len(notification.Gone)+len(notification.Full) > 0 {
		var part health.Notification
		room := enginesPerNotification
		part.Silent, notification.Silent, room = splitOff(notification.Silent, room)
		part.Answering, notification.Answering, room = splitOff(notification.Answering, room)
		part.Queues, notification.Queues, room = splitOff(notification.Queues, room)
		part.Gone, notification.Gone, room = splitOff(notification.Gone, room)
		part.Full, notification.Full, _ = splitOff(notification.Full, room)
		parts = append(parts, part)
	}
	return parts
}

// splitRollout splits a notification into ones that fit into a datagram each.
func splitRollout(notification rollout.Notification) []rollout.Notification {
	var parts []rollout.Notification
	for len(notification.Loading)+len(notification.Loaded)+len(notification.Unsettled)+len(notification.Quiescing) > 0 {
		part := rollout.Notification{
			Model: notification.Model, Version: notification.Version, LoadTime: notification.LoadTime, QuiesceTime: notification.QuiesceTime,
		}
		room := enginesPerNotification
		part.Loading, notification.Loading, room = splitOff(notification.Loading, room)
		part.Loaded, notification.Loaded, room = splitOff(notification.Loaded, room)
		part.Unsettled, notification.Unsettled, room = splitOff(notification.Unsettled, room)
		part.Quiescing, notification.Quiescing, _ = splitOff(notification.Quiescing, room)
		parts = append(parts, part)
	}
	return parts
}

// splitOff returns the items that there is room for, the rest, and the room that is left.
func splitOff[T any](items []T, room int) (taken, rest []T, left int) {
	count := min(len(items), room)
	return items[:count], items[count:], room - count
}

// listen receives datagrams until ctx ends.
func (n *notifier) listen(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		count, from, err := n.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		n.receive(from, buffer[:count])
	}
}

// receive handles a datagram; it ignores unreadable ones.
func (n *notifier) receive(from netip.AddrPort, encoded []byte) {
	var packet datagram
	if cbor.Unmarshal(encoded, &packet) != nil {
		return
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if !n.relay(from, &packet) {
		return
	}
	if packet.Rollout != nil {
		n.applyRollout(packet.Rollout)
	}
	if packet.Health != nil {
		n.applyHealth(packet.Health)
	}
	// Routers that started together have each other's address only after the next count, so
	// evidence that the sender lacks is returned to it.
	if missing := n.guard.Merge(clock.Now(), packet.Quarantine); len(missing) > 0 {
		n.sendTo(from, datagram{Quarantine: missing})
	}
	if packet.Quota != nil && n.quotas != nil {
		if msg := packet.Quota.Message(); msg != nil {
			n.quotas.receive(from, msg)
		}
	}
	n.updates.applyUpdates(packet.Updates)
	n.backends.ApplyOverloads(clock.Now(), packet.Overloads)
	if n.limits != nil && packet.Limit != nil {
		n.limits.receive(from, packet.Limit)
	}
	if n.onJoined != nil && packet.Joined {
		n.onJoined(from)
	}
	if n.streams != nil && packet.Streams != nil {
		n.streams.receive(from, packet.Streams)
	}
	if n.canaries != nil {
		n.canaries.receive(from, &packet)
	}
}

// relay passes a notification on, and reports whether it is new. Only notifications are relayed:
// permits, reports and messages about limits are trusted by their sender's address, and a relayed
// one would seem to come from this router.
func (n *notifier) relay(from netip.AddrPort, packet *datagram) (isNew bool) {
	notification := datagram{
		Rollout: packet.Rollout, Health: packet.Health, Quarantine: packet.Quarantine, Updates: packet.Updates, Overloads: packet.Overloads,
	}
	if packet.Flood == nil || n.flood == nil {
		n.sendAll(notification, n.recipients.relay(packet.Scope))
		return true
	}
	header, to, isNew := n.flood.Receive(clock.Now(), from, *packet.Flood)
	n.sendFlood(notification, header, to)
	return isNew
}

// applyHealth applies health results and queue lengths of engines.
func (n *notifier) applyHealth(notification *health.Notification) {
	now := clock.Now()
	n.backends.PeerSilent(now, notification.Silent)
	n.backends.PeerAnswering(notification.Answering)
	n.backends.PeerGone(now, notification.Gone)
	for _, instance := range notification.Full {
		n.backends.ObserveNoRoom(now, instance)
	}
	for _, queue := range notification.Queues {
		n.backends.PeerQueue(now, queue.Instance, queue.Waiting)
	}
}

// applyRollout applies a notification about engines that load a version.
func (n *notifier) applyRollout(notification *rollout.Notification) {
	now := clock.Now()
	for _, instance := range notification.Loading {
		n.backends.MarkLoading(now, instance, notification.Model, notification.Version, notification.LoadTime)
	}
	for _, instance := range notification.Quiescing {
		n.backends.MarkLoading(now, instance, notification.Model, notification.Version, notification.QuiesceTime+notification.LoadTime)
	}
	for _, instance := range notification.Loaded {
		n.backends.ObserveVersion(instance, notification.Model, notification.Version)
	}
	for _, instance := range notification.Unsettled {
		n.backends.CancelLoading(instance, notification.Model, notification.Version)
	}
	log.WithFields(log.Fields{
		"model": notification.Model, "version": notification.Version, "loading": notification.Loading, "loaded": notification.Loaded,
		"unsettled": notification.Unsettled, "emptying": notification.Quiescing,
	}).Info("engines_change")
}
