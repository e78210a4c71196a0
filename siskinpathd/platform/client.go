// Package platform speaks to the platform's table service and host list.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
)

// Bounds of what the client takes and holds.
const (
	maxReplyBytes      = 8 << 20
	maxConnections     = 64
	maxIdleMs          = 10_000
	defaultTimeout     = clock.Second
	errorExcerptBytes  = 200
	applicationJSON    = "application/json"
	pathRead           = "/v1/read"
	pathReadVersions   = "/v1/read_versions"
	pathTransaction    = "/v1/transaction"
	pathHosts          = "/v1/hosts"
	attemptsWithoutAny = 1 // attempts of fasthttp for one call: no silent retry
)

// Client calls the platform. Set the fields before the first call; it is then
// safe for use by many goroutines. No call is ever repeated by itself.
type Client struct {
	Address  string       // IP number and port
	Timeout  clock.Millis // of one call; 0 means one second
	Counters *metrics.Set // nil means the process's default set

	once sync.Once
	http *fasthttp.HostClient
}

func (c *Client) start() {
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.Counters == nil {
		c.Counters = metrics.GetDefaultSet()
	}
	c.http = &fasthttp.HostClient{
		Addr:                      c.Address,
		Dial:                      c.dial,
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       clock.Millis(maxIdleMs).Duration(),
		MaxConnWaitTimeout:        c.Timeout.Duration(),
		ReadTimeout:               c.Timeout.Duration(),
		WriteTimeout:              c.Timeout.Duration(),
		MaxResponseBodySize:       maxReplyBytes,
		MaxIdemponentCallAttempts: attemptsWithoutAny,
		NoDefaultUserAgentHeader:  true,
	}
}

func (c *Client) dial(address string) (conn net.Conn, err error) {
	conn, err = net.DialTimeout("tcp", address, c.Timeout.Duration())
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// call sends body, if any, and hands back the reply's status and body. An error
// means that there was no whole reply.
func (c *Client) call(ctx context.Context, method, path string, body any) (status int, reply []byte, err error) {
	c.once.Do(c.start)
	if err := ctx.Err(); err != nil {
		return 0, nil, &Error{Kind: NotApplied, Cause: err}
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)

	req.SetRequestURI("http://" + c.Address + path)
	req.Header.SetMethod(method)
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, nil, &Error{Kind: NotApplied, Cause: err}
		}
		req.Header.SetContentType(applicationJSON)
		req.SetBodyRaw(text)
	}
	if err := c.http.DoDeadline(req, res, c.deadline(ctx)); err != nil {
		return 0, nil, classify(err)
	}
	return res.StatusCode(), append([]byte(nil), res.Body()...), nil
}

func (c *Client) deadline(ctx context.Context) time.Time {
	at := time.Now().Add(c.Timeout.Duration())
	if d, ok := ctx.Deadline(); ok && d.Before(at) {
		return d
	}
	return at
}

// read makes a call that changes nothing, and hands the body of its reply of
// status 200 to decode.
func (c *Client) read(ctx context.Context, method, path string, body any, decode func(reply []byte) error) (err error) {
	defer func() {
		c.count(path, err)
		err = errors.WithMessagef(err, "platform %s", path)
	}()
	status, reply, err := c.call(ctx, method, path, body)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return statusError(status, reply)
	}
	return decode(reply)
}
