package peer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/fault"
)

const (
	// dialTimeout bounds opening a connection.
	dialTimeout = 2 * time.Second
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 30 * time.Second
	// Few idle connections suffice: a router calls only a few others often.
	maxIdle        = 64
	maxIdlePerHost = 2
	idleTimeout    = 60 * time.Second
	// unreachableRetryAfter is the retry delay for a router that did not answer.
	unreachableRetryAfter = time.Second
)

// Client calls other routers. It is safe for concurrent use.
type Client struct {
	sealer  *sealer
	maxBody int64
	http    *http.Client
}

// NewClient returns a client. maxBody bounds requests and replies in bytes;
// zero means DefaultMaxBody.
func NewClient(clusterKey []byte, maxBody int64) (*Client, error) {
	sealer, err := newSealer(clusterKey)
	if err != nil {
		return nil, err
	}
	if maxBody <= 0 {
		maxBody = DefaultMaxBody
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		sealer:  sealer,
		maxBody: maxBody,
		http: &http.Client{
			Transport: transport,
			Timeout:   callTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends request to the method of the router at address (HOST:PORT) and decodes its
// reply into reply, a pointer. Every error is a *fault.Fault, either from the other router
// or from this client. If the call is cut off, it is unknown whether the method ran; methods
// are idempotent, so a retry is safe.
func (c *Client) Call(ctx context.Context, address, method string, request, reply any) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode the request of peer method %q", method)
	}
	if int64(len(body)) > c.maxBody {
		return tooLarge(method)
	}
	var random [nonceSize]byte
	_, _ = rand.Read(random[:]) // never returns an error
	nonce := hex.EncodeToString(random[:])
	response, err := c.post(ctx, address, method, nonce, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, c.maxBody+1))
	if err != nil {
		return callFailed(ctx, err, address, method).WithRan(fault.RanUnknown)
	}
	if int64(len(answer)) > c.maxBody {
		return fault.New(fault.TooLarge, "the reply of %s to peer method %q exceeds %d bytes", address, method, c.maxBody).
			WithRan(fault.RanUnknown)
	}
	return c.decodeReply(response, address, method, nonce, answer, reply)
}

func (c *Client) post(ctx context.Context, address, method, nonce string, body []byte) (*http.Response, error) {
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Prefix+method, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the address %q of a router is malformed", address)
	}
	outgoing.Header.Set("Content-Type", contentType)
	outgoing.Header.Set(nonceHeader, nonce)
	outgoing.Header.Set(macHeader, c.sealer.requestMAC(method, nonce, body))
	response, err := c.http.Do(outgoing)
	if err != nil {
		return nil, callFailed(ctx, err, address, method)
	}
	return response, nil
}

// decodeReply verifies and decodes an answer.
func (c *Client) decodeReply(response *http.Response, address, method, nonce string, answer []byte, reply any) error {
	expected := c.sealer.replyMAC(method, nonce, response.StatusCode, answer)
	if !hmac.Equal([]byte(expected), []byte(response.Header.Get(macHeader))) {
		if response.StatusCode == http.StatusRequestEntityTooLarge {
			return tooLarge(method)
		}
		return fault.New(fault.Unauthorized, "the reply of %s to peer method %q (status %d) is not authenticated with this cluster's key", address, method, response.StatusCode).
			WithRemedy("give every router of the cluster the same cluster key").WithRan(fault.RanUnknown)
	}
	target := reply
	var received wireFault
	if response.StatusCode != http.StatusOK {
		target = &received
	}
	if err := c.sealer.decode(answer, target); err != nil {
		return fault.Wrap(err, fault.Internal, "cannot decode the reply of %s to peer method %q", address, method).
			WithRemedy("run router versions that share a peer protocol").WithRan(fault.RanUnknown)
	}
	if response.StatusCode != http.StatusOK {
		return received.fault()
	}
	return nil
}

func tooLarge(method string) *fault.Fault {
	return fault.New(fault.TooLarge, "the request of peer method %q exceeds the limit of a router", method)
}

func callFailed(ctx context.Context, cause error, address, method string) *fault.Fault {
	if ctx.Err() != nil {
		return fault.Wrap(cause, fault.Timeout, "router %s did not answer peer method %q in time", address, method).
			WithRan(fault.RanUnknown)
	}
	return fault.Wrap(cause, fault.BackendLost, "router %s did not answer peer method %q", address, method).
		WithRemedy("ask another router, or retry after the stated time").
		WithRetryAfter(unreachableRetryAfter).WithRan(fault.RanUnknown)
}
