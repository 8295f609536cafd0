package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/httpclient"
)

const (
	// pullTimeout bounds one pull, the time it is held back included.
	pullTimeout = maxHold + 500*time.Millisecond
	// ackTimeout is how long the bytes of a pull may stay unacknowledged: a silent
	// connection is found in time for another question within pullTimeout.
	ackTimeout = 500 * time.Millisecond
	// connectTimeout bounds opening a connection; peers are in one zone.
	connectTimeout = 250 * time.Millisecond
)

// Client pulls from peers. It is safe for concurrent use.
type Client struct {
	pool *exchange.Pool
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pool: exchange.NewPool(exchange.Options{ConnectTimeout: connectTimeout, UserTimeout: ackTimeout})}
}

// SilentConnections returns how many connections were found silent so far.
func (c *Client) SilentConnections() uint64 { return c.pool.Silent() }

// Pull asks a peer, and once more if the connection turns out to be silent. State of
// age A in the answer was true at the returned time less A, or later: the time counts
// from the question, which was asked before the peer began to hold its answer back.
func (c *Client) Pull(ctx context.Context, peer Peer, pull *Pull) (*Update, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	body, err := cbor.Marshal(pull)
	if err != nil {
		return nil, time.Time{}, errors.Wrap(err, "encode the pull")
	}
	update, askedAt, err := c.pullOnce(ctx, peer, body)
	var failed *exchange.Error
	if errors.As(err, &failed) && failed.Silent && ctx.Err() == nil {
		update, askedAt, err = c.pullOnce(ctx, peer, body)
	}
	return update, askedAt, err
}

// pullOnce asks a peer once.
func (c *Client) pullOnce(ctx context.Context, peer Peer, body []byte) (*Update, time.Time, error) {
	askedAt := clock.Now()
	rsp, err := c.pool.Do(ctx, peer.Addr.String(), &exchange.Request{
		Method: http.MethodPost, Target: Path, Host: peer.Addr.String(), Body: body,
	})
	if err != nil {
		return nil, time.Time{}, errors.Wrap(err, "pull from a peer")
	}
	data, err := httpclient.ReadBody(&http.Response{Body: rsp.Body, ContentLength: rsp.Length}, maxUpdateBytes)
	if err != nil {
		return nil, time.Time{}, errors.Wrap(err, "read the update of a peer")
	}
	if rsp.Status != http.StatusOK {
		return nil, time.Time{}, errors.Errorf("the peer answered with status %d", rsp.Status)
	}
	var update Update
	if err := cbor.Unmarshal(data, &update); err != nil {
		return nil, time.Time{}, errors.Wrap(err, "decode the update of a peer")
	}
	if err := update.validate(clock.Since(askedAt)); err != nil {
		return nil, time.Time{}, err
	}
	return &update, askedAt.Add(update.HeldFor), nil
}

// validate refuses an update that claims more than its time allows.
func (u *Update) validate(elapsed time.Duration) error {
	if u.HeldFor < 0 || u.HeldFor > elapsed || u.Configuration.Age < 0 || u.List.Age < 0 || u.RoutersAge < 0 {
		return errors.New("the peer's times are not possible")
	}
	if rollouts := u.Configuration.Rollouts; rollouts != nil && rollouts.Age < 0 {
		return errors.New("the peer's times are not possible")
	}
	for _, publication := range u.Configuration.Publications {
		if publication.Age < 0 {
			return errors.New("the peer's times are not possible")
		}
	}
	for _, cache := range u.Caches {
		if cache.Age < 0 {
			return errors.New("the peer's times are not possible")
		}
	}
	return nil
}
