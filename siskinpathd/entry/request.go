package entry

import (
	"bytes"
	"context"
	"strconv"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/config"
	"siskinpath/core/place"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
)

// CallerHeaders says what headers are called between callers and hosts.
type CallerHeaders struct {
	RequestID string // the caller's id of a request
	Deadline  string // milliseconds that the caller waits
}

// Reasons that a host gives besides those of route.
const (
	reasonNoConfig  = "no_configuration"
	reasonNoRoute   = "no_route"
	reasonNoService = "no_service"
	reasonStopping  = "stopping"
)

const (
	// startRetryAfter is when a caller may come back to a host that has only just
	// started: the store answers within some ten milliseconds.
	startRetryAfter = 200 * clock.Millisecond
	// stoppingRetryAfter is when it may come back to one that stops: at once, as
	// another host takes the request.
	stoppingRetryAfter = clock.Millisecond
)

// request is a caller's request with what was found out about it.
type request struct {
	id       string
	arrived  clock.Millis
	route    *config.Route
	service  string
	deadline clock.Millis
}

// handle returns the final answer to a request.
func (n *Node) handle(ctx context.Context, req *fasthttp.Request) *Response {
	r := &request{id: string(req.Header.Peek(n.CallerHeaders.RequestID)), arrived: n.Clock.Now()}
	a := n.answer(ctx, req, r)
	countAnswer(r, a, n.Clock.Now()-r.arrived)
	return a
}

func (n *Node) answer(ctx context.Context, req *fasthttp.Request, r *request) *Response {
	cfg := n.config.Load()
	if cfg == nil {
		return n.decisions.refused(r, reasonNoConfig, notRun(reasonNoConfig, startRetryAfter))
	}
	path, _, _ := bytes.Cut(req.Header.RequestURI(), []byte("?"))
	r.route = cfg.Lookup(string(req.Header.Host()), string(path))
	if r.route == nil {
		return n.decisions.refused(r, reasonNoRoute, &Response{Status: fasthttp.StatusNotFound, Reason: reasonNoRoute})
	}
	r.deadline = r.arrived + n.timeLeft(req, r.route)
	runner := n.runnerFor(r)
	if runner == nil {
		return n.decisions.refused(r, reasonNoService, notRun(reasonNoService, startRetryAfter))
	}
	if n.tooLateToStart(r) {
		return n.decisions.refused(r, reasonStopping, notRun(reasonStopping, stoppingRetryAfter))
	}
	end := runner.Dispatch(ctx, n.callOf(req, r), r.id, cfg.Limits.MaxBodyBytes, place.Request{
		Route:       r.route.Name,
		Priority:    r.route.Priority,
		Arrived:     r.arrived,
		Target:      r.route.Target,
		GiveUp:      min(r.deadline, r.arrived+r.route.Timeout),
		Idempotent:  r.route.Idempotent,
		MaxAttempts: r.route.MaxAttempts,
	})
	return n.decisions.ended(r, end, answerOf(end))
}

// timeLeft returns how long the caller waits; the route's timeout when it does
// not say.
func (n *Node) timeLeft(req *fasthttp.Request, rt *config.Route) clock.Millis {
	v, err := strconv.ParseInt(string(req.Header.Peek(n.CallerHeaders.Deadline)), 10, 64)
	if err != nil || v < 0 {
		return rt.Timeout
	}
	return clock.Millis(v)
}

// skipped are the headers that concern only one connection, and those that the
// host sets itself.
var skipped = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

func (n *Node) callOf(req *fasthttp.Request, r *request) *call.Call {
	c := &call.Call{
		Service:    r.service,
		Method:     string(req.Header.Method()),
		URI:        string(req.Header.RequestURI()),
		Host:       string(req.Header.Host()),
		Body:       req.Body(),
		Deadline:   min(r.deadline, r.arrived+r.route.Timeout),
		Idempotent: r.route.Idempotent,
	}
	for k, v := range req.Header.All() {
		if name := string(k); !skipped[name] && name != n.CallerHeaders.Deadline && !n.ours[name] {
			c.Header = append(c.Header, [2]string{name, string(v)})
		}
	}
	return c
}

// answerOf returns the answer for how a request ended.
func answerOf(end outcome) *Response {
	a := end.action
	switch a.Kind {
	case route.Finish:
		return fromReply(end.reply)
	case route.Refuse:
		return notRun(string(a.Reason), a.RetryAfter)
	}
	if a.Reason == route.ReasonTimeout {
		return &Response{Status: fasthttp.StatusGatewayTimeout, Reason: string(a.Reason)}
	}
	return &Response{Status: fasthttp.StatusBadGateway, Reason: string(a.Reason)}
}
