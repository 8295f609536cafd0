package node

import (
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/health"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// connect lets the parts of the node send and receive by a socket.
func (n *Node) connect(socket *notifier) {
	socket.quotas, socket.guard = n.quotas, n.quarantines.Guard
	n.notifier.Store(socket)
	n.quotas.send = socket.sendQuota
	socket.limits, socket.updates = n.limits, n.updates
	n.limits.connect(socket)
	n.updates.send = socket.sendStateUpdates
	n.updates.sendFull = func(instance ident.Incarnation) {
		socket.send(datagram{Health: &health.Notification{Full: []ident.Incarnation{instance}}})
	}
	n.updates.sendOverloads = func(overloads []backend.ServiceOverload) { socket.send(datagram{Overloads: overloads}) }
	n.canaries.connect(socket)
	n.streams.connect(socket)
	n.follower.announce, socket.onJoined = socket.announceJoin, n.follower.observeJoined
}
