package entry

import (
	"log/slog"

	"siskinpath/core/clock"
	"siskinpath/core/discovery"
	"siskinpath/core/place"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/logs"
	"siskinpath/siskinpathd/watch"
)

// decisions writes a log line for each decision that touches a request or
// changes what this host believes of an upstream.
type decisions struct {
	log   *slog.Logger
	clock clock.Clock
	limit *logs.Limiter
}

// Messages of the lines that a request may cause, which are limited before their
// values are gathered.
const (
	lineSent     = "sent"
	lineAttempt  = "attempt ended"
	lineRefused  = "refused"
	lineLate     = "answered late"
	lineAnswered = "answered by the host"
	lineProbe    = "probe failed"
)

// statusNames are how log lines call the ends of an attempt.
var statusNames = map[route.Status]string{
	route.Succeeded: "succeeded", route.Errored: "errored", route.Refused: "refused",
	route.NotSent: "not_sent", route.ConnectionLost: "lost", route.Cancelled: "cancelled",
}

// sent logs an attempt and what the choice of its upstream rests on.
func (d *decisions) sent(service string, f *flight, a place.Action) {
	if !d.limit.Allow(lineSent) {
		return
	}
	b := a.Sent
	d.log.Info(lineSent, "id", f.id, "service", service, "upstream", a.Upstream, "attempt", b.Attempt, "hedge", b.Hedge,
		"waited_ms", b.Waited, "asked", b.Probed, "reported", b.Reported, "age_ms", b.Age, "load", b.Load, "slots", b.Slots,
		"slowdown", b.Slowdown)
}

// ended logs an attempt that did not end with an answer.
func (d *decisions) attemptEnded(service string, f *flight, a place.Action, res route.Result, err error) {
	if res.Status == route.Succeeded || !d.limit.Allow(lineAttempt) {
		return
	}
	d.log.Info(lineAttempt, "id", f.id, "service", service, "upstream", a.Upstream, "status", statusNames[res.Status], "err", err)
}

// probeFailed logs a probe that brought no load, or a status check that fails.
func (d *decisions) probeFailed(service string, res route.ProbeResult, err error) {
	if !d.limit.Allow(lineProbe) {
		return
	}
	d.log.Info(lineProbe, "service", service, "upstream", res.Upstream, "took_ms", res.Latency, "replaced", res.AddressReassigned,
		"load_known", res.Load != nil, "err", err)
}

// believed logs a change of what a placer believes of an upstream.
func (d *decisions) believed(service string, n place.StateChange) {
	d.log.Info("upstream out of use", "service", service, "upstream", n.Upstream, "belief", n.State, "for_ms", n.For,
		"failures", n.Failures, "success", n.Success)
}

// refused logs a request that reached no placer.
func (d *decisions) refused(r *request, reason string, a *Response) *Response {
	if !d.limit.Allow(lineRefused) {
		return a
	}
	d.log.Info(lineRefused, "id", r.id, "reason", reason, "status", a.Status, "retry_after_ms", a.RetryAfter)
	return a
}

// ended logs the end of a request that a host's own answer gives, or an upstream's
// that comes after the route's target.
func (d *decisions) ended(r *request, end outcome, a *Response) *Response {
	if a.Reason == "" {
		d.late(r, end, a)
		return a
	}
	if !d.limit.Allow(lineAnswered) {
		return a
	}
	if c := end.action.Refusal; end.action.Kind == route.Refuse {
		d.log.Info(lineAnswered, "id", r.id, "route", r.route.Name, "service", r.service, "reason", a.Reason, "status", a.Status,
			"after_ms", c.Waited, "asked", c.Probed, "upstreams", c.Upstreams, "usable", c.Usable, "room", c.WithRoom, "queued", c.Queued,
			"trail", end.trail, "retry_after_ms", a.RetryAfter)
		return a
	}
	d.log.Info(lineAnswered, "id", r.id, "route", r.route.Name, "service", r.service, "reason", a.Reason, "status", a.Status,
		"after_ms", d.clock.Now()-r.arrived, "trail", end.trail, "retry_after_ms", a.RetryAfter)
	return a
}

// late logs an answer that came after its target.
func (d *decisions) late(r *request, end outcome, a *Response) {
	took := d.clock.Now() - r.arrived
	if took <= r.route.Target || !d.limit.Allow(lineLate) {
		return
	}
	d.log.Info(lineLate, "id", r.id, "route", r.route.Name, "service", r.service, "status", a.Status, "after_ms", took,
		"target_ms", r.route.Target, "trail", end.trail)
}

// discovered logs an entry of discovery.
func (d *decisions) discovered(row watch.DecodedRow[*discovery.Upstream]) {
	if row.Removed || row.DecodeErr != nil || row.Value == nil {
		d.log.Info("upstream gone", "upstream", row.Key, "row_version", row.Version, "missing", row.Missing)
		return
	}
	u := row.Value
	d.log.Info("upstream", "upstream", row.Key, "row_version", row.Version, "service", u.Service, "address", u.Address,
		"availability_zone", u.AvailabilityZone, "leaving", u.Leaving, "cold_ms", u.ColdFor)
}
