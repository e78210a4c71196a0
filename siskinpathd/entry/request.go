package entry

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/config"
	"siskinpath/core/place"
	"siskinpath/core/quarantine"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
)

// CallerHeaders holds the names of the headers in callers' requests.
type CallerHeaders struct {
	RequestID string // the caller's id of a request
	Deadline  string // how long the caller waits, in milliseconds
	// Organisation holds the name of the organisation whose key a request carries. Only
	// hosts set it, on requests to upstreams; "" sends none.
	Organisation string
}

// Reasons of refusals besides those of package route.
const (
	reasonNoConfig  = "no_configuration"
	reasonNoRoute   = "no_route"
	reasonOldConfig = "stale_configuration" // no route, but one may have been added
	reasonNoService = "no_service"
	reasonStopping  = string(route.ReasonStopping)
)

const (
	// oldConfigRetryAfter is the retry delay given by a host that may not know the present
	// routes. Another host may serve the request at once.
	oldConfigRetryAfter = 300 * clock.Millisecond
	// startRetryAfter is the retry delay given by a host that has just started: the
	// store answers within some tens of milliseconds.
	startRetryAfter = 200 * clock.Millisecond
	// minLostTime is how much less time than its route allows a caller must have left to
	// count as one that was refused and came back: the shortest Retry-After.
	minLostTime = 40 * clock.Millisecond
)

// request is a caller's request with its route, service and deadline.
type request struct {
	id       string
	caller   string                    // address of the caller, without its port
	content  func() quarantine.Content // computed at the first call
	arrived  clock.Millis
	route    *config.Route
	service  string
	deadline clock.Millis
	// organisation is whose key the request carries; nil without one.
	organisation *config.Organisation
	// keysRequired is set if the configuration that decides on the request has
	// organisations.
	keysRequired bool
	// forwarded is set if another host has passed it to this one.
	forwarded bool
}

// handle returns the final response to a request of the caller at an address.
func (n *Node) handle(ctx context.Context, req *fasthttp.Request, caller string) *Response {
	r := &request{id: string(req.Header.Peek(n.CallerHeaders.RequestID)), caller: caller, arrived: n.Clock.Now()}
	r.content = sync.OnceValue(func() quarantine.Content {
		path, query, _ := strings.Cut(string(req.Header.RequestURI()), "?")
		return quarantine.Of(caller, string(req.Header.Method()), string(req.Header.Host()), path, query, req.Body())
	})
	resp := n.respond(ctx, req, r)
	countResponse(r, resp, n.Clock.Now()-r.arrived)
	return resp
}

func (n *Node) respond(ctx context.Context, req *fasthttp.Request, r *request) *Response {
	// The age is read before the configuration: a configuration that replaces this one in
	// between can only be newer than the age says.
	age := n.readConfigAge()
	cfg := n.config.Load()
	if cfg == nil {
		return n.decisions.logRefusal(r, reasonNoConfig, notRunResponse(reasonNoConfig, startRetryAfter))
	}
	path, _, _ := bytes.Cut(req.Header.RequestURI(), []byte("?"))
	r.route = cfg.Lookup(string(req.Header.Host()), string(path))
	if r.route == nil {
		resp := noRouteResponse(age)
		return n.decisions.logRefusal(r, resp.Reason, resp, "host_header", string(req.Header.Host()), "version", cfg.Version)
	}
	if resp, key := n.authenticate(cfg, age, &req.Header, string(path), r); resp != nil {
		return n.decisions.logRefusal(r, resp.Reason, resp, "route", r.route.Name, "key_digest", key)
	}
	r.deadline = r.arrived + n.timeLeft(&req.Header, r.route)
	dispatcher := n.dispatcherFor(r)
	if dispatcher == nil {
		return n.decisions.logRefusal(r, reasonNoService, notRunResponse(reasonNoService, startRetryAfter))
	}
	if r.deadline <= r.arrived {
		return n.decisions.logRefusal(r, string(route.ReasonDeadline), notRunResponse(string(route.ReasonDeadline), 0))
	}
	in := place.Request{Route: r.route.Name, Target: r.route.Target, GiveUp: r.giveUp(), Idempotent: r.route.Idempotent}
	if dispatcher.outlasts(r.arrived, in) {
		return n.decisions.logRefusal(r, reasonStopping, notRunResponse(reasonStopping, place.StoppingRetryAfter))
	}
	if resp := n.admitQuota(ctx, r); resp != nil {
		return resp
	}
	_, resp := n.dispatch(ctx, dispatcher, n.buildCall(req, r), r, cfg.Limits.MaxBodyBytes)
	return resp
}

