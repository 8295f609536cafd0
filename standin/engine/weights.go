package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
)

// Limits of weight fetches.
const (
	maxParallelFetches = 8
	minFetchBackoff    = 250 * time.Millisecond
	maxFetchBackoff    = 5 * time.Second
	fetchTimeout       = 2 * time.Minute
)

// runWeights fetches the weights of load orders until the context ends.
func (s *Server) runWeights(ctx context.Context) {
	var fetchers errgroup.Group
	fetchers.SetLimit(maxParallelFetches)
	for {
		select {
		case <-ctx.Done():
			_ = fetchers.Wait()
			return
		case <-s.fetches.Ready():
			for order, ok := s.fetches.Pop(); ok; order, ok = s.fetches.Pop() {
				fetchers.Go(func() error { s.fetchUntilDone(ctx, order); return nil })
			}
		}
	}
}

// fetchUntilDone retries until the weights are fetched or the load is no longer
// pending (unloaded, or the engine crashed).
func (s *Server) fetchUntilDone(ctx context.Context, order protocol.Order) {
	pause := minFetchBackoff
	for {
		pending := false
		err := s.do(ctx, func(time.Time) { pending = s.model.LoadPending(order.OrderID) })
		if err != nil || !pending {
			return
		}
		wait, err := s.fetch(ctx, order)
		if err == nil {
			_ = s.do(ctx, func(now time.Time) { s.model.WeightsArrived(now, order.OrderID) })
			return
		}
		s.options.Logger.WithError(err).WithField("engine", s.name).Warn("fetching the weights failed, retrying")
		if !sleep(ctx, max(wait, pause)) {
			return
		}
		pause = min(2*pause, maxFetchBackoff)
	}
}

// fetch reads the weights once. On an error it returns the Retry-After time, if any.
func (s *Server) fetch(ctx context.Context, order protocol.Order) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	address := s.options.Weights + "/weights/v1/" + url.PathEscape(string(order.Model)) + "/" + url.PathEscape(string(order.Version))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, errors.Wrap(err, "build weight request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "request weights")
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, errors.Wrap(err, "read weights")
	}
	if response.StatusCode == http.StatusOK {
		return 0, nil
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return time.Duration(seconds) * time.Second, errors.Errorf("weight store answered status %d", response.StatusCode)
}
