package router

import (
	"context"
	"net/http"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/peer"
)

// The methods that routers call on each other.
const (
	methodFleetHead  = "fleet.head"
	methodFleetBody  = "fleet.body"
	methodStreamKeep = "stream.keep"
)

// headRequest asks for the fleet file in force.
type headRequest struct{}

// headResponse identifies the fleet file in force; version 0 means none.
type headResponse struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
}

// bodyRequest asks for the body of a fleet file.
type bodyRequest struct {
	Digest string `cbor:"1,keyasint"`
}

// bodyResponse holds the body of a fleet file.
type bodyResponse struct {
	Body []byte `cbor:"1,keyasint"`
}

// keepRequest notifies a router that one of its streams was resumed at another
// router, so that it must not cancel the stream.
type keepRequest struct {
	Stream ident.Stream `cbor:"1,keyasint"`
}

// keepResponse confirms a keepRequest.
type keepResponse struct{}

// keepTimeout bounds the call that keeps a stream.
const keepTimeout = 2 * time.Second

// keepStream asks the router that opened a stream to keep it, in the background: a
// lost call costs the caller an explicit break of the stream, never a wrong end.
func (r *Router) keepStream(node ident.Node, stream ident.Stream) {
	for _, member := range r.view().Members {
		if member.Node != node || member.State == membership.Dead {
			continue
		}
		r.background.Go(func() {
			bounded, cancel := context.WithTimeout(context.Background(), keepTimeout)
			defer cancel()
			var kept keepResponse
			_ = r.peers.Call(bounded, member.HTTPAddress, methodStreamKeep, keepRequest{stream}, &kept)
		})
		return
	}
}

// peerHandler serves the calls of other routers.
func (r *Router) peerHandler() (http.Handler, error) {
	server, err := peer.NewServer(r.settings.Key().Reveal(), maxPeerBytes)
	if err != nil {
		return nil, err
	}
	r.peerServer = server
	if err := peer.Handle(server, methodFleetHead, r.serveHead); err != nil {
		return nil, err
	}
	if err := peer.Handle(server, methodFleetBody, r.serveBody); err != nil {
		return nil, err
	}
	if err := peer.Handle(server, methodDirectory, r.serveDirectory); err != nil {
		return nil, err
	}
	if err := peer.Handle(server, methodQuarantine, r.quarantines.serve); err != nil {
		return nil, err
	}
	return server, peer.Handle(server, methodStreamKeep, r.serveKeep)
}

func (r *Router) serveHead(context.Context, headRequest) (headResponse, error) {
	ref := r.syncer.CurrentRef()
	return headResponse{uint64(ref.Version), string(ref.Digest)}, nil
}

func (r *Router) serveBody(_ context.Context, request bodyRequest) (bodyResponse, error) {
	body, found := r.syncer.Body(fleet.Digest(request.Digest))
	if !found {
		return bodyResponse{}, fault.New(fault.NotReady, "this router does not have the requested fleet file")
	}
	return bodyResponse{body}, nil
}

func (r *Router) serveKeep(_ context.Context, request keepRequest) (keepResponse, error) {
	r.dispatch.KeepStream(request.Stream)
	return keepResponse{}, nil
}

// peerFetcher implements fleet.PeerFetcher.
type peerFetcher struct {
	client *peer.Client
}

// FetchHead implements fleet.PeerFetcher.
func (f peerFetcher) FetchHead(ctx context.Context, address string) (fleet.FileRef, error) {
	var response headResponse
	err := f.client.Call(ctx, address, methodFleetHead, headRequest{}, &response)
	return fleet.FileRef{Version: fleet.Version(response.Version), Digest: fleet.Digest(response.Digest)}, err
}

// FetchBody implements fleet.PeerFetcher.
func (f peerFetcher) FetchBody(ctx context.Context, address string, digest fleet.Digest) ([]byte, error) {
	var response bodyResponse
	err := f.client.Call(ctx, address, methodFleetBody, bodyRequest{string(digest)}, &response)
	return response.Body, err
}
