package entry

import (
	"log/slog"

	"siskinpath/core/clock"
	"siskinpath/core/discovery"
	"siskinpath/core/place"
	"siskinpath/core/quarantine"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/logs"
	"siskinpath/siskinpathd/watch"
)

// decisionLog writes a log line for each decision that concerns a request, and for
// each change of an upstream's state in a placer.
type decisionLog struct {
	log   *slog.Logger
	clock clock.Clock
	limit *logs.Limiter
}

// Messages of the log lines that requests and probes cause. Their rate is limited
// before their values are collected.
const (
	msgSent           = "sent"
	msgAttemptEnded   = "attempt ended"
	msgRefused        = "refused"
	msgAnsweredLate   = "answered late"
	msgAnsweredByHost = "answered by the host"
	msgProbeFailed    = "probe failed"
	msgLossChecked    = "upstream after a lost attempt"
	msgForwarded      = "forwarded"
	msgHeld           = "request without an answer at the stop"
)

// statusNames are the names of attempt statuses in log lines and metrics.
var statusNames = map[route.Status]string{
	route.Succeeded: "succeeded", route.Errored: "errored", route.Refused: "refused",
	route.NotSent: "not_sent", route.ConnectionLost: "lost", route.Cancelled: "cancelled",
}

// logSend logs an attempt and the data on which the choice of its upstream is based.
func (d *decisionLog) logSend(service string, p *pendingRequest, a place.Action) {
	if !d.limit.Allow(msgSent) {
		return
	}
	s := a.Sent
	d.log.Info(msgSent, "id", p.id, "service", service, "upstream", a.Upstream, "attempt", s.Attempt, "hedge", s.Hedge,
		"waited_ms", s.Waited, "asked", s.Probed, "reported", s.Reported, "age_ms", s.Age, "load", s.Load, "slots", s.Slots,
		"slowdown", s.Slowdown, "allocator", s.Allocator)
}

// logAttemptEnd logs the end of an attempt that was not answered.
func (d *decisionLog) logAttemptEnd(service string, p *pendingRequest, a place.Action, res route.Result, err error) {
	if res.Status == route.Succeeded || !d.limit.Allow(msgAttemptEnded) {
		return
	}
	if a.Host != "" {
		d.log.Info(msgAttemptEnded, "id", p.id, "service", service, "host", a.Host, "status", statusNames[res.Status], "reason", res.Reason, "err", err)
		return
	}
	d.log.Info(msgAttemptEnded, "id", p.id, "service", service, "upstream", a.Upstream, "status", statusNames[res.Status], "err", err)
}

// logHeld logs a request that has no answer when this host stops.
func (d *decisionLog) logHeld(service string, p *pendingRequest, h place.HeldRequest) {
	if !d.limit.Allow(msgHeld) {
		return
	}
	d.log.Warn(msgHeld, "id", p.id, "route", p.in.Route, "service", service, "phase", h.Phase, "allocator", h.Allocator, "waited_ms", h.Waited,
		"left_ms", h.Left, "idempotent", p.in.Idempotent, "arrivals", h.Arrivals, "trail", p.trail)
}

// logForward logs that a request is passed to another host, and why.
func (d *decisionLog) logForward(service string, p *pendingRequest, a place.Action) {
	if !d.limit.Allow(msgForwarded) {
		return
	}
	d.log.Info(msgForwarded, "id", p.id, "service", service, "host", a.Host, "attempts_left", a.Forward.AttemptsLeft,
		"unanswered", a.Forward.Unanswered, "waited_ms", d.clock.Now()-p.in.Arrived)
}

// logLoss logs whether an upstream has ended that has lost an attempt.
func (d *decisionLog) logLoss(service string, p *pendingRequest, a place.Action, found string) {
	if !d.limit.Allow(msgLossChecked) {
		return
	}
	d.log.Info(msgLossChecked, "id", p.id, "content", p.content(), "service", service, "upstream", a.Upstream, "started", a.Sent.Started, "found", found)
}

// logQuarantine logs that requests of a content are not sent on for a time, or are again if
// it is 0.
func (d *decisionLog) logQuarantine(c quarantine.Content, id string, v quarantine.Verdict) {
	d.log.Warn("quarantine", "content", c, "scope", v.Scope, "for_ms", v.Left, "upstreams", v.Upstreams, "id", id)
}

