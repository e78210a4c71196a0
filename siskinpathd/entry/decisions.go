package entry

import (
	"log/slog"

	"siskinpath/core/clock"
	"siskinpath/core/discovery"
	"siskinpath/core/place"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/watch"
)

// decisions writes a log line for each decision that touches a request or
// changes what this host believes of an upstream.
type decisions struct {
	log   *slog.Logger
	clock clock.Clock
	limit int
}

// statusNames are how log lines call the ends of an attempt.
var statusNames = map[route.Status]string{
	route.Succeeded: "succeeded", route.Errored: "errored", route.Refused: "refused",
	route.NotSent: "not_sent", route.Lost: "lost", route.Cancelled: "cancelled",
}

// action logs what a placer decided.
func (d *decisions) action(service string, f *flight, a place.Action) {
	if a.Kind != route.Send || f == nil {
		return
	}
	b := a.Basis
	d.log.Info("sent", "id", f.id, "service", service, "upstream", a.Upstream, "attempt", b.Attempt, "hedge", b.Hedge,
		"waited_ms", b.Waited, "asked", b.Asked, "reported", b.Reported, "age_ms", b.Age, "load", b.Load, "slots", b.Slots,
		"slowdown", b.Slowdown)
}

// ended logs an attempt that did not end with an answer.
func (d *decisions) attemptEnded(service string, f *flight, a place.Action, res route.Result, err error) {
	if res.Status == route.Succeeded {
		return
	}
	d.log.Info("attempt ended", "id", f.id, "service", service, "upstream", a.Upstream, "status", statusNames[res.Status], "err", err)
}

// believed logs a change of what a placer believes of an upstream.
func (d *decisions) believed(service string, n place.Note) {
	d.log.Info("upstream out of use", "service", service, "upstream", n.Upstream, "belief", n.Belief, "for_ms", n.For,
		"failures", n.Failures, "success", n.Success)
}

// refused logs a request that reached no placer.
func (d *decisions) refused(r *request, reason string, a *Answer) *Answer {
	d.log.Info("refused", "id", r.id, "reason", reason, "status", a.Status, "retry_after_ms", a.RetryAfter)
	return a
}

// ended logs the end of a request that a host's own answer gives.
func (d *decisions) ended(r *request, end outcome, a *Answer) *Answer {
	if a.Reason == "" {
		return a
	}
	d.log.Info("answered by the host", "id", r.id, "route", r.route.Name, "service", r.service, "reason", a.Reason, "status", a.Status,
		"after_ms", d.clock.Now()-r.arrived, "attempts", end.attempts, "retry_after_ms", a.RetryAfter)
	return a
}

// discovered logs an entry of discovery.
func (d *decisions) discovered(row watch.Decoded[*discovery.Upstream]) {
	if row.Removed || row.Fault != nil || row.Value == nil {
		d.log.Info("upstream gone", "upstream", row.Key, "row_version", row.Version, "missing", row.Missing)
		return
	}
	u := row.Value
	d.log.Info("upstream", "upstream", row.Key, "row_version", row.Version, "service", u.Service, "address", u.Address,
		"availability_zone", u.AvailabilityZone, "leaving", u.Leaving, "cold_ms", u.ColdFor)
}
