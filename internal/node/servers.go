package node

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

const (
	// idleTimeout is how long a resting connection of a client is kept. It is
	// longer than any client lets one rest.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 30 * time.Second
)

// server is one HTTP server of a node with what it listens on.
type server struct {
	*http.Server
	purpose  string
	listener net.Listener
}

// servers are the HTTP servers of a node; the first takes client requests.
type servers []*server

func (n *Node) servers() servers {
	forwarder := forward.New(n.config.Forward, forward.Dependencies{
		Holder: n.holder, Backends: n.backends, Caller: n.ports.Caller, Record: recordTo(n.metrics),
		Routers: n.follower.replica.Routers, Caches: n.follower.replica.caches, Quotas: n.quotas,
		Releases: n.releases(),
	})
	var front http.Handler
	if n.ports.Front != nil {
		front = n.ports.Front(forwarder, n.holder, n.stopping.Load)
	}
	all := servers{
		newServer("client requests", n.config.FrontAddress, front),
		newServer("readiness checks", n.config.ReadyAddress, http.HandlerFunc(n.answerReady)),
	}
	if n.config.PeerAddr.IsValid() {
		peers := upstream.NewServer(n.follower.replica, n.follower.chain.followed)
		all = append(all, newServer("pulls of other routers", n.config.PeerAddr.String(), peers))
	}
	if n.config.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("GET "+n.config.MetricsPath, n.metrics.handler())
		all = append(all, newServer("metrics", n.config.MetricsAddress, mux))
	}
	return all
}

// releases returns what guards services that are moved to another release, if anything.
func (n *Node) releases() forward.Releases {
	if n.canaries == nil {
		return nil
	}
	return n.canaries
}

func newServer(purpose, address string, handler http.Handler) *server {
	return &server{purpose: purpose, Server: &http.Server{
		Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: quietLog,
	}}
}

// listen opens all listeners, or none.
func (s servers) listen() error {
	for index, opening := range s {
		listener, err := net.Listen("tcp4", opening.Addr)
		if err != nil {
			s[:index].close()
			return errors.Wrap(err, "listen for "+opening.purpose)
		}
		opening.listener = listener
	}
	return nil
}

// close closes the listeners of servers that do not serve yet.
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
