// Package hop passes calls from one host to another, and serves those that
// come from another, over the peer link.
package hop

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/filter"
	"siskinpath/siskinpathd/peer"
	"siskinpath/siskinpathd/peer/peerpb"
)

// maxHops is how many hosts a call may pass through, whatever the reason.
const maxHops = 4

// replyMargin is by how much sooner than the caller's deadline the other host has
// to end, so that its answer is back before this host gives up waiting.
const replyMargin = 5 * clock.Millisecond

var (
	hopsServed  = metrics.NewCounter("hops_served_total")
	hopsRefused = metrics.NewCounter("hops_refused_total")
	hopsLost    = metrics.NewCounter("hops_lost_total")
)

// Transport is the part of the peer link that calls need.
type Transport interface {
	Call(ctx context.Context, hostID string, req *peerpb.CallRequest) (*peerpb.CallReply, error)
	SendDigest(hostID, service string, d route.Digest)
}

// Client reaches the other hosts.
type Client struct {
	Transport Transport
	Clock     clock.Clock
	// Lookup tells which host runs as an incarnation.
	Lookup func(incarnation uint64) (hostID string, p idempotency.HostStatus)
}

// LookupHost implements filter.Deciders.
func (h *Client) LookupHost(incarnation uint64) (hostID string, p idempotency.HostStatus) {
	return h.Lookup(incarnation)
}

// SendDigest implements service.Hosts.
func (h *Client) SendDigest(host, service string, d route.Digest) {
	h.Transport.SendDigest(host, service, d)
}

// Forward implements service.Hosts.
func (h *Client) Forward(ctx context.Context, host string, c *call.Call) (a call.Answer, notSent bool) {
	return h.send(ctx, host, c, peerpb.CallMode_CALL_MODE_RUN)
}

// Decide implements filter.Deciders.
func (h *Client) Decide(ctx context.Context, host string, c *call.Call) (a call.Answer, notSent bool) {
	mode := peerpb.CallMode_CALL_MODE_DECIDE
	if c.Mode == idempotency.ModeClaimed {
		mode = peerpb.CallMode_CALL_MODE_CLAIMED
	}
	return h.send(ctx, host, c, mode)
}

func (h *Client) send(ctx context.Context, host string, c *call.Call, mode peerpb.CallMode) (call.Answer, bool) {
	left := c.Deadline - h.Clock.Now() - replyMargin
	if left <= 0 {
		return call.NotRun(string(route.ReasonDeadline), 0), true
	}
	req := encodeRequest(c, mode, left)
	rep, err := h.Transport.Call(ctx, host, req)
	if err != nil {
		hopsLost.Inc()
		return call.Unknown(call.ReasonOutcomeUnknown), peer.NotSent(err)
	}
	a := decodeReply(rep)
	if a.Digest != nil {
		a.Digest.Host = host
	}
	return a, false
}

func encodeRequest(c *call.Call, mode peerpb.CallMode, left clock.Millis) *peerpb.CallRequest {
	return &peerpb.CallRequest{
		Mode:           mode,
		Service:        c.Service,
		Organisation:   c.Organisation,
		IdempotencyKey: c.Key,
		DeadlineMs:     uint64(max(left, 0)),
		Idempotent:     c.Idempotent,
		Hops:           uint32(c.Hops),
		Depth:          uint32(c.Depth),
		Method:         c.Method,
		Uri:            c.URI,
		Headers:        encodeHeader(c.Header),
		Body:           c.Body,
		ClaimRow:       c.ClaimRow,
	}
}

func encodeHeader(header [][2]string) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(header))
	for _, h := range header {
		out = append(out, &peerpb.Header{Name: h[0], Value: h[1]})
	}
	return out
}

func decodeHeader(headers []*peerpb.Header) [][2]string {
	out := make([][2]string, 0, len(headers))
	for _, h := range headers {
		out = append(out, [2]string{h.GetName(), h.GetValue()})
	}
	return out
}

var outcomes = map[peerpb.Outcome]idempotency.Outcome{
	peerpb.Outcome_OUTCOME_UNKNOWN:  idempotency.OutcomeUnknown,
	peerpb.Outcome_OUTCOME_ANSWERED: idempotency.Answered,
	peerpb.Outcome_OUTCOME_NOT_RUN:  idempotency.NotRun,
}

