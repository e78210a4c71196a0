package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/route"
)

// Probe asks an upstream for its load at uri. instance is the start that is meant,
// "" for any. It is bounded by ctx's deadline. The error says why it is not OK.
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
	if p.dialect().isOther(resp, instance) {
		p.discard(c)
		result.AddressReassigned = true
		return result, errors.New("another upstream has the address now")
	}
	result.Load = p.dialect().load(resp)
	if resp.ConnectionClose() || c.r.Buffered() > 0 {
		p.discard(c)
	} else {
		c.keepFor(keptFor(resp))
		p.put(c)
	}
	result.OK = resp.StatusCode() == fasthttp.StatusOK && !resp.ConnectionClose()
	if !result.OK {
		err = errors.Errorf("probe answered %d", resp.StatusCode())
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
	req.Header.SetHost(hostOf(c.Conn))
	if err = req.Write(c.w); err != nil {
		return err
	}
	if err = c.w.Flush(); err != nil {
		return err
	}
	return resp.ReadLimitBody(c.r, bufferBytes)
}
