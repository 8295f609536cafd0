package router

import (
	"context"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/peer"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
	"github.com/fieldpond/fieldpond/internal/ring"
)

const (
	// directorySenders is the number of goroutines that send directory messages.
	directorySenders = 4
	// directoryRing is the capacity of the send ring.
	directoryRing = 1024
	// directoryTimeout bounds the delivery of one message.
	directoryTimeout = time.Second
	// methodDirectory delivers a message to another router's directory.
	methodDirectory = "directory.message"
)

// directoryDelivery is one directory message on the wire.
type directoryDelivery struct {
	From    ident.Node        `cbor:"1,keyasint"`
	Message directory.Message `cbor:"2,keyasint"`
}

// directoryAck confirms a delivery.
type directoryAck struct{}

// directorySender delivers directory messages to other routers, without retries:
// a lost message costs only a recomputation.
type directorySender struct {
	peers    *peer.Client
	self     ident.Node
	view     func() membership.View
	messages *ring.Ring[directory.Envelope]
}

func newDirectorySender(peers *peer.Client, self ident.Node, view func() membership.View) *directorySender {
	return &directorySender{
		peers: peers, self: self, view: view,
		messages: ring.New[directory.Envelope]("directory-messages", directoryRing, ring.DropOldest),
	}
}

// push queues a message; it never blocks.
func (s *directorySender) push(envelope directory.Envelope) { s.messages.Push(envelope) }

// run sends queued messages until ctx ends.
func (s *directorySender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.messages.Ready():
		}
		for envelope, ok := s.messages.Pop(); ok; envelope, ok = s.messages.Pop() {
			s.send(ctx, envelope)
		}
	}
}

func (s *directorySender) send(ctx context.Context, envelope directory.Envelope) {
	for _, member := range s.view().Members {
		if member.Node != envelope.To {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, directoryTimeout)
		defer cancel()
		var ack directoryAck
		_ = s.peers.Call(bounded, member.HTTPAddress, methodDirectory,
			directoryDelivery{s.self, envelope.Message}, &ack)
		return
	}
}

// serveDirectory receives a directory message from another router.
func (r *Router) serveDirectory(_ context.Context, delivery directoryDelivery) (directoryAck, error) {
	r.placementRunner.HandleDirectoryMessage(delivery.From, delivery.Message)
	return directoryAck{}, nil
}
