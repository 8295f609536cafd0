package engine

import (
	"context"
	"net/http"
	"strconv"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
)

const (
	pathLoad          = "/v1/load"
	pathCacheEvents   = "/v1/cache/events?after="
	pathCacheSnapshot = "/v1/cache/snapshot"
)

// Load implements Observer.
func (c *HTTPClient) Load(ctx context.Context, address string) (protocol.LoadReport, error) {
	var report protocol.LoadReport
	err := c.getJSON(ctx, address, pathLoad, &report)
	return report, err
}

// CacheSnapshot implements Observer.
func (c *HTTPClient) CacheSnapshot(ctx context.Context, address string) (protocol.CacheSnapshot, error) {
	var snapshot protocol.CacheSnapshot
	err := c.getJSON(ctx, address, pathCacheSnapshot, &snapshot)
	return snapshot, err
}

// CacheEvents implements Observer.
func (c *HTTPClient) CacheEvents(ctx context.Context, address string, after uint64) (BatchStream, error) {
	connection, err := c.openEvents(ctx, exchange{
		method: http.MethodGet, address: address, path: pathCacheEvents + strconv.FormatUint(after, 10),
	})
	if err != nil {
		return nil, err
	}
	return &batchStream{connection: connection}, nil
}

func (c *HTTPClient) getJSON(ctx context.Context, address, path string, into any) error {
	response, err := c.sendChecked(ctx, exchange{method: http.MethodGet, address: address, path: path})
	if err != nil {
		return err
	}
	return c.decodeJSON(response, address, into)
}

// batchStream implements BatchStream.
type batchStream struct {
	connection *eventConnection
}

// Next implements BatchStream.
func (s *batchStream) Next() (protocol.CacheEventBatch, error) {
	var batch protocol.CacheEventBatch
	if err := s.connection.next(&batch); err != nil {
		return protocol.CacheEventBatch{}, err
	}
	return batch, nil
}

// Close implements BatchStream.
func (s *batchStream) Close() { s.connection.close() }