// logProbeFailure logs a probe that returned no load, or a failed health check.
func (d *decisionLog) logProbeFailure(service string, res route.ProbeResult, err error) {
	if !d.limit.Allow(msgProbeFailed) {
		return
	}
	d.log.Info(msgProbeFailed, "service", service, "upstream", res.Upstream, "took_ms", res.Latency, "replaced", res.AddressReassigned,
		"load_known", res.Load != nil, "err", err)
}

// logStateChange logs a change of an upstream's state in a placer.
func (d *decisionLog) logStateChange(service string, c place.StateChange) {
	if c.State == place.StateLimited {
		d.log.Info("upstream limit", "service", service, "upstream", c.Upstream, "per_second", c.PerSecond, "share", c.Share, "id", c.CallerID)
		return
	}
	if c.State == place.StateCold {
		d.log.Info("upstream cold", "service", service, "upstream", c.Upstream, "for_ms", c.For, "share_per_second", c.PerSecond, "share_burst", c.Burst)
		return
	}
	if c.State == place.StateCutOff {
		d.log.Warn("service out of reach", "service", service, "out_of_reach", c.CutOff, "unanswered", c.Failures)
		return
	}
	d.log.Info("upstream out of use", "service", service, "upstream", c.Upstream, "belief", c.State, "for_ms", c.For,
		"failures", c.Failures, "success", c.Success, "id", c.CallerID)
}

// of returns the logger for the end of a request: one that another host has passed to this
// one is marked, as that host answers the caller. Others have their organisation.
func (d *decisionLog) of(r *request) *slog.Logger {
	switch {
	case r.forwarded:
		return d.log.With("forwarded", true)
	case r.organisation != nil:
		return d.log.With("organisation", r.organisation.Name)
	}
	return d.log
}

// logRefusal logs a request that the host refused before it reached a placer, with further
// attributes. It returns resp.
func (d *decisionLog) logRefusal(r *request, reason string, resp *Response, attributes ...any) *Response {
	if !d.limit.Allow(msgRefused) {
		return resp
	}
	d.of(r).With(attributes...).Info(msgRefused, "id", r.id, "reason", reason, "status", resp.Status, "retry_after_ms", resp.RetryAfter)
	return resp
}

// logEnd logs the end of a request that the host itself answered, or that an upstream
// answered after the route's target. It returns resp.
func (d *decisionLog) logEnd(r *request, end outcome, resp *Response) *Response {
	if resp.Reason == "" {
		d.logLate(r, end, resp)
		return resp
	}
	if !d.limit.Allow(msgAnsweredByHost) {
		return resp
	}
	if c := end.action.Refusal; end.action.Kind == route.Refuse {
		d.of(r).Info(msgAnsweredByHost, "id", r.id, "route", r.route.Name, "service", r.service, "reason", resp.Reason, "status", resp.Status,
			"after_ms", c.Waited, "asked", c.Probed, "upstreams", c.Upstreams, "usable", c.Usable, "cold", c.Cold, "room", c.WithRoom, "queued", c.Queued,
			"allocator", c.Allocator,
			"trail", end.trail, "retry_after_ms", resp.RetryAfter)
		return resp
	}
	d.of(r).Info(msgAnsweredByHost, "id", r.id, "route", r.route.Name, "service", r.service, "reason", resp.Reason, "status", resp.Status,
		"after_ms", d.clock.Now()-r.arrived, "trail", end.trail, "retry_after_ms", resp.RetryAfter)
	return resp
}

// logLate logs a response that came after the route's target.
func (d *decisionLog) logLate(r *request, end outcome, resp *Response) {
	took := d.clock.Now() - r.arrived
	if took <= r.route.Target || !d.limit.Allow(msgAnsweredLate) {
		return
	}
	d.of(r).Info(msgAnsweredLate, "id", r.id, "route", r.route.Name, "service", r.service, "status", resp.Status, "after_ms", took,
		"target_ms", r.route.Target, "trail", end.trail)
}

// logDiscovery logs a change of an upstream's discovery entry.
func (d *decisionLog) logDiscovery(row watch.DecodedRow[*discovery.Upstream]) {
	if row.Removed || row.DecodeErr != nil || row.Value == nil {
		d.log.Info("upstream gone", "upstream", row.Key, "row_version", row.Revision.Version, "row_era", row.Revision.Era, "missing", row.Missing)
		return
	}
	u := row.Value
	d.log.Info("upstream", "upstream", row.Key, "row_version", row.Revision.Version, "row_era", row.Revision.Era, "service", u.Service, "address", u.Address,
		"availability_zone", u.AvailabilityZone, "leaving", u.Leaving, "cold_ms", u.ColdFor, "started", u.Started)
}
