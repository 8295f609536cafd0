package node

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/inbound"
)

// startRouter runs a router until the test ends, and returns once it is ready. It receives
// requests through its forwarder only. changes modify its configuration.
func startRouter(t *testing.T, node ident.Node, ports Ports, changes ...func(*Config)) *testRouter {
	t.Helper()
	config := Config{
		Node: node, Zone: "z", FrontAddress: freeAddress(t), ReadyAddress: freeAddress(t), ReadyPath: "/ready",
		PeerAddr: netip.MustParseAddrPort(freeAddress(t)),
		Follow: FollowConfig{
			ConfigurationInterval: 200 * time.Millisecond, BackendInterval: 200 * time.Millisecond,
			ReadTimeout: time.Second, RetryPause: 10 * time.Millisecond, RouterListInterval: time.Second,
		},
		Forward: forward.Config{
			Freshness: catalog.Freshness{Keyed: time.Minute, Denial: time.Minute},
			Retries:   admission.WindowConfig{Window: 10 * time.Second, Share: 0.2},
		},
		GracePeriod: time.Second, ShutdownDelay: time.Millisecond,
	}
	for _, change := range changes {
		change(&config)
	}
	var forwarder *forward.Forwarder
	ports.Front = func(made *forward.Forwarder, _ *catalog.Holder, _ func() bool, _ *inbound.Clients) http.Handler {
		forwarder = made
		return http.NotFoundHandler()
	}
	running := New(config, ports)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		err := running.Run(ctx)
		if err != nil {
			t.Errorf("the router %s ended: %v", node, err)
		}
		ended <- err
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	t.Cleanup(stop)
	waitForReadyStatus(t, config, http.StatusOK)
	return &testRouter{forwarder: forwarder, stop: stop}
}
