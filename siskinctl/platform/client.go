// Package platform is an HTTP client for the platform's table service and host list.
package platform

import (
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/http1"
	"siskinpath/core/table"
)

// Limits of one call.
const (
	callTimeout     = 2 * time.Second
	maxReplyBytes   = 64 << 20
	maxExcerptBytes = 200
)

// Errors of a call that certainly had no effect. Any other error means that the
// reply was lost: a transaction may have been applied, or may be applied later.
var (
	ErrNotApplied = errors.New("the platform can't be reached")
	ErrConflict   = errors.New("a row has changed")
)

// Client calls the platform. It never retries a call.
type Client struct {
	Address string // IP address and port, with or without http://

	http *fasthttp.Client
}

// Host is an entry of the platform's host list.
type Host struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	State            string `json:"state"` // live or leaving
	PeerAddress      string `json:"peer_address"`
	CallerAddress    string `json:"caller_address"`
	OperatorAddress  string `json:"operator_address"`
}

type keysRequest struct {
	Keys []string `json:"keys"`
}

type rowReply struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"`
}

type rowsReply struct {
	Rows []rowReply `json:"rows"`
}

type checkRequest struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type putRequest struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

type transactionRequest struct {
	Checks []checkRequest `json:"checks"`
	Puts   []putRequest   `json:"puts"`
}

type hostsReply struct {
	Hosts []Host `json:"hosts"`
}

// Read returns the rows in the order of keys. An absent row has version 0.
func (c *Client) Read(keys ...string) (rows []table.PlatformRow, err error) {
	defer func() { err = errors.WithMessage(err, "read") }()
	var reply rowsReply
	if err := c.read(fasthttp.MethodPost, "/v1/read", keysRequest{Keys: keys}, &reply); err != nil {
		return nil, err
	}
	if len(reply.Rows) != len(keys) {
		return nil, errors.Errorf("got %d rows for %d keys", len(reply.Rows), len(keys))
	}
	for i, r := range reply.Rows {
		if r.Key != keys[i] {
			return nil, errors.Errorf("got row %q instead of %q", r.Key, keys[i])
		}
		rows = append(rows, table.PlatformRow(r))
	}
	return rows, nil
}

// Transact attempts a transaction once and returns the new version of the first
// row that it writes. The error wraps ErrNotApplied or ErrConflict if the
// transaction was certainly not applied.
func (c *Client) Transact(checks []table.VersionCheck, puts []table.Put) (version uint64, err error) {
	defer func() { err = errors.WithMessage(err, "transaction") }()
	var body transactionRequest
	for _, check := range checks {
		body.Checks = append(body.Checks, checkRequest(check))
	}
	for _, put := range puts {
		body.Puts = append(body.Puts, putRequest(put))
	}
	status, text, err := c.call(fasthttp.MethodPost, "/v1/transaction", body)
	switch {
	case err != nil:
		return 0, err
	case status == fasthttp.StatusConflict:
		return 0, ErrConflict
	case status != fasthttp.StatusOK:
		return 0, errors.Errorf("status %d: %s", status, excerpt(text))
	}
	var reply rowsReply
	if err := json.Unmarshal(text, &reply); err != nil || len(reply.Rows) != len(puts) || reply.Rows[0].Key != puts[0].Key {
		return 0, errors.Errorf("unexpected reply to a transaction: %s", excerpt(text))
	}
	return reply.Rows[0].Version, nil
}

// Hosts returns the platform's host list, which lags behind the actual hosts.
func (c *Client) Hosts() (hosts []Host, err error) {
	defer func() { err = errors.WithMessage(err, "hosts") }()
	var reply hostsReply
	if err := c.read(fasthttp.MethodGet, "/v1/hosts", nil, &reply); err != nil {
		return nil, err
	}
	return reply.Hosts, nil
}

// read makes a read-only call. All its errors wrap ErrNotApplied.
func (c *Client) read(method, path string, body, reply any) error {
	status, text, err := c.call(method, path, body)
	if err != nil {
		return notApplied(err)
	}
	if status != fasthttp.StatusOK {
		return notApplied(errors.Errorf("status %d: %s", status, excerpt(text)))
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return notApplied(errors.WithMessage(err, "the reply is not JSON"))
	}
	return nil
}

func (c *Client) call(method, path string, body any) (status int, reply []byte, err error) {
	c.initHTTP()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + strings.TrimPrefix(c.Address, "http://") + path)
	req.Header.SetMethod(method)
	req.SetConnectionClose() // a reused connection that the platform has closed would look like a lost reply
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(text)
	}
	if err := c.http.DoTimeout(req, res, callTimeout); err != nil {
		return 0, nil, err
	}
	return res.StatusCode(), append([]byte(nil), res.Body()...), nil
}

func (c *Client) initHTTP() {
	if c.http != nil {
		return
	}
	c.http = &fasthttp.Client{
		Dial:                      dial,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxReplyBytes,
		ReadTimeout:               callTimeout,
		WriteTimeout:              callTimeout,
	}
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, notApplied(err)
	}
	return http1.NewConn(conn), nil
}

// notAppliedError is the error of a call that certainly had no effect. It matches
// ErrNotApplied.
type notAppliedError struct{ cause error }

func notApplied(err error) error { return &notAppliedError{err} }

func (e *notAppliedError) Error() string   { return ErrNotApplied.Error() + ": " + e.cause.Error() }
func (e *notAppliedError) Is(t error) bool { return t == ErrNotApplied }

func excerpt(text []byte) string {
	return string(text[:min(len(text), maxExcerptBytes)])
}
