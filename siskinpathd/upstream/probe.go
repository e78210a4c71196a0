package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/route"
)

// Probe sends a probe request to uri and returns the upstream's latency and load.
// instance is the expected instance of the upstream, or "" for any. The deadline of
// ctx bounds the probe. The error states why the result is not OK.
func (p *Pool) Probe(ctx context.Context, uri, instance string) (result route.ProbeResult, err error) {
	start := p.Clock.Now()
	c, err := p.get(ctx)
	if err != nil {
		return result, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err = probe(ctx, c, uri, resp)
	result.Latency = p.Clock.Now() - start
	if err != nil {
		p.discard(c)
		return result, err
	}
	if p.dialect().fromOtherInstance(resp, instance) {
		p.discard(c)
		result.AddressReassigned = true
		return result, errors.New("address now belongs to another upstream")
	}
	result.Load, result.Notice = p.dialect().load(resp), p.dialect().notice(resp)
	if resp.ConnectionClose() || c.r.Buffered() > 0 {
		p.discard(c)
	} else {
		c.setPeerIdleTimeout(keepAliveTimeout(resp))
		p.put(c)
	}
	result.OK = resp.StatusCode() == fasthttp.StatusOK && !resp.ConnectionClose()
	if !result.OK {
		err = errors.Errorf("probe returned status %d", resp.StatusCode())
	}
	return result, err
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
	return resp.ReadLimitBody(c.r, bufferBytes)
}
