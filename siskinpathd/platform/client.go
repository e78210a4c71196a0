// Package platform is a client for the platform's table service and host list.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/http1"
)

const (
	maxReplyBytes     = 8 << 20
	maxConnections    = 64
	idleTimeout       = 10 * clock.Second
	defaultTimeout    = clock.Second
	errorExcerptBytes = 200
	maxAttempts       = 1 // fasthttp must not retry a call, which may have been applied

	applicationJSON = "application/json"

	pathRead         = "/v1/read"
	pathReadVersions = "/v1/read_versions"
	pathTransaction  = "/v1/transaction"
	pathHosts        = "/v1/hosts"
)

// Client calls the platform. Its fields must be set before the first call; after
// that it is safe for concurrent use. It never retries a call.
type Client struct {
	Address  string       // IP address and port
	Timeout  clock.Millis // timeout of one call; 0 means one second
	Counters *metrics.Set // nil means the default set of the process
	// OnNewEra is called when a reply shows that the platform has come back from an
	// older copy of its rows since the last reply, before that reply is returned. Rows
	// that were committed may be gone. Nil means that nobody is told.
	OnNewEra func(era uint64)

	once sync.Once
	http *fasthttp.HostClient

	mu      sync.Mutex
	era     uint64
	eraSeen bool
}

// headerEra counts how often the platform has come back from an older copy of its rows.
// A platform that never does may leave it out.
const headerEra = "Siskin-Store-Era"

// handleEra compares the era of a reply with that of the replies before.
func (c *Client) handleEra(value []byte) {
	era, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return
	}
	c.mu.Lock()
	rose := c.eraSeen && era > c.era
	c.era, c.eraSeen = max(era, c.era), true
	c.mu.Unlock()
	if rose && c.OnNewEra != nil {
		c.OnNewEra(era)
	}
}

func (c *Client) setDefaults() {
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
		MaxIdleConnDuration:       idleTimeout.Duration(),
		MaxConnWaitTimeout:        c.Timeout.Duration(),
		ReadTimeout:               c.Timeout.Duration(),
		WriteTimeout:              c.Timeout.Duration(),
		MaxResponseBodySize:       maxReplyBytes,
		MaxIdemponentCallAttempts: maxAttempts,
		NoDefaultUserAgentHeader:  true,
	}
}

func (c *Client) dial(address string) (conn net.Conn, err error) {
	conn, err = net.DialTimeout("tcp", address, c.Timeout.Duration())
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return http1.NewConn(conn), nil
}

// call sends a request with body as JSON, if body is not nil, and returns the status
// and body of the reply. An error means that no complete reply was received.
func (c *Client) call(ctx context.Context, method, path string, body any) (status int, reply []byte, err error) {
	c.once.Do(c.setDefaults)
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
	c.handleEra(res.Header.Peek(headerEra))
	return res.StatusCode(), append([]byte(nil), res.Body()...), nil
}

func (c *Client) deadline(ctx context.Context) time.Time {
	at := time.Now().Add(c.Timeout.Duration())
	if d, ok := ctx.Deadline(); ok && d.Before(at) {
		return d
	}
	return at
}

// read makes a read-only call and passes the body of a reply with status 200 to
// decode.
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
