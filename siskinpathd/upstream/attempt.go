package upstream

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
)

var (
	repliesOutOfStep = metrics.NewCounter("upstream_replies_out_of_step_total")
	repliesEarly     = metrics.NewCounter("upstream_replies_early_total") // before the request was read whole
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
	RequestID    string // unique for each attempt; "" when the caller gave none to check
	Instance     string // the start of the upstream that is meant, for dialects that name it
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
	c.written.Store(0)
	c.spent = false
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err = p.exchange(c, a, resp)
	if err != nil {
		stop()
		result.Status = failed(ctx, c.written.Load())
		p.discard(c)
		return nil, result, err
	}
	if stop() && reusable(c, resp) {
		c.keepFor(keptFor(resp))
		p.put(c)
	} else {
		p.discard(c)
	}
	d := p.dialect()
	reply = d.copyReply(resp)
	result.Status = d.statusOf(resp)
	if result.AddressReassigned = d.replaced(resp); !result.AddressReassigned {
		result.Load = d.load(resp) // else it is another upstream's
	}
	return reply, result, nil
}

// reusable tells whether a connection is in step after a whole reply.
func reusable(c *conn, resp *fasthttp.Response) bool {
	return !c.spent && !resp.ConnectionClose() && c.r.Buffered() == 0 && resp.Header.ContentLength() != identityLength
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
		return route.ConnectionLost
	}
}

// exchange writes the request and reads the reply.
func (p *Pool) exchange(c *conn, a *Attempt, resp *fasthttp.Response) (err error) {
	left := a.Call.Deadline - a.Clock.Now()
	if err = c.SetDeadline(time.Now().Add((left + p.ReplyGracePeriod).Duration())); err != nil {
		return err
	}
	if len(a.Call.Body) <= writtenAtOnce {
		if err = p.writeRequest(c, a, left); err != nil {
			return err
		}
		return p.readReply(c, a, resp)
	}
	return p.exchangeBoth(c, a, left, resp)
}

// writtenAtOnce is the body size up to which a request is written before its
// reply is read. It fits into any socket's buffer.
const writtenAtOnce = 1024

// exchangeBoth writes and reads at the same time: an upstream may reply before
// it has read a long body. The connection of such a reply is not used again.
func (p *Pool) exchangeBoth(c *conn, a *Attempt, left clock.Millis, resp *fasthttp.Response) (err error) {
	written := make(chan error, 1)
	go func() { written <- p.writeRequest(c, a, left) }()
	err = p.readReply(c, a, resp)
	select {
	case werr := <-written:
		if werr != nil && err == nil {
			c.spent = true
		}
		return err
	default:
		c.spent = true
		_ = c.Close() // ends the write
		if werr := <-written; err == nil && werr != nil {
			repliesEarly.Inc()
		}
		return err
	}
}

// lateReplies is how many replies to other requests are read past.
const lateReplies = 2

// readReply reads a reply and makes sure that it is whole and this request's.
func (p *Pool) readReply(c *conn, a *Attempt, resp *fasthttp.Response) (err error) {
	d := p.dialect()
	for skipped := 0; ; skipped++ {
		if err = p.readOne(c, a, resp); err != nil {
			return err
		}
		if d.belongs(resp, a.RequestID) {
			return nil
		}
		repliesOutOfStep.Inc()
		if !d.SkipLateReplies || skipped == lateReplies || resp.ConnectionClose() {
			return errOutOfStep
		}
		c.spent = true
		resp.Reset()
	}
}

// readOne reads one reply.
func (p *Pool) readOne(c *conn, a *Attempt, resp *fasthttp.Response) (err error) {
	d := p.dialect()
	if err = readHeader(c, resp); err != nil {
		repliesCut.Inc()
		return err
	}
	if !d.SkipLateReplies && !d.belongs(resp, a.RequestID) {
		return nil // readReply refuses it without its body
	}
	if bodiless(a.Call.Method, resp.StatusCode()) {
		resp.SkipBody = true
		return nil
	}
	// The library would set the length of such a body once it has read it.
	if resp.Header.ContentLength() == identityLength {
		if !d.AllowUnframed {
			repliesCut.Inc()
			return errUnbounded
		}
		c.spent = true
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

func (p *Pool) writeRequest(c *conn, a *Attempt, left clock.Millis) (err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(a.Call.Method)
	req.SetRequestURI(a.Call.URI)
	p.dialect().setHeader(req, a, left, hostOf(c.Conn))
	req.SetBodyRaw(a.Call.Body)
	if err = req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

func hostOf(c net.Conn) string { return c.RemoteAddr().String() }
