package upstream

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
)

// Headers between hosts and upstreams. See docs/architecture.md.
const (
	headerDeadline     = "Siskin-Deadline-Ms"
	headerOrganisation = "Siskin-Organisation"
	headerKey          = "Idempotency-Key"
	headerDepth        = "Siskin-Depth"
	headerRequestID    = "Siskin-Request-Id"
	headerLoad         = "Siskin-Load"
	headerRefused      = "Siskin-Refused"
)

var (
	repliesOutOfStep = metrics.NewCounter("upstream_replies_out_of_step_total")
	repliesCut       = metrics.NewCounter("upstream_replies_cut_total")
)

var (
	errOutOfStep = errors.New("the reply carries another request's id")
	errUnbounded = errors.New("the reply has neither a length nor chunks, so it can't be known whole")
)

// Reply is a whole answer of an upstream. It owns its bytes.
type Reply struct {
	Status int
	Header [][2]string
	Body   []byte
}

// Attempt is one sending of a request to one upstream.
type Attempt struct {
	Call         *call.Call
	RequestID    string // unique for each attempt
	Clock        clock.Clock
	MaxBodyBytes int
	// MaySend is asked right before the first byte.
	MaySend func() bool
}

// Do carries out an attempt on a connection of p. It returns the reply when the
// status is Succeeded, Errored or Refused. The error tells why for the log; the
// status alone decides.
func (p *Pool) Do(ctx context.Context, a *Attempt) (reply *Reply, result route.Result, err error) {
	c, err := p.get(ctx)
	if err != nil {
		result.Status = notSent(ctx)
		return nil, result, err
	}
	if !a.MaySend() {
		p.put(c)
		result.Status = route.NotSent
		return nil, result, nil
	}
	c.written = 0
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err = exchange(c, a, resp)
	if err != nil {
		stop()
		result.Status = failed(ctx, c.written)
		p.discard(c)
		return nil, result, err
	}
	usable := stop() && !resp.ConnectionClose() && c.r.Buffered() == 0
	if usable {
		p.put(c)
	} else {
		p.discard(c)
	}
	reply = copyReply(resp)
	result.Status = statusOf(resp)
	result.Load = parseLoad(resp.Header.Peek(headerLoad))
	return reply, result, nil
}

func notSent(ctx context.Context) route.Status {
	if ctx.Err() != nil {
		return route.Cancelled
	}
	return route.NotSent
}

func failed(ctx context.Context, written int64) route.Status {
	switch {
	case written == 0:
		return notSent(ctx)
	case errors.Is(context.Cause(ctx), context.Canceled):
		return route.Cancelled
	default:
		return route.Lost
	}
}

// exchange writes the request and reads the reply.
func exchange(c *conn, a *Attempt, resp *fasthttp.Response) (err error) {
	left := a.Call.Deadline - a.Clock.Now()
	if err = c.SetDeadline(time.Now().Add(left.Duration())); err != nil {
		return err
	}
	if err = writeRequest(c, a, left); err != nil {
		return err
	}
	return readReply(c, a, resp)
}

// readReply reads a reply and makes sure that it is whole and this request's.
func readReply(c *conn, a *Attempt, resp *fasthttp.Response) (err error) {
	if err = readHeader(c, resp); err != nil {
		repliesCut.Inc()
		return err
	}
	if string(resp.Header.Peek(headerRequestID)) != a.RequestID {
		repliesOutOfStep.Inc()
		return errOutOfStep
	}
	if bodiless(a.Call.Method, resp.StatusCode()) {
		resp.SkipBody = true
		return nil
	}
	// The library would set the length of such a body once it has read it.
	if resp.Header.ContentLength() == identityLength {
		repliesCut.Inc()
		return errUnbounded
	}
	if err = resp.ReadBody(c.r, a.MaxBodyBytes); err != nil {
		repliesCut.Inc()
	}
	return err
}

// readHeader reads the header of the final reply, past interim ones.
func readHeader(c *conn, resp *fasthttp.Response) (err error) {
	for {
		if err = resp.Header.Read(c.r); err != nil {
			return err
		}
		if resp.StatusCode() >= fasthttp.StatusOK || resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return nil
		}
		resp.Header.Reset()
	}
}

func bodiless(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// identityLength is fasthttp's content length of a body that ends with the connection.
const identityLength = -2

func writeRequest(c *conn, a *Attempt, left clock.Millis) (err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(a.Call.Method)
	req.SetRequestURI(a.Call.URI)
	req.Header.SetHost(hostOf(c.Conn))
	for _, h := range a.Call.Header {
		req.Header.Add(h[0], h[1])
	}
	req.Header.Set(headerDeadline, strconv.FormatInt(int64(left), 10))
	req.Header.Set(headerOrganisation, a.Call.Organisation)
	if a.Call.Key != "" {
		req.Header.Set(headerKey, a.Call.Key)
	}
	req.Header.Set(headerDepth, strconv.Itoa(a.Call.Depth+1))
	req.Header.Set(headerRequestID, a.RequestID)
	req.SetBodyRaw(a.Call.Body)
	if err = req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

func hostOf(c net.Conn) string { return c.RemoteAddr().String() }

func statusOf(resp *fasthttp.Response) route.Status {
	switch {
	case resp.StatusCode() == fasthttp.StatusServiceUnavailable && len(resp.Header.Peek(headerRefused)) > 0:
		return route.Refused
	case resp.StatusCode() >= fasthttp.StatusInternalServerError:
		return route.Errored
	default:
		return route.Succeeded
	}
}

// hopByHop are headers that belong to one connection, not to the answer.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Date": true, "Server": true, "Trailer": true, "Upgrade": true,
	headerRequestID: true, headerLoad: true, headerRefused: true,
}

func copyReply(resp *fasthttp.Response) *Reply {
	r := &Reply{Status: resp.StatusCode()}
	for k, v := range resp.Header.All() {
		if !hopByHop[string(k)] {
			r.Header = append(r.Header, [2]string{string(k), string(v)})
		}
	}
	r.Body = append([]byte(nil), resp.Body()...)
	return r
}