// dispatch passes a request to the placer of its service, unless it is in quarantine, and
// returns how it ended.
func (n *Node) dispatch(ctx context.Context, d *Dispatcher, c *call.Call, r *request, maxBody int) (end outcome, resp *Response) {
	if v := n.crashes.verdict(r.content); v.Left > 0 {
		quarantineRefusals.Inc()
		end.action = place.Action{Action: route.Action{Kind: route.Refuse, Reason: route.ReasonQuarantined, RetryAfter: v.Left}}
		return end, n.decisions.logRefusal(r, string(route.ReasonQuarantined), responseFor(end))
	}
	end = d.Dispatch(ctx, c, r, maxBody, place.Request{
		CallerID:    r.id,
		Route:       r.route.Name,
		Priority:    r.priority(),
		Arrived:     r.arrived,
		Target:      r.route.Target,
		GiveUp:      r.giveUp(),
		Idempotent:  r.route.Idempotent,
		CallerLeft:  r.deadline - r.arrived,
		MaxAttempts: r.route.MaxAttempts,
		Forwarded:   r.forwarded,
		OverUse:     n.useOfQuota(r),
		CameBack:    !r.forwarded && r.deadline-r.arrived <= r.route.Timeout-minLostTime,
	})
	return end, n.decisions.logEnd(r, end, responseFor(end))
}

// noRouteResponse returns the response to a request that no route matches. It is final only
// if the configuration is known to have every route.
func noRouteResponse(age configAge) *Response {
	if !age.current {
		return notRunResponse(reasonOldConfig, oldConfigRetryAfter)
	}
	return &Response{Status: fasthttp.StatusNotFound, Reason: reasonNoRoute}
}

// useOfQuota returns the fraction of its quota that the organisation of a request has used
// lately; 0 if it has none or that is not known.
func (n *Node) useOfQuota(r *request) float64 {
	if r.organisation == nil {
		return 0
	}
	return n.quotaUse(r.organisation.Name)
}

// giveUp returns the latest time of the final answer.
func (r *request) giveUp() clock.Millis { return min(r.deadline, r.arrived+r.route.Timeout) }

// timeLeft returns how long the caller waits for a response. The default is the route's
// timeout.
func (n *Node) timeLeft(h *fasthttp.RequestHeader, rt *config.Route) clock.Millis {
	v, err := strconv.ParseInt(string(h.Peek(n.CallerHeaders.Deadline)), 10, 64)
	if err != nil {
		return rt.Timeout
	}
	return clock.Millis(v)
}

// droppedHeaders are the hop-by-hop headers and those that the host sets itself.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

func (n *Node) buildCall(req *fasthttp.Request, r *request) *call.Call {
	c := &call.Call{
		Service:    r.service,
		Method:     string(req.Header.Method()),
		URI:        string(req.Header.RequestURI()),
		Host:       string(req.Header.Host()),
		Body:       req.Body(),
		Deadline:   r.giveUp(),
		Idempotent: r.route.Idempotent,
	}
	for k, v := range req.Header.All() {
		if name := string(k); !droppedHeaders[name] && name != n.CallerHeaders.Deadline && !n.hostHeaders[name] && !n.isKeyHeader(r, name) {
			c.Header = append(c.Header, [2]string{name, string(v)})
		}
	}
	if r.organisation != nil && n.CallerHeaders.Organisation != "" {
		c.Header = append(c.Header, [2]string{n.CallerHeaders.Organisation, r.organisation.Name})
	}
	return c
}

// responseFor returns the response for a request's outcome.
func responseFor(end outcome) *Response {
	a := end.action
	switch a.Kind {
	case route.Finish:
		return responseFromReply(end.reply)
	case route.Refuse:
		return notRunResponse(string(a.Reason), a.RetryAfter)
	}
	if a.Reason == route.ReasonTimeout {
		return &Response{Status: fasthttp.StatusGatewayTimeout, Reason: string(a.Reason)}
	}
	return &Response{Status: fasthttp.StatusBadGateway, Reason: string(a.Reason)}
}
