package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/route"
)

// errLateReply means that a probe was answered with a late reply to a request that was
// sent on the connection before.
var errLateReply = errors.New("late reply to an earlier request on the connection")

// Probe sends a probe request to uri and returns the upstream's latency and load.
// instance is the expected instance of the upstream, or "" for any. The deadline of
// ctx bounds the probe. The error states why the result is not OK.
func (p *Pool) Probe(ctx context.Context, uri, instance string) (result route.ProbeResult, err error) {
	result, err = p.probeOnce(ctx, uri, instance)
	if errors.Is(err, errLateReply) {
		result, err = p.probeOnce(ctx, uri, instance)
	}
	return result, err
}

func (p *Pool) probeOnce(ctx context.Context, uri, instance string) (result route.ProbeResult, err error) {
	start := p.Clock.Now()
	c, err := p.get(ctx)
	if err != nil {
		return result, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.meter = p.Replies.meter()
	defer c.meter.release()
	err = probe(ctx, c, uri, resp)
	c.meter = nil
	if len(resp.Header.Peek(p.dialect().RequestID)) > 0 {
		repliesMismatched.Inc()
		err = errLateReply
	}
	result.Latency = p.Clock.Now() - start
	if err != nil {
		p.discard(c)
		return result, err
	}
	result.Answered = true
	if p.dialect().fromOtherInstance(resp, instance) {
		p.discard(c)
		result.AddressReassigned = true
		return result, errors.New("address now belongs to another upstream")
	}
	result.Load, result.Notice = p.dialect().load(resp), p.dialect().notice(resp)
	result.ColdFor, result.ColdKnown = p.dialect().coldFor(resp)
	if reusableAfterProbe(c, resp) {
		c.setPeerIdleTimeout(keepAliveTimeout(resp))
		p.put(c)
	} else {
		p.discard(c)
	}
	result.OK = resp.StatusCode() == fasthttp.StatusOK && !resp.ConnectionClose()
	if !result.OK {
		err = errors.Errorf("probe returned status %d", resp.StatusCode())
	}
	return result, err
}

// reusableAfterProbe reports whether a request may be sent on c after the reply to a
// probe. A second copy of a reply that is no success could be taken for the reply to
// that request, as probes have no ID.
func reusableAfterProbe(c *conn, resp *fasthttp.Response) bool {
	return !resp.ConnectionClose() && c.r.Buffered() == 0 && resp.StatusCode() < fasthttp.StatusMultipleChoices
}

func probe(ctx context.Context, c *conn, uri string, resp *fasthttp.Response) (err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(DialTimeout.Duration())
	}
	if err = c.SetDeadline(deadline); err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(uri)
	req.Header.SetHost(remoteAddress(c.Conn))
	if err = req.Write(c.w); err != nil {
		return err
	}
	if err = c.w.Flush(); err != nil {
		return err
	}
	if err = readHeader(c, resp); err != nil || hasNoBody(fasthttp.MethodGet, resp.StatusCode()) {
		return err
	}
	return readBody(c, resp, bufferBytes)
}