func encodeOutcome(o idempotency.Outcome) peerpb.Outcome {
	for wire, known := range outcomes {
		if known == o {
			return wire
		}
	}
	return peerpb.Outcome_OUTCOME_UNKNOWN
}

// decodeReply reads a reply. An outcome that this version doesn't know is unknown.
func decodeReply(rep *peerpb.CallReply) call.Answer {
	outcome, ok := outcomes[rep.GetOutcome()]
	if !ok {
		outcome = idempotency.OutcomeUnknown
	}
	a := call.Answer{Reply: idempotency.Reply{
		Outcome:    outcome,
		Status:     int(rep.GetStatus()),
		Header:     decodeHeader(rep.GetHeaders()),
		Body:       rep.GetBody(),
		Reason:     rep.GetReason(),
		RetryAfter: clock.Millis(rep.GetRetryAfterMs()),
	}}
	a.GivenUp = rep.GetClaimGivenUp()
	a.Recorded = rep.GetRecorded()
	a.Definitive = rep.GetDecided()
	if d := rep.GetDigest(); d != nil {
		a.Digest = &route.Digest{Free: int(d.GetFree()), Queued: int(d.GetQueued()), Slots: int(d.GetSlots())}
	}
	return a
}

// Server serves the calls that other hosts pass on.
type Server struct {
	Clock      clock.Clock
	FromHost   filter.Next // the chain of a call that its first host decided to run
	FromCaller filter.Next // the chain of a call that this host decides about
	// LocalDigest tells how much room this host has for a service.
	LocalDigest func(service string) (d route.Digest, ok bool)
}

// Serve is the peer link's OnCall. ctx ends when the other host no longer waits.
func (s *Server) Serve(ctx context.Context, _ string, req *peerpb.CallRequest) *peerpb.CallReply {
	if req.GetHops() > maxHops || req.GetService() == "" || req.GetMethod() == "" {
		hopsRefused.Inc()
		return encodeReply(tooManyHops(req.GetMode()))
	}
	hopsServed.Inc()
	c := s.decodeCall(ctx, req)
	if req.GetMode() != peerpb.CallMode_CALL_MODE_RUN {
		return encodeReply(s.FromCaller(c))
	}
	rep := encodeReply(s.FromHost(c))
	if d, ok := s.LocalDigest(c.Service); ok {
		rep.Digest = &peerpb.Digest{Free: uint32(max(d.Free, 0)), Queued: uint32(d.Queued), Slots: uint32(d.Slots)}
	}
	return rep
}

// tooManyHops answers a call that has come too far. One that this host should decide
// about may have run here earlier.
func tooManyHops(mode peerpb.CallMode) call.Answer {
	if mode == peerpb.CallMode_CALL_MODE_RUN {
		return call.NotRun(call.ReasonTooManyHops, 0)
	}
	return call.Unknown(call.ReasonTooManyHops)
}

func (s *Server) decodeCall(ctx context.Context, req *peerpb.CallRequest) *call.Call {
	c := &call.Call{
		Service:      req.GetService(),
		Organisation: req.GetOrganisation(),
		Key:          req.GetIdempotencyKey(),
		Method:       req.GetMethod(),
		URI:          req.GetUri(),
		Header:       decodeHeader(req.GetHeaders()),
		Body:         req.GetBody(),
		Deadline:     s.Clock.Now() + clock.Millis(req.GetDeadlineMs()),
		Idempotent:   req.GetIdempotent(),
		Depth:        int(req.GetDepth()),
		Hops:         int(req.GetHops()),
		ClaimRow:     req.GetClaimRow(),
	}
	switch req.GetMode() {
	case peerpb.CallMode_CALL_MODE_DECIDE:
		c.Mode = idempotency.ModeDecide
	case peerpb.CallMode_CALL_MODE_CLAIMED:
		c.Mode = idempotency.ModeClaimed
	}
	if c.Idempotent {
		c.CallerGone = ctx.Done()
	}
	return c
}

func encodeReply(a call.Answer) *peerpb.CallReply {
	return &peerpb.CallReply{
		Outcome:      encodeOutcome(a.Outcome),
		Status:       uint32(a.Status),
		Headers:      encodeHeader(a.Header),
		Body:         a.Body,
		Reason:       a.Reason,
		RetryAfterMs: uint64(a.RetryAfter),
		ClaimGivenUp: a.GivenUp,
		Recorded:     a.Recorded,
		Decided:      a.Definitive,
	}
}
