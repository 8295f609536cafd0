package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/answer"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/httpclient"
)

const (
	// pullTimeout bounds one pull, including the delay at the peer.
	pullTimeout = maxHold + 500*time.Millisecond
	// wholeListTime is the time by which a pull of a whole list may take longer: a peer sends it
	// to all its children at once, over a link that may be slow.
	wholeListTime = 4 * time.Second
	// ackTimeout is how long sent bytes may stay unacknowledged; a silent connection is
	// detected early enough for a retry within pullTimeout.
	ackTimeout = 500 * time.Millisecond
	// connectTimeout bounds opening a connection.
	connectTimeout = 250 * time.Millisecond
)

// Client pulls from peers. It is safe for concurrent use.
type Client struct {
	pool *exchange.Pool
}

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{pool: exchange.NewPool(exchange.Options{ConnectTimeout: connectTimeout, UserTimeout: ackTimeout})}
}

// SilentConnections returns the number of connections detected as silent so far.
func (c *Client) SilentConnections() uint64 { return c.pool.Silent() }

// TooLargeAnswers returns the number of answers of peers that exceeded a limit.
func (c *Client) TooLargeAnswers() uint64 { return c.pool.TooLarge() }

// MalformedAnswers returns the number of answers of peers that were none of HTTP/1, by what was wrong.
func (c *Client) MalformedAnswers() map[answer.Cause]uint64 { return c.pool.Malformed() }

// Pull pulls from a peer, and retries once if the connection turns out to be silent. State
// of age A in the answer was true at the returned time minus A, or later: the returned time
// is that of the request plus the delay at the peer.
func (c *Client) Pull(ctx context.Context, peer Peer, pull *Pull) (*Update, time.Time, error) {
	timeout := pullTimeout
	if pull.List == 0 {
		timeout += wholeListTime
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := cbor.Marshal(pull)
	if err != nil {
		return nil, time.Time{}, errors.Wrap(err, "encode the pull")
	}
	update, requestedAt, err := c.pullOnce(ctx, peer, body)
	var failed *exchange.Error
	if errors.As(err, &failed) && failed.Silent && ctx.Err() == nil {
		update, requestedAt, err = c.pullOnce(ctx, peer, body)
	}
	return update, requestedAt, err
}

func (c *Client) pullOnce(ctx context.Context, peer Peer, body []byte) (*Update, time.Time, error) {
	requestedAt := clock.Now()
	rsp, err := c.pool.Do(ctx, peer.Addr.String(), &exchange.Request{
		Method: http.MethodPost, Target: Path, Host: peer.Addr.String(), Body: body,
	})
	if err != nil {
		return nil, time.Time{}, errors.Wrap(err, "pull from a peer")
	}
	data, err := httpclient.ReadBody(&http.Response{Body: rsp.Body, ContentLength: rsp.Length}, maxUpdateBytes)
	if err != nil {
		return nil, time.Time{}, errors.Wrap(err, "read a peer's update")
	}
	if rsp.Status != http.StatusOK {
		return nil, time.Time{}, errors.Errorf("the peer answered with status %d", rsp.Status)
	}
	var update Update
	if err := cbor.Unmarshal(data, &update); err != nil {
		return nil, time.Time{}, errors.Wrap(err, "decode a peer's update")
	}
	if err := update.validate(clock.Since(requestedAt)); err != nil {
		return nil, time.Time{}, err
	}
	if err := update.Unpack(); err != nil {
		return nil, time.Time{}, err
	}
	return &update, requestedAt.Add(update.HeldFor), nil
}

// validate rejects an update with negative ages or a longer delay than the pull took.
func (u *Update) validate(elapsed time.Duration) error {
	if u.HeldFor < 0 || u.HeldFor > elapsed || u.Configuration.Age < 0 || u.List.Age < 0 || u.RoutersAge < 0 || u.ReadingFor < 0 {
		return errors.New("the peer's update contains an impossible age or delay")
	}
	if rollouts := u.Configuration.Rollouts; rollouts != nil && rollouts.Age < 0 {
		return errors.New("the peer's update contains an impossible age or delay")
	}
	for _, publication := range u.Configuration.Publications {
		if publication.Age < 0 {
			return errors.New("the peer's update contains an impossible age or delay")
		}
	}
	for _, cache := range u.Caches {
		if cache.Age < 0 {
			return errors.New("the peer's update contains an impossible age or delay")
		}
	}
	return nil
}
