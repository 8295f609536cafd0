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
// each zone about engines that are silent or full. It implements rollout.Notifier.
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

var _ rollout.Notifier = (*notifier)(nil)

// datagram is what routers tell each other; one of the first three fields is set.
type datagram struct {
	Rollout *rollout.Notification `cbor:"1,keyasint,omitempty"`
	Health  *health.Notification  `cbor:"2,keyasint,omitempty"`
	Quota   *quota.Datagram       `cbor:"3,keyasint,omitempty"`
	Permit  *canary.Permit        `cbor:"4,keyasint,omitempty"`
	Report  *canary.Report        `cbor:"5,keyasint,omitempty"`
	// Quarantine tells of requests under which back ends crashed.
	Quarantine []quarantine.Evidence `cbor:"7,keyasint,omitempty"`
	// News tells what back ends said of themselves, Limit is about grants of requests to them.
	News  []backend.StateUpdate `cbor:"8,keyasint,omitempty"`
	Limit *limitMessage         `cbor:"9,keyasint,omitempty"`
	// Scope says to whom the receiver passes the notice on.
	Scope scope `cbor:"6,keyasint,omitempty"`
}

// listenNotifications opens the socket for notices at an address.
func listenNotifications(addr netip.AddrPort, backends *backend.Registry, told *recipients) (*notifier, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen for notices")
	}
	return &notifier{socket: socket, backends: backends, recipients: told}, nil
}

// Notify implements rollout.Notifier.
func (n *notifier) Notify(notice rollout.Notification) {
	n.take(&notice)
	for _, part := range splitNotice(notice) {
		// It is told once only, so that it goes by two relays where there are some.
		n.send(datagram{Rollout: &part})
		n.carry(datagram{Rollout: &part}, n.recipients.again())
	}
}

// notifyHealth tells all routers, this one included, what checks of engines found.
func (n *notifier) notifyHealth(notice health.Notification) {
	n.takeHealth(&notice)
	for _, part := range splitHealth(notice) {
		n.send(datagram{Health: &part})
	}
}

// sendCrashEvidence tells all other routers of requests under which back ends crashed.
func (n *notifier) sendCrashEvidence(told []quarantine.Evidence) { n.send(datagram{Quarantine: told}) }

// sendStateUpdates tells all other routers what back ends said of themselves.
func (n *notifier) sendStateUpdates(news []backend.StateUpdate) {
	for part := range slices.Chunk(news, updatesPerDatagram) {
		n.send(datagram{News: part})
	}
}

// send sends a datagram to all other routers.
func (n *notifier) send(told datagram) { n.carry(told, n.recipients.tell()) }

// carry sends a datagram as the messages say.
func (n *notifier) carry(told datagram, messages []message) {
	var encoded [toRegion + 1][]byte
	for _, message := range messages {
		if encoded[message.scope] == nil {
			told.Scope = message.scope
			data, err := cbor.Marshal(told)
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
func (n *notifier) sendTo(to netip.AddrPort, told datagram) {
	encoded, err := cbor.Marshal(told)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("notice_not_sent")
		return
	}
	// What is lost is sent again, or missed by its receiver.
	_, _ = n.socket.WriteToUDPAddrPort(encoded, to)
}

// splitHealth returns notices that fit into a datagram each.
func splitHealth(notice health.Notification) []health.Notification {
	var parts []health.Notification
	for len(notice.Silent)+len(notice.Answering)+len(notice.Queues)+len(notice.Gone) > 0 {
		var part health.Notification
		room := enginesPerNotification
		part.Silent, notice.Silent, room = splitOff(notice.Silent, room)
		part.Answering, notice.Answering, room = splitOff(notice.Answering, room)
		part.Queues, notice.Queues, room = splitOff(notice.Queues, room)
		part.Gone, notice.Gone, _ = splitOff(notice.Gone, room)
		parts = append(parts, part)
	}
	return parts
}

// splitNotice returns notices that fit into a datagram each.
func splitNotice(notice rollout.Notification) []rollout.Notification {
	var parts []rollout.Notification
	for len(notice.Loading)+len(notice.Loaded)+len(notice.Unsettled)+len(notice.Quiescing) > 0 {
		part := rollout.Notification{
			Model: notice.Model, Version: notice.Version, LoadTime: notice.LoadTime, QuiesceTime: notice.QuiesceTime,
		}
		room := enginesPerNotification
		part.Loading, notice.Loading, room = splitOff(notice.Loading, room)
		part.Loaded, notice.Loaded, room = splitOff(notice.Loaded, room)
		part.Unsettled, notice.Unsettled, room = splitOff(notice.Unsettled, room)
		part.Quiescing, notice.Quiescing, _ = splitOff(notice.Quiescing, room)
		parts = append(parts, part)
	}
	return parts
}

// splitOff takes what there is room for, and returns the room that is left.
func splitOff[T any](told []T, room int) (taken, rest []T, left int) {
	count := min(len(told), room)
	return told[:count], told[count:], room - count
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
	var told datagram
	if cbor.Unmarshal(encoded, &told) != nil {
		return
	}
	// Only notices are passed on: permits, reports and messages about limits count by their
	// sender, and would come from a router of the roster once this one has sent them.
	n.carry(datagram{Rollout: told.Rollout, Health: told.Health, Quarantine: told.Quarantine, News: told.News}, n.recipients.passOn(told.Scope))
	if told.Rollout != nil {
		n.take(told.Rollout)
	}
	if told.Health != nil {
		n.takeHealth(told.Health)
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	// Routers that started together know each other a count of the routers later: what they
	// could not tell is answered to who can tell them.
	if lacks := n.guard.Merge(clock.Now(), told.Quarantine); len(lacks) > 0 {
		n.sendTo(from, datagram{Quarantine: lacks})
	}
	if told.Quota != nil && n.quotas != nil {
		if msg := told.Quota.Message(); msg != nil {
			n.quotas.receive(from, msg)
		}
	}
	n.updates.applyUpdates(told.News)
	if n.limits != nil && told.Limit != nil {
		n.limits.receive(from, told.Limit)
	}
	if n.canaries != nil {
		n.canaries.receive(from, &told)
	}
}

// takeHealth takes in which engines are silent and at which requests wait.
func (n *notifier) takeHealth(notice *health.Notification) {
	now := clock.Now()
	n.backends.PeerSilent(now, notice.Silent)
	n.backends.PeerAnswering(notice.Answering)
	n.backends.PeerGone(now, notice.Gone)
	for _, queue := range notice.Queues {
		n.backends.PeerQueue(now, queue.Instance, queue.Waiting)
	}
}

// take takes in a notice.
func (n *notifier) take(notice *rollout.Notification) {
	now := clock.Now()
	for _, instance := range notice.Loading {
		n.backends.MarkLoading(now, instance, notice.Model, notice.Version, notice.LoadTime)
	}
	for _, instance := range notice.Quiescing {
		n.backends.MarkLoading(now, instance, notice.Model, notice.Version, notice.QuiesceTime+notice.LoadTime)
	}
	for _, instance := range notice.Loaded {
		n.backends.ObserveVersion(instance, notice.Model, notice.Version)
	}
	for _, instance := range notice.Unsettled {
		n.backends.CancelLoading(instance, notice.Model, notice.Version)
	}
	log.WithFields(log.Fields{
		"model": notice.Model, "version": notice.Version, "loading": notice.Loading, "loaded": notice.Loaded,
		"unsettled": notice.Unsettled, "emptying": notice.Quiescing,
	}).Info("engines_change")
}
