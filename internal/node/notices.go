package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/health"
	"github.com/fieldpond/fieldpond/internal/quota"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

const (
	// maxNoticeBytes bounds one datagram of a notice.
	maxNoticeBytes = 1400
	// noticeEngines bounds the engines named in one datagram.
	noticeEngines = 40
)

// notices carries notices to all routers, as datagrams without an answer: those of
// the holder of the lease about engines that change, and those of the first router of
// each zone about engines that are silent or full. It implements rollout.Announcer.
type notices struct {
	socket   *net.UDPConn
	backends *backend.Registry
	// peers returns the addresses of all other routers.
	peers func() []netip.AddrPort
	// quotas takes in what other routers tell of limits; it may be nil.
	quotas *quotas
}

var _ rollout.Announcer = (*notices)(nil)

// datagram is what routers tell each other; one field is set.
type datagram struct {
	Rollout *rollout.Notice `cbor:"1,keyasint,omitempty"`
	Health  *health.Notice  `cbor:"2,keyasint,omitempty"`
	Quota   *quota.Datagram `cbor:"3,keyasint,omitempty"`
}

// listenNotices opens the socket for notices at an address.
func listenNotices(addr netip.AddrPort, backends *backend.Registry, peers func() []netip.AddrPort) (*notices, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen for notices")
	}
	return &notices{socket: socket, backends: backends, peers: peers}, nil
}

// Announce implements rollout.Announcer.
func (n *notices) Announce(notice rollout.Notice) {
	n.take(&notice)
	for _, part := range splitNotice(notice) {
		n.send(datagram{Rollout: &part})
	}
}

// tellHealth tells all routers, this one included, what checks of engines found.
func (n *notices) tellHealth(notice health.Notice) {
	n.takeHealth(&notice)
	for _, part := range splitHealth(notice) {
		n.send(datagram{Health: &part})
	}
}

// send sends a datagram to all other routers.
func (n *notices) send(told datagram) {
	encoded, err := cbor.Marshal(told)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("notice_not_sent")
		return
	}
	for _, addr := range n.peers() {
		// A datagram that cannot be sent is a notice that is lost.
		_, _ = n.socket.WriteToUDPAddrPort(encoded, addr)
	}
}

// sendQuota sends a message about the limits of tenants to one router.
func (n *notices) sendQuota(envelope quota.Envelope) {
	encoded, err := cbor.Marshal(datagram{Quota: quota.Pack(envelope.Message)})
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("notice_not_sent")
		return
	}
	// What is lost is sent again, or missed by its receiver.
	_, _ = n.socket.WriteToUDPAddrPort(encoded, envelope.To)
}

// splitHealth returns notices that fit into a datagram each.
func splitHealth(notice health.Notice) []health.Notice {
	var parts []health.Notice
	for len(notice.Silent)+len(notice.Answering)+len(notice.Queues) > 0 {
		var part health.Notice
		room := noticeEngines
		part.Silent, notice.Silent, room = splitOff(notice.Silent, room)
		part.Answering, notice.Answering, room = splitOff(notice.Answering, room)
		part.Queues, notice.Queues, _ = splitOff(notice.Queues, room)
		parts = append(parts, part)
	}
	return parts
}

// splitNotice returns notices that fit into a datagram each.
func splitNotice(notice rollout.Notice) []rollout.Notice {
	var parts []rollout.Notice
	for len(notice.Loading)+len(notice.Loaded)+len(notice.Unsettled)+len(notice.Emptying) > 0 {
		part := rollout.Notice{
			Model: notice.Model, Version: notice.Version, LoadTime: notice.LoadTime, EmptyTime: notice.EmptyTime,
		}
		room := noticeEngines
		part.Loading, notice.Loading, room = splitOff(notice.Loading, room)
		part.Loaded, notice.Loaded, room = splitOff(notice.Loaded, room)
		part.Unsettled, notice.Unsettled, room = splitOff(notice.Unsettled, room)
		part.Emptying, notice.Emptying, _ = splitOff(notice.Emptying, room)
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
func (n *notices) listen(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.socket.Close() })
	defer stop()
	buffer := make([]byte, maxNoticeBytes)
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
func (n *notices) receive(from netip.AddrPort, encoded []byte) {
	var told datagram
	if cbor.Unmarshal(encoded, &told) != nil {
		return
	}
	if told.Rollout != nil {
		n.take(told.Rollout)
	}
	if told.Health != nil {
		n.takeHealth(told.Health)
	}
	if told.Quota != nil && n.quotas != nil {
		if msg := told.Quota.Message(); msg != nil {
			n.quotas.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), msg)
		}
	}
}

// takeHealth takes in which engines are silent and at which requests wait.
func (n *notices) takeHealth(notice *health.Notice) {
	now := time.Now()
	n.backends.ToldSilent(now, notice.Silent)
	n.backends.ToldAnswering(notice.Answering)
	for _, queue := range notice.Queues {
		n.backends.ToldQueue(now, queue.Instance, queue.Waiting)
	}
}

// take takes in a notice.
func (n *notices) take(notice *rollout.Notice) {
	now := time.Now()
	for _, instance := range notice.Loading {
		n.backends.Loading(now, instance, notice.Model, notice.Version, notice.LoadTime)
	}
	for _, instance := range notice.Emptying {
		n.backends.Loading(now, instance, notice.Model, notice.Version, notice.EmptyTime+notice.LoadTime)
	}
	for _, instance := range notice.Loaded {
		n.backends.VersionSeen(instance, notice.Model, notice.Version)
	}
	for _, instance := range notice.Unsettled {
		n.backends.NotLoading(instance, notice.Model, notice.Version)
	}
	log.WithFields(log.Fields{
		"model": notice.Model, "version": notice.Version, "loading": notice.Loading, "loaded": notice.Loaded,
		"unsettled": notice.Unsettled, "emptying": notice.Emptying,
	}).Info("engines_change")
}
