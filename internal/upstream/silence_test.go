package upstream_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/relaytest"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// A pull on a silent connection is retried on a new one, and does not fail.
func TestPullIsRetriedOnSilentConnection(t *testing.T) {
	is := is.New(t)
	peer := serve(t, upstream.NewServer(newFakeState(), func(upstream.Peer) {}))
	relay := relaytest.New(t, peer.Addr)
	peer.Addr = relay.Addr()
	client := upstream.NewClient()
	pull := &upstream.Pull{From: upstream.Peer{Node: "asker", Addr: addr, Revision: 8}}
	_, _, err := client.Pull(t.Context(), peer, pull)
	is.NoErr(err)
	is.NoErr(relay.Silence())
	update, _, err := client.Pull(t.Context(), peer, pull)
	is.NoErr(err)
	is.Equal(update.Routers, 3)
	is.Equal(relay.Accepted(), 2)
	is.Equal(client.SilentConnections(), uint64(1))
}
