package upstream

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/http1"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
)

var (
	repliesMismatched = metrics.NewCounter("upstream_replies_out_of_step_total")
	repliesEarly      = metrics.NewCounter("upstream_replies_early_total") // received before the upstream had read the whole request
	repliesTruncated  = metrics.NewCounter("upstream_replies_cut_total")
)

var (
	errRequestIDMismatch = errors.New("request ID of the reply does not match the request")
	errNoRequestID       = errors.New("reply names no request and does not say that none ran")
	errNotRunUnproven    = errors.New("status of the reply says that the request did not run, but not the header that upstreams say it with")
	errInterimReplies    = errors.New("more interim replies than this host accepts")
	errReset             = errors.New("the connection failed before the request was written, so a reply without a length may be cut off")
	errNoLength          = errors.New("reply has neither a Content-Length nor chunked encoding, so a truncated body could not be detected")
)

// Reply is a complete reply of an upstream. It does not share memory with the
// connection. It counts against the pool's budget until Release is called.
type Reply struct {
	Status int
	Header [][2]string
	Body   []byte

	meter *replyMeter // nil for none
}

// Release returns the memory of the reply, which must not be used any more, to the budget. It
// may be called more than once.
func (r *Reply) Release() { r.meter.release() }

// Attempt sends a request to one upstream once.
type Attempt struct {
	Call         *call.Call
	RequestID    string // unique for each attempt; "" if the caller gave no ID to check
	Instance     string // expected instance (process start) of the upstream, for dialects with an Instance header
	Clock        clock.Clock
	MaxBodyBytes int
	// MaySend is called right before the first byte is written. If it returns false,
	// nothing is sent.
	MaySend func() bool
}

// Do makes an attempt on a connection of p. It returns a reply if the status of the
// result is Succeeded, Errored or Refused. The error is only for the log; callers
// must decide by the status.
func (p *Pool) Do(ctx context.Context, a *Attempt) (reply *Reply, result route.Result, err error) {
	c, err := p.get(ctx)
	if err != nil {
		result.Status, result.BlockedLocally = statusNotSent(ctx), errors.Is(err, errHostConnectionLimit)
		return nil, result, err
	}
	if !a.MaySend() {
		p.put(c)
		result.Status, result.BlockedLocally = route.NotSent, true
		return nil, result, nil
	}
	c.written.Store(0)
	c.notReusable, c.untilClose = false, false
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	meter := p.Replies.meter()
	meter.done = ctx.Done()
	c.meter = meter
	err = p.roundTrip(c, a, resp)
	c.meter = nil
	if err != nil {
		meter.release()
		stop()
		result.Status = statusAfterFailure(ctx, err, c.written.Load())
		p.discard(c)
		return nil, result, err
	}
	if stop() && reusable(c, resp) {
		c.setPeerIdleTimeout(keepAliveTimeout(resp))
		p.put(c)
	} else {
		p.discard(c)
	}
	d := p.dialect()
	reply = d.copyReply(resp)
	reply.meter = meter
	meter.addFields(len(reply.Header))
	result.Status = d.statusOf(resp)
	if result.AddressReassigned = d.addressReassigned(resp); !result.AddressReassigned {
		// A reassigned address would report on another upstream.
		result.Load, result.Notice = d.load(resp), d.notice(resp)
	}
	return reply, result, nil
}

// reusable reports whether another request may be sent on c after a complete reply.
func reusable(c *conn, resp *fasthttp.Response) bool {
	return !c.notReusable && !resp.ConnectionClose() && c.r.Buffered() == 0 && resp.Header.ContentLength() != untilCloseLength
}

func statusNotSent(ctx context.Context) route.Status {
	if ctx.Err() != nil {
		return route.Cancelled
	}
	return route.NotSent
}

// statusAfterFailure returns the status of an attempt that failed with err after written
// bytes of the request were sent. If no byte was sent, the request cannot have run.
func statusAfterFailure(ctx context.Context, err error, written int64) route.Status {
	switch {
	case written == 0:
		return statusNotSent(ctx)
	case errors.Is(err, ErrNoMemory):
		return route.Cancelled
	case errors.Is(context.Cause(ctx), context.Canceled):
		return route.Cancelled
	default:
		return route.ConnectionLost
	}
}

// roundTrip writes the request and reads the reply. Both must be done by the
// deadline of the request plus ReplyGracePeriod.
func (p *Pool) roundTrip(c *conn, a *Attempt, resp *fasthttp.Response) (err error) {
	left := a.Call.Deadline - a.Clock.Now()
	if err = c.SetDeadline(time.Now().Add((left + p.ReplyGracePeriod).Duration())); err != nil {
		return err
	}
	if len(a.Call.Body) <= maxSequentialBodyBytes {
		if err = p.writeRequest(c, a, left); err != nil {
			return err
		}
		return p.readReply(c, a, resp)
	}
	return p.roundTripConcurrent(c, a, left, resp)
}

// maxSequentialBodyBytes is the largest request body that is written completely
// before the reply is read. It fits into any socket's buffer, so the write does not
// block.
const maxSequentialBodyBytes = 1024

// roundTripConcurrent writes the request and reads the reply at the same time,
// because an upstream may reply before it has read a long body. The connection is
// not reused after such an early reply.
func (p *Pool) roundTripConcurrent(c *conn, a *Attempt, left clock.Millis, resp *fasthttp.Response) (err error) {
	written := make(chan error, 1)
	go func() { written <- p.writeRequest(c, a, left) }()
	err = p.readReply(c, a, resp)
	if err == nil && c.untilClose {
		return endUnframed(written)
	}
	select {
	case werr := <-written:
		if werr != nil && err == nil {
			c.notReusable = true
		}
		return err
	default:
		c.notReusable = true
		_ = c.Close() // unblocks the write
		if werr := <-written; err == nil && werr != nil {
			repliesEarly.Inc()
		}
		return err
	}
}

