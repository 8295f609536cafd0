package node

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/health"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quota"
	"github.com/fieldpond/fieldpond/internal/rollout"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

func TestNotificationsReachOtherRouters(t *testing.T) {
	is := is.New(t)
	listed := func() *backend.Registry {
		known := backend.NewRegistry(backend.Config{})
		var records []backend.Record
		for index := range 100 {
			records = append(records, backend.Record{
				Instance: ident.Incarnation(fmt.Sprintf("i-%03d", index)), Service: "s", Models: map[ident.Model]int{model: 1},
			})
		}
		known.ApplyList(time.Now(), records)
		return known
	}
	open := func(known *backend.Registry, peers ...netip.AddrPort) *notifier {
		opened, err := listenNotifications(netip.MustParseAddrPort("127.0.0.1:0"), known, recipientsOf(peers...))
		is.NoErr(err)
		go opened.listen(t.Context())
		return opened
	}
	other := listed()
	addr := open(other).socket.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	own := listed()
	holder := open(own, addr)
	_, err := holder.socket.WriteToUDPAddrPort([]byte("garbage"), addr)
	is.NoErr(err)
	notification := rollout.Notification{Model: model, Version: 2}
	for _, record := range own.Records() {
		notification.Loading = append(notification.Loading, record.Instance)
	}
	holder.Notify(notification)
	query := &backend.Query{Service: "s", Model: model}
	for _, known := range []*backend.Registry{own, other} {
		eventually(t, func() bool {
			_, attempt, found := known.Pick(time.Now(), query)
			if found {
				attempt.End(time.Now(), backend.Abandoned)
			}
			return !found
		})
	}
	holder.Notify(rollout.Notification{Model: model, Version: 2, Loaded: []ident.Incarnation{"i-007"}})
	eventually(t, func() bool {
		choice, attempt, found := other.Pick(time.Now(), query)
		if found {
			attempt.End(time.Now(), backend.Abandoned)
		}
		return found && choice.Instance == "i-007" && choice.Version == 2
	})
	holder.Notify(rollout.Notification{Model: model, Version: 2, Unsettled: []ident.Incarnation{"i-009"}})
	query.Excluded = []ident.Incarnation{"i-007"}
	eventually(t, func() bool {
		choice, _, found := other.Pick(time.Now(), query)
		return found && choice.Instance == "i-009" && choice.Version == 1
	})
}

func TestHealthNotificationsReachOtherRouters(t *testing.T) {
	is := is.New(t)
	listed := func() *backend.Registry {
		known := backend.NewRegistry(backend.Config{})
		known.ApplyList(time.Now(), []backend.Record{
			{Instance: "a", Service: "s", Models: map[ident.Model]int{model: 1}},
			{Instance: "b", Service: "s", Models: map[ident.Model]int{model: 1}},
		})
		return known
	}
	other, err := listenNotifications(netip.MustParseAddrPort("127.0.0.1:0"), listed(), recipientsOf())
	is.NoErr(err)
	go other.listen(t.Context())
	addr := other.socket.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	sender, err := listenNotifications(netip.MustParseAddrPort("127.0.0.1:0"), listed(), recipientsOf(addr))
	is.NoErr(err)
	defer func() { _ = sender.socket.Close() }()
	tests := []struct {
		name         string
		notification health.Notification
		want         ident.Incarnation
	}{
		{"a silent engine", health.Notification{Silent: []ident.Incarnation{"a"}}, "b"},
		{"an answering engine, and a queue at the other", health.Notification{
			Answering: []ident.Incarnation{"a"}, Queues: []health.Queue{{Instance: "b", Waiting: 9}},
		}, "a"},
		{"a back end that is gone", health.Notification{Gone: []ident.Incarnation{"a"}}, "b"},
	}
	for _, tt := range tests {
		sender.notifyHealth(tt.notification)
		for _, known := range []*backend.Registry{sender.backends, other.backends} {
			eventually(t, func() bool {
				choice, attempt, found := known.Pick(time.Now(), &backend.Query{Service: "s", Model: model})
				if found {
					attempt.End(time.Now(), backend.Abandoned)
				}
				return found && choice.Instance == tt.want
			})
		}
	}
}

// recipientsOf returns recipients that are routers at these addresses.
func recipientsOf(addrs ...netip.AddrPort) *recipients {
	var peers []upstream.Peer
	for index, addr := range addrs {
		peers = append(peers, upstream.Peer{Node: ident.Node(fmt.Sprint("n", index)), Addr: addr})
	}
	targets := &recipients{}
	targets.set(peers)
	return targets
}

