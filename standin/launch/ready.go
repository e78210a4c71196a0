package launch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/standin/caller"
)

// Request that tests whether a host answers.
const (
	testRequestDeadlineMs = "1000"
	testRequestTimeout    = 2 * time.Second
)

// WaitReady waits until every host is healthy and has answered a request to each
// service.
func (d *Deployment) WaitReady(ctx context.Context, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	if err := d.WaitHealthy(ctx, timeout); err != nil {
		return err
	}
	var pool caller.Pool
	defer pool.Close()
	for _, h := range d.EntryHosts {
		for _, s := range d.Services {
			last := errors.New("no request sent")
			answered := WaitUntil(ctx, time.Until(end), pollInterval, func() bool {
				last = sendTestRequest(&pool, h, s.Name)
				return last == nil
			})
			if !answered {
				return errors.WithMessagef(last, "host %s does not answer requests to %s", h.ID, s.Name)
			}
		}
	}
	return nil
}

// sendTestRequest sends one idempotent request to service and returns an error
// unless it is answered with status 200.
func sendTestRequest(pool *caller.Pool, h *EntryHost, service string) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + h.CallerAddress + "/v1/call/" + service + "/first?marker=first")
	req.Header.Set("Siskin-Deadline-Ms", testRequestDeadlineMs)
	req.Header.Set("Siskin-Organisation", "standin")
	if err := pool.Exchange(h.CallerAddress, req, resp, time.Now().Add(testRequestTimeout)); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("status %d, %s", resp.StatusCode(), resp.Header.Peek("Siskin-Reason"))
	}
	return nil
}