// endUnframed returns an error unless the request was written completely. The kernel reports a
// reset once, to the reader or to the writer, and the other one may see an orderly end. A reply
// whose body ends with the connection is known to be complete only if neither has seen one.
func endUnframed(written <-chan error) error {
	if err := <-written; err != nil {
		repliesTruncated.Inc()
		return errors.WithMessage(errReset, err.Error())
	}
	return nil
}

// maxSkippedReplies is the number of replies to other requests that are skipped
// before the attempt fails.
const maxSkippedReplies = 2

// readReply reads the reply to this request. It fails if the reply is truncated or
// belongs to another request and may not be skipped.
func (p *Pool) readReply(c *conn, a *Attempt, resp *fasthttp.Response) (err error) {
	d := p.dialect()
	for skipped := 0; ; skipped++ {
		if err = p.readNext(c, a, resp); err != nil {
			return err
		}
		if d.matchesRequest(resp, a.RequestID) && (!c.namesFailures || !d.lacksID(resp, a.RequestID)) {
			if err = d.verify(resp, a.RequestID); err != nil {
				return err
			}
			// A second copy of a reply without an ID could not be told from the reply to
			// the next request.
			c.notReusable = c.notReusable || d.PreserveRequestID && len(resp.Header.Peek(d.RequestID)) == 0
			c.namesFailures = c.namesFailures || resp.StatusCode() >= fasthttp.StatusMultipleChoices
			return nil
		}
		repliesMismatched.Inc()
		if !d.SkipLateReplies || skipped == maxSkippedReplies || resp.ConnectionClose() {
			return errRequestIDMismatch
		}
		c.notReusable = true
		resp.Reset()
	}
}

// readNext reads the next reply on the connection, whichever request it belongs to.
func (p *Pool) readNext(c *conn, a *Attempt, resp *fasthttp.Response) (err error) {
	d := p.dialect()
	if err = readHeader(c, resp); err != nil {
		repliesTruncated.Inc()
		return err
	}
	if !d.SkipLateReplies && !d.matchesRequest(resp, a.RequestID) {
		return nil // readReply rejects the reply, so its body is not needed
	}
	if hasNoBody(a.Call.Method, resp.StatusCode()) {
		resp.SkipBody = true
		return nil
	}
	// This check must come before ReadBody, which replaces untilCloseLength by the
	// length of the body that it has read.
	if resp.Header.ContentLength() == untilCloseLength {
		if !d.AllowUnframed {
			repliesTruncated.Inc()
			return errNoLength
		}
		c.notReusable, c.untilClose = true, true
	}
	if err = readBody(c, resp, a.MaxBodyBytes); err != nil {
		repliesTruncated.Inc()
	}
	return err
}

// readBody reads the body of a reply whose header has been read, with its trailer.
func readBody(c *conn, resp *fasthttp.Response, maxBytes int) (err error) {
	length := resp.Header.ContentLength()
	if length >= 0 {
		return readSizedBody(c, resp, length, maxBytes)
	}
	if err = resp.ReadBody(c.r, maxBytes); err != nil {
		return err
	}
	// The body leaves the library's pool, which would keep the largest buffers.
	resp.SetBodyRaw(resp.SwapBody(nil))
	if length != chunkedLength {
		return nil
	}
	if err = http1.AwaitTrailer(c.r); err != nil {
		return err
	}
	return resp.Header.ReadTrailer(c.r)
}

// readSizedBody reads a body of a known length into memory that has been counted before.
func readSizedBody(c *conn, resp *fasthttp.Response, length, maxBytes int) (err error) {
	if maxBytes > 0 && length > maxBytes {
		return fasthttp.ErrBodyTooLarge
	}
	if err = c.meter.reserve(length - c.r.Buffered()); err != nil {
		return err
	}
	body := make([]byte, length)
	_, err = io.ReadFull(c.r, body)
	resp.SetBodyRaw(body)
	return err
}

// maxInterimReplies is the number of interim replies before a final one. Without a limit
// an upstream that sends them without end keeps a processor busy until PerReply bytes of
// them were read, which took longer than a request's time on a busy machine.
const maxInterimReplies = 100

// readHeader reads the header of the final reply and skips interim (1xx) replies. It
// returns errInterimReplies after maxInterimReplies of them.
func readHeader(c *conn, resp *fasthttp.Response) (err error) {
	for range maxInterimReplies + 1 {
		if err = http1.AwaitHead(c.r); err != nil {
			return err
		}
		if err = resp.Header.Read(c.r); err != nil {
			return err
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		resp.Header.Reset()
	}
	return errInterimReplies
}

func hasNoBody(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// chunkedLength is the content length that fasthttp returns for a body in chunks.
const chunkedLength = -1

// untilCloseLength is the content length that fasthttp returns for a body that ends
// when the connection closes.
const untilCloseLength = -2

func (p *Pool) writeRequest(c *conn, a *Attempt, left clock.Millis) (err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(a.Call.Method)
	req.SetRequestURI(a.Call.URI)
	p.dialect().setHeader(req, a, left, remoteAddress(c.Conn))
	req.SetBodyRaw(a.Call.Body)
	if err = req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

func remoteAddress(c net.Conn) string { return c.RemoteAddr().String() }
