package node

import (
	"context"
	"net"
	"net/netip"
	"slices"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/health"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
	"github.com/fieldpond/fieldpond/internal/quota"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

const (
	// maxDatagramBytes bounds what is read of a datagram: a report of answers by route
	// and back end (canary.Report) may be longer than a notice, which takes 1,400.
	maxDatagramBytes = 4096
	// enginesPerNotification bounds the engines named in one notice.
	enginesPerNotification = 40
)

// notifier carries notices to all routers, as datagrams without an answer: those of
// the holder of the lease about engines that change, and those of the first router of
// each zone about engines that are silent or full. It implements rollout.Announcer.
type notifier struct {
	socket   *net.UDPConn
	backends *backend.Registry
	// recipients are the routers that are told.
	recipients *recipients
	// quotas takes in what other routers tell of limits; it may be nil.
	quotas *quotas
	// limits takes in messages about grants of requests to back ends; it may be nil.
	limits *backendLimits
	// updates takes in what other routers know of back ends; it may be nil.
	updates *backendUpdates
	// guard takes in evidence of crashes; it may be nil.
	guard *guard.Guard
	// canaries takes in permits and reports of rollouts; it may be nil.
	canaries *canaries
}

var _ rollout.Announcer = (*notifier)(nil)

// datagram is what routers tell each other; one of the first three fields is set.
type datagram struct {
	Rollout *rollout.Notification `cbor:"1,keyasint,omitempty"`
	Health  *health.Notification  `cbor:"2,keyasint,omitempty"`
	Quota   *quota.Datagram       `cbor:"3,keyasint,omitempty"`
	Permit  *canary.Permit        `cbor:"4,keyasint,omitempty"`
	Report  *canary.Report        `cbor:"5,keyasint,omitempty"`
	// Quarantine tells of requests under which back ends crashed.
	Quarantine []quarantine.Evidence `cbor:"7,keyasint,omitempty"`
	// Updates tells what back ends said of themselves, Limit is about grants of requests to them.
	Updates []backend.StateUpdate `cbor:"8,keyasint,omitempty"`
	Limit   *limitMessage         `cbor:"9,keyasint,omitempty"`
	// Scope says to whom the receiver passes the notice on.
	Scope scope `cbor:"6,keyasint,omitempty"`
}

// listenNotifications opens the socket for notices at an address.
func listenNotifications(addr netip.AddrPort, backends *backend.Registry, peers *recipients) (*notifier, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen for notices")
	}
	return &notifier{socket: socket, backends: backends, recipients: peers}, nil
}

// Announce implements rollout.Announcer.
func (n *notifier) Announce(notification rollout.Notification) {
	n.applyRollout(&notification)
	for _, part := range splitRollout(notification) {
		// It is told once only, so that it goes by two relays where there are some.
		n.send(datagram{Rollout: &part})
		n.sendAll(datagram{Rollout: &part}, n.recipients.toNextRelays())
	}
}

// notifyHealth tells all routers, this one included, what checks of engines found.
func (n *notifier) notifyHealth(notification health.Notification) {
	n.applyHealth(&notification)
	for _, part := range splitHealth(notification) {
		n.send(datagram{Health: &part})
	}
}

// sendCrashEvidence tells all other routers of requests under which back ends crashed.
func (n *notifier) sendCrashEvidence(evidence []quarantine.Evidence) {
	n.send(datagram{Quarantine: evidence})
}

// sendStateUpdates tells all other routers what back ends said of themselves.
func (n *notifier) sendStateUpdates(updates []backend.StateUpdate) {
	for part := range slices.Chunk(updates, updatesPerDatagram) {
		n.send(datagram{Updates: part})
	}
}

// send sends a datagram to all other routers.
func (n *notifier) send(packet datagram) { n.sendAll(packet, n.recipients.toAll()) }

// carry sends a datagram as the messages say.
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
		// A datagram that cannot be sent is a notice that is lost.
		_, _ = n.socket.WriteToUDPAddrPort(encoded[message.scope], message.to)
	}
}

// sendQuota sends a message about the limits of tenants to one router.
func (n *notifier) sendQuota(envelope quota.Envelope) {
	n.sendTo(envelope.To, datagram{Quota: quota.Pack(envelope.Message)})
}

// sendTo sends a datagram to one router.
func (n *notifier) sendTo(to netip.AddrPort, packet datagram) {
	encoded, err := cbor.Marshal(packet)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("notice_not_sent")
		return
	}
	// What is lost is sent again, or missed by its receiver.
	_, _ = n.socket.WriteToUDPAddrPort(encoded, to)
}

