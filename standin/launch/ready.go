package launch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/standin/caller"
)

// One request by which a host shows that it answers.
const (
	firstDeadlineMs = "1000"
	firstPatience   = 2 * time.Second
)

// WaitReady waits until every host is offered to callers and has answered a
// request to each service.
func (d *Deployment) WaitReady(ctx context.Context, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	if err := d.WaitHealthy(ctx, timeout); err != nil {
		return err
	}
	var pool caller.Pool
	defer pool.Close()
	for _, h := range d.EntryHosts {
		for _, s := range d.Services {
			last := errors.New("not asked")
			answered := WaitUntil(ctx, time.Until(end), healthStep, func() bool {
				last = askOnce(&pool, h, s.Name)
				return last == nil
			})
			if !answered {
				return errors.WithMessagef(last, "host %s answers no request to %s", h.ID, s.Name)
			}
		}
	}
	return nil
}

// askOnce sends one idempotent request.
func askOnce(pool *caller.Pool, h *EntryHost, service string) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + h.CallerAddress + "/v1/call/" + service + "/first?marker=first")
	req.Header.Set("Siskin-Deadline-Ms", firstDeadlineMs)
	req.Header.Set("Siskin-Organisation", "standin")
	if err := pool.Exchange(h.CallerAddress, req, resp, time.Now().Add(firstPatience)); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("status %d, %s", resp.StatusCode(), resp.Header.Peek("Siskin-Reason"))
	}
	return nil
}
