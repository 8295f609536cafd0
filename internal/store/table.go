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
		return result, fault.Wrap(err, fault.BadRequest, "the transaction cannot be encoded")
	}
	out := call{what: "a transaction", method: http.MethodPost, path: pathTransactions, body: encoded}
	answered, err := c.do(ctx, out)
	if err != nil {
		return result, err
	}
	if err := decode(answered.body, out, &result); err != nil {
		return protocol.TransactionResult{}, err
	}
	wanted := len(transaction.Conditions)
	if result.Committed {
		wanted = len(transaction.Writes)
	}
	if len(result.Rows) != wanted {
		return protocol.TransactionResult{}, unavailable(nil, out, "the answer to a transaction has %d rows in place of %d", len(result.Rows), wanted)
	}
	return result, nil
}

// Read implements Table.
func (c *HTTPClient) Read(ctx context.Context, key string) (protocol.Row, bool, error) {
	var row protocol.Row
	out := call{what: "reading a row", method: http.MethodGet, path: pathRows + "/" + url.PathEscape(key), missingIsAnswer: true}
	answered, err := c.do(ctx, out)
	if err != nil || !answered.found {
		return row, false, err
	}
	if err := decode(answered.body, out, &row); err != nil {
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

func (c *HTTPClient) getJSON(ctx context.Context, what, path string, into any) error {
	out := call{what: what, method: http.MethodGet, path: path}
	answered, err := c.do(ctx, out)
	if err != nil {
		return err
	}
	return decode(answered.body, out, into)
}