// splitHealth returns notices that fit into a datagram each.
func splitHealth(notification health.Notification) []health.Notification {
	var parts []health.Notification
	for len(notification.Silent)+len(notification.Answering)+len(notification.Queues)+len(notification.Gone) > 0 {
		var part health.Notification
		room := enginesPerNotification
		part.Silent, notification.Silent, room = splitOff(notification.Silent, room)
		part.Answering, notification.Answering, room = splitOff(notification.Answering, room)
		part.Queues, notification.Queues, room = splitOff(notification.Queues, room)
		part.Gone, notification.Gone, _ = splitOff(notification.Gone, room)
		parts = append(parts, part)
	}
	return parts
}

// splitRollout returns notices that fit into a datagram each.
func splitRollout(notification rollout.Notification) []rollout.Notification {
	var parts []rollout.Notification
	for len(notification.Loading)+len(notification.Loaded)+len(notification.Unsettled)+len(notification.Emptying) > 0 {
		part := rollout.Notification{
			Model: notification.Model, Version: notification.Version, LoadTime: notification.LoadTime, EmptyTime: notification.EmptyTime,
		}
		room := enginesPerNotification
		part.Loading, notification.Loading, room = splitOff(notification.Loading, room)
		part.Loaded, notification.Loaded, room = splitOff(notification.Loaded, room)
		part.Unsettled, notification.Unsettled, room = splitOff(notification.Unsettled, room)
		part.Emptying, notification.Emptying, _ = splitOff(notification.Emptying, room)
		parts = append(parts, part)
	}
	return parts
}

// splitOff takes what there is room for, and returns the room that is left.
func splitOff[T any](items []T, room int) (taken, rest []T, left int) {
	count := min(len(items), room)
	return items[:count], items[count:], room - count
}

// listen takes in notices until ctx ends.
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

// receive takes in a datagram; one that cannot be read is no notice of a router.
func (n *notifier) receive(from netip.AddrPort, encoded []byte) {
	var packet datagram
	if cbor.Unmarshal(encoded, &packet) != nil {
		return
	}
	// Only notices are passed on: permits, reports and messages about limits count by their
	// sender, and would come from a router of the roster once this one has sent them.
	n.sendAll(datagram{Rollout: packet.Rollout, Health: packet.Health, Quarantine: packet.Quarantine, Updates: packet.Updates}, n.recipients.relay(packet.Scope))
	if packet.Rollout != nil {
		n.applyRollout(packet.Rollout)
	}
	if packet.Health != nil {
		n.applyHealth(packet.Health)
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	// Routers that started together know each other a count of the routers later: what they
	// could not tell is answered to who can tell them.
	if missing := n.guard.Merge(clock.Now(), packet.Quarantine); len(missing) > 0 {
		n.sendTo(from, datagram{Quarantine: missing})
	}
	if packet.Quota != nil && n.quotas != nil {
		if msg := packet.Quota.Message(); msg != nil {
			n.quotas.receive(from, msg)
		}
	}
	n.updates.applyUpdates(packet.Updates)
	if n.limits != nil && packet.Limit != nil {
		n.limits.receive(from, packet.Limit)
	}
	if n.canaries != nil {
		n.canaries.receive(from, &packet)
	}
}

// applyHealth takes in which engines are silent and at which requests wait.
func (n *notifier) applyHealth(notification *health.Notification) {
	now := clock.Now()
	n.backends.PeerSilent(now, notification.Silent)
	n.backends.PeerAnswering(notification.Answering)
	n.backends.PeerGone(now, notification.Gone)
	for _, queue := range notification.Queues {
		n.backends.PeerQueue(now, queue.Instance, queue.Waiting)
	}
}

// take takes in a notice.
func (n *notifier) applyRollout(notification *rollout.Notification) {
	now := clock.Now()
	for _, instance := range notification.Loading {
		n.backends.MarkLoading(now, instance, notification.Model, notification.Version, notification.LoadTime)
	}
	for _, instance := range notification.Emptying {
		n.backends.MarkLoading(now, instance, notification.Model, notification.Version, notification.EmptyTime+notification.LoadTime)
	}
	for _, instance := range notification.Loaded {
		n.backends.ObserveVersion(instance, notification.Model, notification.Version)
	}
	for _, instance := range notification.Unsettled {
		n.backends.CancelLoading(instance, notification.Model, notification.Version)
	}
	log.WithFields(log.Fields{
		"model": notification.Model, "version": notification.Version, "loading": notification.Loading, "loaded": notification.Loaded,
		"unsettled": notification.Unsettled, "emptying": notification.Emptying,
	}).Info("engines_change")
}
