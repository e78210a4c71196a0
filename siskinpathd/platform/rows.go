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

// Check demands that a row still has a version; 0 demands that it is absent.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Transaction is applied whole when all its checks hold, and else not at all.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Result is the platform's answer to a transaction.
type Result struct {
	Committed bool
	Rows      []Row // when committed the puts with their new versions, otherwise the rows whose checks failed
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

// Read reads rows, in the order of keys.
func (c *Client) Read(ctx context.Context, keys ...string) ([]Row, error) {
	return c.rows(ctx, pathRead, keys)
}

// ReadVersions reads rows without their values, in the order of keys.
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

// decodeRows reads the rows and makes sure that they are those asked for.
func decodeRows(keys []string, reply []byte) ([]Row, error) {
	var r rowsReply
	if err := json.Unmarshal(reply, &r); err != nil {
		return nil, &Error{Kind: InvalidReply, Cause: err}
	}
	if len(r.Rows) != len(keys) {
		return nil, garbage("%d rows for %d keys", len(r.Rows), len(keys))
	}
	for i, row := range r.Rows {
		if row.Key != keys[i] {
			return nil, garbage("row %q where %q was asked for", row.Key, keys[i])
		}
	}
	return r.Rows, nil
}

// Transact applies t once. Without an error it has been committed. With an error
// of kind Conflict the result holds the rows whose checks failed. Unknown tells
// of any error whether t may have been applied all the same.
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
		return Result{}, garbage("status %d with body %s", status, excerpt(reply))
	}
	result := Result{Committed: committed, Rows: r.Rows}
	if !committed {
		return result, &Error{Kind: Conflict, Cause: errors.New("a check of the transaction failed")}
	}
	return result, checkPuts(t.Puts, r.Rows)
}

// checkPuts makes sure that the rows of a commit are the puts.
func checkPuts(puts []Put, rows []Row) error {
	if len(rows) != len(puts) {
		return garbage("%d rows for %d puts", len(rows), len(puts))
	}
	for i, row := range rows {
		if row.Key != puts[i].Key || row.Version == 0 {
			return garbage("row %q version %d for put %q", row.Key, row.Version, puts[i].Key)
		}
	}
	return nil
}
