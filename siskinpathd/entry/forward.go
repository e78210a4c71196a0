package entry

import (
	"context"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/config"
	"siskinpath/core/http1"
	"siskinpath/core/place"
	"siskinpath/core/quarantine"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/forward"
	"siskinpath/siskinpathd/forward/forwardpb"
	"siskinpath/siskinpathd/memory"
	"siskinpath/siskinpathd/upstream"
)

const (
	// maxForwardHosts is the number of other hosts that requests may be passed to.
	maxForwardHosts = 24
	// forwardMargin is how much earlier the other host gives up, so that its reply still
	// arrives.
	forwardMargin = 5 * clock.Millisecond
)

var (
	forwardsSent   = metrics.NewCounter("forwards_total")        // requests passed to other hosts
	forwardsFailed = metrics.NewCounter("forwards_failed_total") // of these, without an upstream's reply
	forwardsServed = metrics.NewCounter("forwards_served_total") // requests of other hosts
)

var (
	errHostUnknown = errors.New("host is no longer known")
)

// forwarder passes requests to other hosts.
type forwarder struct {
	Clock clock.Clock
	// Replies and Memory limit the replies, and the messages while they are sent or read; nil for
	// no limit.
	Replies *upstream.ReplyBudget
	Memory  *memory.Budget
	client  forward.Client

	mu        sync.Mutex
	addresses map[string]string // by host
}

// forwardHosts renews the hosts that requests may be passed to, and returns them.
func (n *Node) forwardHosts() (hosts []place.Host) {
	addresses := map[string]string{}
	for _, h := range n.relay.ForwardHosts(maxForwardHosts) {
		addresses[h.ID] = h.ForwardAddress
		hosts = append(hosts, place.Host{ID: h.ID, AvailabilityZone: h.AvailabilityZone})
	}
	n.forwarder.mu.Lock()
	defer n.forwarder.mu.Unlock()
	n.forwarder.addresses = addresses
	return hosts
}

// send passes a request to another host; see place.Placer for what the statuses mean.
func (f *forwarder) send(ctx context.Context, p *pendingRequest, a place.Action) (reply *upstream.Reply, result route.Result, err error) {
	f.mu.Lock()
	address := f.addresses[a.Host]
	f.mu.Unlock()
	if address == "" {
		return nil, route.Result{Status: route.NotSent}, errHostUnknown
	}
	size := int64(len(p.call.Body))
	if !f.Memory.Take(size) { // for the encoded request
		return nil, route.Result{Status: route.NotSent, BlockedLocally: true}, upstream.ErrNoMemory
	}
	defer f.Memory.Release(size)
	var held *upstream.Reservation
	var reading int64 // bytes of the encoded reply
	defer func() {
		f.Memory.Release(reading)
		if reply == nil {
			held.Release()
		}
	}()
	answer, sent, err := f.client.CallReserved(ctx, address, encodeForward(p, a, f.Clock.Now()), func(bytes int) (err error) {
		if !f.Memory.Take(int64(bytes)) {
			return upstream.ErrNoMemory
		}
		reading = int64(bytes)
		held, err = f.Replies.Reserve(ctx, bytes)
		return err
	})
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, route.Result{Status: route.Cancelled}, err
	case errors.Is(err, upstream.ErrNoMemory):
		return nil, route.Result{Status: route.Cancelled}, err
	case err != nil && !sent:
		return nil, route.Result{Status: route.NotSent}, err
	case err != nil:
		return nil, route.Result{Status: route.ConnectionLost}, err
	}
	if reply, result, err = decodeForwardReply(answer); reply != nil {
		reply.Hold(held)
	}
	return reply, result, err
}

func encodeForward(p *pendingRequest, a place.Action, now clock.Millis) *forwardpb.Request {
	c, in := p.call, p.in
	req := &forwardpb.Request{
		Id: p.id, Caller: p.caller, Service: c.Service, Method: c.Method, Uri: c.URI, Host: c.Host, Body: c.Body,
		Route: in.Route, Priority: int32(in.Priority), Idempotent: in.Idempotent, AttemptsLeft: uint32(a.Forward.AttemptsLeft),
		WaitedMs: uint32(now - in.Arrived), TargetMs: uint32(in.Target), GiveUpMs: uint32(max(0, a.Forward.GiveUp-forwardMargin-in.Arrived)),
		DeadlineMs: uint32(c.Deadline - in.Arrived), MaxBodyBytes: uint32(p.maxBody),
	}
	for _, h := range c.Header {
		req.Headers = append(req.Headers, &forwardpb.Header{Name: h[0], Value: h[1]})
	}
	return req
}

