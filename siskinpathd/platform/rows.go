package platform

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Row is a row of the table service. An absent row has version 0.
type Row struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Check requires that a row has the given version. Version 0 requires that the row
// is absent.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Transaction is a set of writes that are applied atomically if all checks pass.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Result is the platform's reply to a transaction.
type Result struct {
	Committed bool
	Rows      []Row // if committed, the puts with their new versions; otherwise the rows whose checks failed
}

type keysRequest struct {
	Keys []string `json:"keys"`
}

type rowsReply struct {
	Rows []Row `json:"rows"`
}

type transactionReply struct {
	Committed *bool `json:"committed"`
	Rows      []Row `json:"rows"`
}

// Read returns the rows with the given keys, in the order of keys.
func (c *Client) Read(ctx context.Context, keys ...string) ([]Row, error) {
	return c.rows(ctx, pathRead, keys)
}

// ReadVersions returns the rows with the given keys without their values, in the
// order of keys.
func (c *Client) ReadVersions(ctx context.Context, keys ...string) ([]Row, error) {
	return c.rows(ctx, pathReadVersions, keys)
}

func (c *Client) rows(ctx context.Context, path string, keys []string) (rows []Row, err error) {
	err = c.read(ctx, fasthttp.MethodPost, path, keysRequest{Keys: keys}, func(reply []byte) (err error) {
		rows, err = decodeRows(keys, reply)
		return err
	})
	return rows, err
}

// decodeRows decodes the rows and checks that they are the requested ones.
func decodeRows(keys []string, reply []byte) ([]Row, error) {
	var r rowsReply
	if err := json.Unmarshal(reply, &r); err != nil {
		return nil, &Error{Kind: InvalidReply, Cause: err}
	}
	if len(r.Rows) != len(keys) {
		return nil, invalidReply("reply has %d rows for %d keys", len(r.Rows), len(keys))
	}
	for i, row := range r.Rows {
		if row.Key != keys[i] {
			return nil, invalidReply("reply has row %q instead of row %q", row.Key, keys[i])
		}
	}
	return r.Rows, nil
}

// Transact sends t once. If it returns no error, t has been committed. If the error
// is of kind Conflict, the result holds the rows whose checks failed. OutcomeUnknown
// reports for any error whether t may have been applied nevertheless.
func (c *Client) Transact(ctx context.Context, t Transaction) (result Result, err error) {
	defer func() {
		c.count(pathTransaction, err)
		err = errors.WithMessagef(err, "platform %s", pathTransaction)
	}()
	status, reply, err := c.call(ctx, fasthttp.MethodPost, pathTransaction, t)
	if err != nil {
		return Result{}, err
	}
	if status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return Result{}, statusError(status, reply)
	}
	return decodeTransaction(t, status, reply)
}

func decodeTransaction(t Transaction, status int, reply []byte) (Result, error) {
	var r transactionReply
	if err := json.Unmarshal(reply, &r); err != nil {
		return Result{}, &Error{Kind: InvalidReply, Cause: err}
	}
	committed := status == fasthttp.StatusOK
	if r.Committed == nil || *r.Committed != committed {
		return Result{}, invalidReply("status %d with body %s", status, excerpt(reply))
	}
	result := Result{Committed: committed, Rows: r.Rows}
	if !committed {
		return result, &Error{Kind: Conflict, Cause: errors.New("a check of the transaction failed")}
	}
	return result, checkPuts(t.Puts, r.Rows)
}

// checkPuts checks that the rows of a committed transaction match its puts.
func checkPuts(puts []Put, rows []Row) error {
	if len(rows) != len(puts) {
		return invalidReply("reply has %d rows for %d puts", len(rows), len(puts))
	}
	for i, row := range rows {
		if row.Key != puts[i].Key || row.Version == 0 {
			return invalidReply("reply has row %q of version %d for the put of row %q", row.Key, row.Version, puts[i].Key)
		}
	}
	return nil
}
