package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

const (
	pathTransactions = "/table/v1/transactions"
	pathRows         = "/table/v1/rows"
	pathMachines     = "/machines/v1/list"
)

// Commit implements Table.
func (c *HTTPClient) Commit(ctx context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	var result protocol.TransactionResult
	encoded, err := json.Marshal(transaction)
	if err != nil {
		return result, fault.Wrap(err, fault.BadRequest, "cannot encode the transaction")
	}
	outgoing := call{description: "a transaction", method: http.MethodPost, path: pathTransactions, body: encoded}
	response, err := c.do(ctx, outgoing)
	if err != nil {
		return result, err
	}
	if err := decode(response.body, outgoing, &result); err != nil {
		return protocol.TransactionResult{}, err
	}
	expected := len(transaction.Conditions)
	if result.Committed {
		expected = len(transaction.Writes)
	}
	if len(result.Rows) != expected {
		return protocol.TransactionResult{}, unavailable(nil, outgoing, "the answer to a transaction has %d rows instead of %d", len(result.Rows), expected)
	}
	return result, nil
}

// Read implements Table.
func (c *HTTPClient) Read(ctx context.Context, key string) (protocol.Row, bool, error) {
	var row protocol.Row
	outgoing := call{description: "reading a row", method: http.MethodGet, path: pathRows + "/" + url.PathEscape(key), allowsNotFound: true}
	response, err := c.do(ctx, outgoing)
	if err != nil || !response.found {
		return row, false, err
	}
	if err := decode(response.body, outgoing, &row); err != nil {
		return protocol.Row{}, false, err
	}
	return row, true, nil
}

// List implements Table.
func (c *HTTPClient) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	var list protocol.RowList
	err := c.getJSON(ctx, "listing rows", pathRows+"?"+query.Encode(), &list)
	return list, err
}

// ListMachines implements Machines.
func (c *HTTPClient) ListMachines(ctx context.Context) (protocol.MachineList, error) {
	var list protocol.MachineList
	err := c.getJSON(ctx, "the machine list", pathMachines, &list)
	return list, err
}

func (c *HTTPClient) getJSON(ctx context.Context, description, path string, target any) error {
	outgoing := call{description: description, method: http.MethodGet, path: path}
	response, err := c.do(ctx, outgoing)
	if err != nil {
		return err
	}
	return decode(response.body, outgoing, target)
}
