// Package hop forwards calls to other hosts over the peer link, and serves calls
// that other hosts forward.
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

// maxHops is the largest number of hosts that may have forwarded a call, for
// whatever reason.
const maxHops = 4

// replyMargin is subtracted from the caller's deadline for the other host, so that
// its answer arrives before this host stops waiting.
const replyMargin = 5 * clock.Millisecond

var (
	hopsServed  = metrics.NewCounter("hops_served_total")
	hopsRefused = metrics.NewCounter("hops_refused_total")
	hopsLost    = metrics.NewCounter("hops_lost_total")
)

// Transport is the part of the peer link that a Client uses.
type Transport interface {
	Call(ctx context.Context, hostID string, req *peerpb.CallRequest) (*peerpb.CallReply, error)
	SendDigest(hostID, service string, d route.Digest)
}

// Client forwards calls and sends load digests to other hosts.
type Client struct {
	Transport Transport
	Clock     clock.Clock
	// Lookup returns the id and status of the host that runs as incarnation.
	Lookup func(incarnation uint64) (hostID string, status idempotency.HostStatus)
}

// LookupHost implements filter.Hosts.
func (cl *Client) LookupHost(incarnation uint64) (hostID string, status idempotency.HostStatus) {
	return cl.Lookup(incarnation)
}

// SendDigest implements service.Hosts.
func (cl *Client) SendDigest(host, service string, d route.Digest) {
	cl.Transport.SendDigest(host, service, d)
}

// Forward implements service.Hosts.
func (cl *Client) Forward(ctx context.Context, host string, c *call.Call) (a call.Answer, notSent bool) {
	return cl.send(ctx, host, c, peerpb.CallMode_CALL_MODE_RUN)
}

// Decide implements filter.Hosts.
func (cl *Client) Decide(ctx context.Context, host string, c *call.Call) (a call.Answer, notSent bool) {
	mode := peerpb.CallMode_CALL_MODE_DECIDE
	if c.Mode == idempotency.ModeClaimed {
		mode = peerpb.CallMode_CALL_MODE_CLAIMED
	}
	return cl.send(ctx, host, c, mode)
}

// send forwards c to a host. notSent is true when c certainly did not reach it.
func (cl *Client) send(ctx context.Context, host string, c *call.Call, mode peerpb.CallMode) (a call.Answer, notSent bool) {
	left := c.Deadline - cl.Clock.Now() - replyMargin
	if left <= 0 {
		return call.NotRun(string(route.ReasonDeadline), 0), true
	}
	req := encodeRequest(c, mode, left)
	rep, err := cl.Transport.Call(ctx, host, req)
	if err != nil {
		hopsLost.Inc()
		return call.Unknown(call.ReasonOutcomeUnknown), peer.NotSent(err)
	}
	a = decodeReply(rep)
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

// decodeReply decodes a reply. An outcome value that this version doesn't know
// counts as unknown.
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

// Server serves the calls that other hosts forward.
type Server struct {
	Clock      clock.Clock
	FromHost   filter.Next // chain for calls that the forwarding host decided to run
	FromCaller filter.Next // chain for calls on whose keys this host decides
	// LocalDigest returns this host's load for a service; ok is false when it has no
	// such service.
	LocalDigest func(service string) (d route.Digest, ok bool)
}

// Serve is the OnCall handler of the peer link. ctx is done when the other host no
// longer waits for the reply.
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

// tooManyHops returns the answer to a call that was forwarded too often or is
// incomplete. A call on whose key this host decides may have run here earlier, so
// its outcome is unknown.
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