// decodeForwardReply returns an error, and the status of a lost connection, for a reply that is
// no HTTP response.
func decodeForwardReply(m *forwardpb.Reply) (reply *upstream.Reply, result route.Result, err error) {
	result.Reason = route.Reason(m.GetReason())
	switch m.GetOutcome() {
	case forwardpb.Outcome_OUTCOME_REPLIED:
		reply = &upstream.Reply{Status: int(m.GetStatus()), Body: m.GetBody()}
		for _, h := range m.GetHeaders() {
			reply.Header = append(reply.Header, [2]string{h.GetName(), h.GetValue()})
		}
		if err = http1.CheckFinal(reply.Status, reply.Header); err != nil {
			result.Status = route.ConnectionLost
			return nil, result, err
		}
		result.Status = route.Succeeded
	case forwardpb.Outcome_OUTCOME_REFUSED:
		result.Status, result.Notice.RetryAfter = route.Refused, clock.Millis(m.GetRetryAfterMs())
	case forwardpb.Outcome_OUTCOME_NOT_TAKEN:
		result.Status = route.NotSent
	default:
		result.Status = route.ConnectionLost
	}
	return reply, result, nil
}

// reserveForward reserves memory for a request of another host while it is read and decoded.
func (n *Node) reserveForward(bytes int) (release func(), ok bool) {
	hold := &bodyHold{budget: n.bodies}
	return hold.release, hold.grow(2 * bytes)
}

// serveForward serves a request of another host, which has chosen its service and route. Its
// reply uses memory until ctx ends.
func (n *Node) serveForward(ctx context.Context, m *forwardpb.Request) *forwardpb.Reply {
	forwardsServed.Inc()
	body := bodyHold{budget: n.bodies}
	defer body.release()
	if !body.grow(len(m.GetBody())) {
		return &forwardpb.Reply{Outcome: forwardpb.Outcome_OUTCOME_NOT_TAKEN, Reason: reasonBodyMemory}
	}
	arrived := n.Clock.Now() - clock.Millis(m.GetWaitedMs())
	r := &request{
		id: m.GetId(), caller: m.GetCaller(), arrived: arrived, service: m.GetService(), forwarded: true,
		route: &config.Route{
			Name: m.GetRoute(), Priority: int(m.GetPriority()), Idempotent: m.GetIdempotent(), Target: clock.Millis(m.GetTargetMs()),
			Timeout: clock.Millis(m.GetGiveUpMs()), MaxAttempts: int(m.GetAttemptsLeft()),
		},
		deadline: arrived + clock.Millis(m.GetDeadlineMs()),
	}
	r.content = sync.OnceValue(func() quarantine.Content {
		path, query, _ := strings.Cut(m.GetUri(), "?")
		return quarantine.Of(m.GetCaller(), m.GetMethod(), m.GetHost(), path, query, m.GetBody())
	})
	c := &call.Call{
		Service: r.service, Method: m.GetMethod(), URI: m.GetUri(), Host: m.GetHost(), Body: m.GetBody(), Deadline: r.deadline,
		Idempotent: r.route.Idempotent,
	}
	for _, h := range m.GetHeaders() {
		c.Header = append(c.Header, [2]string{h.GetName(), h.GetValue()})
	}
	n.mu.Lock()
	d := n.dispatchers[r.service]
	n.mu.Unlock()
	n.forwardsInFlight.Add(1)
	context.AfterFunc(ctx, func() { n.forwardsInFlight.Add(-1) })
	if d == nil || n.drainStart.Load() != 0 {
		return &forwardpb.Reply{Outcome: forwardpb.Outcome_OUTCOME_NOT_TAKEN, Reason: reasonStopping}
	}
	end, resp := n.dispatch(ctx, d, c, r, int(m.GetMaxBodyBytes()))
	size := int64(len(resp.Body))
	if !n.memory().Take(size) { // for the encoded reply
		resp.release()
		return &forwardpb.Reply{Outcome: forwardpb.Outcome_OUTCOME_UNKNOWN, Reason: string(route.ReasonReplyMemory)}
	}
	context.AfterFunc(ctx, func() {
		n.memory().Release(size)
		resp.release()
	})
	return encodeForwardReply(end, resp)
}

func encodeForwardReply(end outcome, resp *Response) *forwardpb.Reply {
	m := &forwardpb.Reply{Outcome: forwardpb.Outcome_OUTCOME_UNKNOWN, Reason: resp.Reason}
	switch {
	case end.action.Kind == route.Finish:
		m.Outcome, m.Status, m.Body = forwardpb.Outcome_OUTCOME_REPLIED, uint32(resp.Status), resp.Body
		for _, h := range resp.Header {
			m.Headers = append(m.Headers, &forwardpb.Header{Name: h[0], Value: h[1]})
		}
	case end.action.Kind == route.Refuse && (end.action.Refusal.OutOfReach || end.action.Reason == route.ReasonStopping):
		m.Outcome = forwardpb.Outcome_OUTCOME_NOT_TAKEN
	case end.action.Kind == route.Refuse:
		m.Outcome, m.RetryAfterMs = forwardpb.Outcome_OUTCOME_REFUSED, uint32(end.action.RetryAfter)
	}
	return m
}
