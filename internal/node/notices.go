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
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

const (
	// maxNoticeBytes bounds one datagram of a notice.
	maxNoticeBytes = 1400
	// noticeEngines bounds the engines named in one datagram.
	noticeEngines = 40
)

// notices carries notices of the holder of the lease to all routers, as datagrams
// without an answer. It implements rollout.Announcer.
type notices struct {
	socket   *net.UDPConn
	backends *backend.Registry
	// peers returns the addresses of all other routers.
	peers func() []netip.AddrPort
}

var _ rollout.Announcer = (*notices)(nil)

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
		encoded, err := cbor.Marshal(part)
		if err != nil {
			continue
		}
		for _, addr := range n.peers() {
			// A datagram that cannot be sent is a notice that is lost.
			_, _ = n.socket.WriteToUDPAddrPort(encoded, addr)
		}
	}
}

// splitNotice returns notices that fit into a datagram each.
func splitNotice(notice rollout.Notice) []rollout.Notice {
	var parts []rollout.Notice
	for len(notice.Loading)+len(notice.Loaded)+len(notice.Unsettled) > 0 {
		part := rollout.Notice{Model: notice.Model, Version: notice.Version}
		room := noticeEngines
		part.Loading, notice.Loading, room = splitOff(notice.Loading, room)
		part.Loaded, notice.Loaded, room = splitOff(notice.Loaded, room)
		part.Unsettled, notice.Unsettled, _ = splitOff(notice.Unsettled, room)
		parts = append(parts, part)
	}
	return parts
}

// splitOff takes what there is room for, and returns the room that is left.
func splitOff(instances []ident.Incarnation, room int) (taken, rest []ident.Incarnation, left int) {
	count := min(len(instances), room)
	return instances[:count], instances[count:], room - count
}

// listen takes in notices until ctx ends.
func (n *notices) listen(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.socket.Close() })
	defer stop()
	buffer := make([]byte, maxNoticeBytes)
	for ctx.Err() == nil {
		count, _, err := n.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var notice rollout.Notice
		if cbor.Unmarshal(buffer[:count], &notice) == nil {
			n.take(&notice)
		}
	}
}

// take takes in a notice.
func (n *notices) take(notice *rollout.Notice) {
	now := time.Now()
	for _, instance := range notice.Loading {
		n.backends.Loading(now, instance, notice.Model, notice.Version)
	}
	for _, instance := range notice.Loaded {
		n.backends.VersionSeen(instance, notice.Model, notice.Version)
	}
	for _, instance := range notice.Unsettled {
		n.backends.NotLoading(instance, notice.Model, notice.Version)
	}
	log.WithFields(log.Fields{
		"model": notice.Model, "version": notice.Version, "loading": notice.Loading, "loaded": notice.Loaded,
		"unsettled": notice.Unsettled,
	}).Info("engines_change")
}
