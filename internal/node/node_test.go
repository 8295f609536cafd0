package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/addrtest"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/inbound"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

func gatherMetrics(t *testing.T, counters *metrics) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	counters.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	return recorder.Body.String()
}

// idleEngines sends no orders, and its reports are empty.
type idleEngines struct{}

// Order implements rollout.Engines.
func (idleEngines) Order(context.Context, *rollout.Order) rollout.Result { return rollout.NotSent }

// Report implements rollout.Engines.
func (idleEngines) Report(context.Context, backend.Record) (*rollout.Report, error) {
	return &rollout.Report{}, nil
}

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	return addrtest.Free(t).String()
}

// startNode runs a node whose front handler answers after a pause.
func startNode(t *testing.T, store *fakeStore, pause time.Duration) (config Config, stop func(), ended chan error) {
	t.Helper()
	return startNodeAt(t, store, pause, netip.AddrPort{})
}

// startNodeAt is startNode for a node that serves pulls at an address.
func startNodeAt(t *testing.T, store *fakeStore, pause time.Duration, peerAddr netip.AddrPort) (config Config, stop func(), ended chan error) {
	t.Helper()
	config = Config{
		Node: "n", Zone: "z", FrontAddress: freeAddress(t), ReadyAddress: freeAddress(t), ReadyPath: "/ready",
		MetricsAddress: freeAddress(t), MetricsPath: "/metrics", PeerAddr: peerAddr,
		Follow: FollowConfig{
			ConfigurationInterval: 20 * time.Millisecond, BackendInterval: 20 * time.Millisecond,
			ReadTimeout: time.Second, RetryPause: 10 * time.Millisecond, RouterListInterval: time.Second,
		},
		Forward:     forward.Config{Freshness: catalog.Freshness{Keyed: time.Minute}},
		GracePeriod: 5 * time.Second, ShutdownDelay: 150 * time.Millisecond,
	}
	running := New(config, Ports{
		Source: store, Table: store, Engines: idleEngines{},
		Front: func(_ *forward.Forwarder, _ *catalog.Holder, closing func() bool, _ *inbound.Clients) http.Handler {
			return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				time.Sleep(pause)
				if closing() {
					writer.Header().Set("Connection", "close")
				}
				_, _ = io.WriteString(writer, "ok")
			})
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended = make(chan error, 1)
	go func() { ended <- running.Run(ctx) }()
	return config, cancel, ended
}

// getStatus retries a request until it is answered, and returns the status.
func getStatus(t *testing.T, address, path string) int {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 200 {
		response, err := client.Get("http://" + address + path)
		if err == nil {
			_ = response.Body.Close()
			return response.StatusCode
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no answer")
	return 0
}

// waitForReadyStatus waits until the readiness check answers with a status.
func waitForReadyStatus(t *testing.T, config Config, wanted int) {
	t.Helper()
	last := 0
	for range 400 {
		if last = getStatus(t, config.ReadyAddress, config.ReadyPath); last == wanted {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("the readiness check of %s never answered %d but %d", config.Node, wanted, last)
}

func TestNodeBecomesReady(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	store.down = true
	config, stop, ended := startNode(t, store, 0)
	is.Equal(getStatus(t, config.ReadyAddress, config.ReadyPath), http.StatusServiceUnavailable)
	is.Equal(getStatus(t, config.ReadyAddress, "/other"), http.StatusNotFound)
	store.change(func() { store.down, store.reading.Revision = false, 1 })
	waitForReadyStatus(t, config, http.StatusOK)
	is.Equal(getStatus(t, config.MetricsAddress, config.MetricsPath), http.StatusOK)
	stop()
	is.NoErr(<-ended)
}

// A stopping node first turns unready, still accepts new connections for a while, and finishes
// open requests.
func TestPlannedStopFinishesRequests(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	store.reading.Revision = 1
	config, stop, ended := startNode(t, store, 300*time.Millisecond)
	waitForReadyStatus(t, config, http.StatusOK)
	answers := make(chan error, 2)
	send := func() {
		response, err := http.Get("http://" + config.FrontAddress + "/")
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		answers <- err
	}
	go send()
	time.Sleep(50 * time.Millisecond)
	stop()
	waitForReadyStatus(t, config, http.StatusServiceUnavailable)
	go send() // load balancers have not removed the node yet
	is.NoErr(<-answers)
	is.NoErr(<-answers)
	is.NoErr(<-ended)
}

func TestAddressInUseIsAnError(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	store := newFakeStore()
	config := Config{Node: "n", FrontAddress: taken.Addr().String(), ReadyAddress: freeAddress(t)}
	err = New(config, Ports{Source: store, Table: store, Engines: idleEngines{}}).Run(t.Context())
	is.True(err != nil)
}
