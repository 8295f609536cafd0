package engine

import (
	"context"
	"net/http"
	"strconv"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/httpclient"
)

const (
	pathExport = "/v1/cache/export"
	pathImport = "/v1/cache/import"
	pathOrders = "/v1/orders"
)

// Export implements Transferer.
func (c *HTTPClient) Export(ctx context.Context, address string, request protocol.TransferRequest) ([]byte, error) {
	response, err := c.sendJSON(ctx, address, pathExport, request)
	if err != nil {
		return nil, err
	}
	blocks, err := httpclient.ReadBody(response, c.options.MaxExportBytes)
	if err != nil {
		return nil, backendLost(err, "the export of back end %s is incomplete or too large", address)
	}
	return blocks, nil
}

// Import implements Transferer. Headers carry the salt, in decimal, and the
// expected incarnation.
func (c *HTTPClient) Import(
	ctx context.Context, address string, request protocol.TransferRequest, blocks []byte,
) (protocol.TransferResult, error) {
	header := http.Header{}
	header.Set(protocol.HeaderSalt, strconv.FormatUint(uint64(request.Salt), 10))
	header.Set(protocol.HeaderIncarnation, string(request.ExpectedIncarnation))
	response, err := c.sendChecked(ctx, exchange{
		method: http.MethodPost, address: address, path: pathImport,
		contentType: contentTypeBlocks, header: header, body: blocks,
	})
	if err != nil {
		return protocol.TransferResult{}, err
	}
	var result protocol.TransferResult
	err = c.decodeJSON(response, address, &result)
	return result, err
}

// Order implements Orderer.
func (c *HTTPClient) Order(ctx context.Context, address string, order protocol.Order) (protocol.OrderResult, error) {
	response, err := c.sendJSON(ctx, address, pathOrders, order)
	if err != nil {
		return protocol.OrderResult{}, err
	}
	var result protocol.OrderResult
	err = c.decodeJSON(response, address, &result)
	return result, err
}