// Contents that are trusted by their sender must not be relayed: a stranger's permit would then
// come from a router.
func TestOnlyNotificationsAreRelayed(t *testing.T) {
	is := is.New(t)
	local := netip.MustParseAddrPort("127.0.0.1:0")
	peer, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	is.NoErr(err)
	defer func() { _ = peer.Close() }()
	addr := peer.LocalAddr().(*net.UDPAddr).AddrPort()
	relay, err := listenNotifications(local, backend.NewRegistry(backend.Config{}), recipientsOf(addr))
	is.NoErr(err)
	defer func() { _ = relay.socket.Close() }()
	encoded, err := cbor.Marshal(datagram{
		Health: &health.Notification{Silent: []ident.Incarnation{"i-001"}},
		Permit: &canary.Permit{Fence: 1, Phase: canary.Succeeded}, Report: &canary.Report{Service: "s"},
		Quota: &quota.Datagram{}, Scope: toZone,
	})
	is.NoErr(err)
	relay.receive(netip.MustParseAddrPort("127.0.0.9:9"), encoded)
	is.NoErr(peer.SetReadDeadline(time.Now().Add(5 * time.Second)))
	buffer := make([]byte, maxDatagramBytes)
	count, err := peer.Read(buffer)
	is.NoErr(err)
	var passed datagram
	is.NoErr(cbor.Unmarshal(buffer[:count], &passed))
	is.True(passed.Health != nil)
	is.True(passed.Permit == nil)
	is.True(passed.Report == nil)
	is.True(passed.Quota == nil)
}

// Quiescing engines must get no new work until they have had the time to quiesce and to load.
func TestQuiescingEnginesGetNoNewWork(t *testing.T) {
	is := is.New(t)
	known := backend.NewRegistry(backend.Config{})
	known.ApplyList(time.Now(), []backend.Record{{Instance: "a", Service: "s", Models: map[ident.Model]int{model: 1}}})
	sender := &notifier{backends: known, recipients: recipientsOf()}
	sender.Notify(rollout.Notification{
		Model: model, Version: 2, Quiescing: []ident.Incarnation{"a"}, QuiesceTime: time.Minute, LoadTime: time.Hour,
	})
	tests := []struct {
		name  string
		after time.Duration
		found bool
	}{
		{"at once", 0, false},
		{"while it loads", 59 * time.Minute, false},
		{"after the time to quiesce and load", 62 * time.Minute, true},
	}
	for _, tt := range tests {
		_, _, found := known.Pick(time.Now().Add(tt.after), &backend.Query{Service: "s", Model: model})
		is.Equal(found, tt.found) // tt.name
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition did not become true")
}

func TestLongNotificationIsSplit(t *testing.T) {
	is := is.New(t)
	notification := rollout.Notification{Model: model, Version: 2, LoadTime: time.Second, QuiesceTime: time.Millisecond}
	for index := range 95 {
		notification.Loading = append(notification.Loading, ident.Incarnation(fmt.Sprint("l", index)))
	}
	for index := range 50 {
		notification.Loaded = append(notification.Loaded, ident.Incarnation(fmt.Sprint("d", index)))
	}
	for index := range 45 {
		notification.Unsettled = append(notification.Unsettled, ident.Incarnation(fmt.Sprint("u", index)))
	}
	for index := range 55 {
		notification.Quiescing = append(notification.Quiescing, ident.Incarnation(fmt.Sprint("e", index)))
	}
	var joined rollout.Notification
	for _, part := range splitRollout(notification) {
		is.True(len(part.Loading)+len(part.Loaded)+len(part.Unsettled)+len(part.Quiescing) <= enginesPerNotification)
		is.Equal(part.LoadTime, notification.LoadTime)
		is.Equal(part.QuiesceTime, notification.QuiesceTime)
		joined.Quiescing = append(joined.Quiescing, part.Quiescing...)
		joined.Unsettled = append(joined.Unsettled, part.Unsettled...)
		joined.Loading = append(joined.Loading, part.Loading...)
		joined.Loaded = append(joined.Loaded, part.Loaded...)
	}
	is.Equal(joined.Loading, notification.Loading)
	is.Equal(joined.Loaded, notification.Loaded)
	is.Equal(joined.Unsettled, notification.Unsettled)
	is.Equal(joined.Quiescing, notification.Quiescing)
	is.Equal(len(splitRollout(rollout.Notification{})), 0)
}
