package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/inbound"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// idleTimeout bounds how long an idle connection is kept, except those of clients.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 30 * time.Second
	// Limits of a server for readiness checks or metrics: its connections, and in bytes the header of a request, the
	// memory of all headers, and what lies unread for each connection.
	smallConnections  = 64
	smallHeaderBytes  = 8 << 10
	smallHeadMemory   = 512 << 10
	smallReceiveBytes = 8 << 10
	// peerHeaderBytes limits the header of a request of another router.
	peerHeaderBytes = 16 << 10
	// unlimitedHeader is for net/http where the listener limits headers.
	unlimitedHeader = 1 << 30
)

// server is one HTTP server of a node and its listener.
type server struct {
	*http.Server
	purpose  string
	listener net.Listener
	// clients bounds the connections; it is nil except at the server of client requests.
	clients *inbound.Clients
}

// servers are the HTTP servers of a node; the first serves client requests.
type servers []*server

func (n *Node) servers() servers {
	forwarder := forward.New(n.config.Forward, forward.Dependencies{
		Holder: n.holder, Backends: n.backends, Caller: n.ports.Caller, Record: stepRecorder(n.metrics),
		Routers: n.follower.sharingRouters, Sharers: n.follower.replica.Sharers, Caches: n.follower.replica.caches, Quotas: n.quotas,
		Releases: n.releases(), Quarantine: n.quarantines, Limits: n.backendLimits(), Notifier: n.updates, Streams: n.streamOrigins(),
	})
	all := servers{
		n.newFront(forwarder),
		newSmallServer("readiness checks", n.config.ReadyAddress, http.HandlerFunc(n.serveReady)),
	}
	if n.config.PeerAddr.IsValid() {
		var peers http.Handler = upstream.NewServer(n.follower.replica, n.follower.observePull)
		if n.detours != nil {
			peers = n.detours.server.Handler(peers)
		}
		all = append(all, newServer("requests of other routers", n.config.PeerAddr.String(), peers))
	}
	if n.config.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("GET "+n.config.MetricsPath, n.metrics.handler())
		all = append(all, newSmallServer("metrics", n.config.MetricsAddress, mux))
	}
	return all
}

// releases returns the canaries, nil if canary rollouts are disabled.
func (n *Node) releases() forward.Releases {
	if n.canaries == nil {
		return nil
	}
	return n.canaries
}

// newFront returns the server of client requests. Its connections are bounded by n.clients
// in place of the timeouts of net/http.
func (n *Node) newFront(forwarder *forward.Forwarder) *server {
	var handler http.Handler
	if n.ports.Front != nil {
		handler = n.ports.Front(forwarder, n.holder, n.stopping.Load, n.clients)
	}
	return newBoundedServer("client requests", n.config.FrontAddress, handler, n.clients)
}

// newBoundedServer returns a server whose connections are bounded by clients.
func newBoundedServer(purpose, address string, handler http.Handler, clients *inbound.Clients) *server {
	return &server{purpose: purpose, clients: clients, Server: &http.Server{
		Addr: address, Handler: clients.Handler(handler), ErrorLog: discardLog,
		ConnContext: clients.ConnContext, ConnState: clients.ConnState, MaxHeaderBytes: unlimitedHeader,
	}}
}

// newSmallServer returns a server for a few connections and small requests.
func newSmallServer(purpose, address string, handler http.Handler) *server {
	clients := inbound.New(inbound.Config{
		MaxConnections: smallConnections, MaxHeadMemory: smallHeadMemory, ReceiveBytes: smallReceiveBytes,
		Limits: func() inbound.Limits { return inbound.Limits{Idle: idleTimeout, HeaderBytes: smallHeaderBytes} },
	})
	return newBoundedServer(purpose, address, handler, clients)
}

// sweep closes connections that are idle for too long, until ctx ends.
func (s servers) sweep(ctx context.Context) {
	wait.Every(ctx, inbound.SweepInterval, func() {
		now := clock.Now()
		for _, server := range s {
			if server.clients != nil {
				server.clients.Sweep(now)
			}
		}
	})
}

// clientLimits returns the limits of clients in the configuration in force.
func (n *Node) clientLimits() inbound.Limits {
	snapshot := n.holder.View().Snapshot
	if snapshot == nil {
		return inbound.Limits{}
	}
	limits := &snapshot.Limits
	return inbound.Limits{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout, HeaderBytes: limits.HeaderBytes}
}

func newServer(purpose, address string, handler http.Handler) *server {
	return &server{purpose: purpose, Server: &http.Server{
		Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: peerHeaderBytes, ErrorLog: discardLog,
	}}
}

// listen opens all listeners; if one fails it closes the others.
func (s servers) listen() error {
	for index, opening := range s {
		listener, err := opening.listenTCP()
		if err != nil {
			s[:index].close()
			return errors.Wrap(err, "listen for "+opening.purpose)
		}
		opening.listener = listener
	}
	return nil
}

func (s *server) listenTCP() (net.Listener, error) {
	if s.clients != nil {
		return s.clients.Listen(s.Addr)
	}
	return net.Listen("tcp4", s.Addr)
}

// close closes the listeners of servers that are not serving yet.
func (s servers) close() {
	for _, opened := range s {
		_ = opened.listener.Close()
	}
}

func (s *server) serve() error {
	if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve "+s.purpose)
	}
	return nil
}
