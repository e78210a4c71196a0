package place

import (
	"slices"

	"siskinpath/core/clock"
)

// inDoubt reports whether r might be sent to u but for a probe that has not been answered
// in time. A new connection or a busy processor delays an answer as well, so u counts as
// unreachable only once a probe has failed.
func (p *Placer) inDoubt(now clock.Millis, r *request, u *upstream) bool {
	return u.silent(now) && u.unansweredAt == 0 && p.eligible(now, r, u) && u.admits(now)
}

// allInDoubt reports whether no upstream is usable for r but some are in doubt, so that r
// should wait for the results of their probes. A host with evidence that it is cut off
// passes requests on instead.
func (p *Placer) allInDoubt(now clock.Millis, r *request) bool {
	if p.Tuning.NoDoubt || p.outOfReach() || p.farFromMost(now) {
		return false
	}
	return !slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return p.usable(now, r, u) }) &&
		slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return p.inDoubt(now, r, u) })
}

// awaitProbes lets r, whose wait is over, wait for probes that have not been answered.
func (p *Placer) awaitProbes(now clock.Millis, r *request) {
	r.waitUntil = now + probeTimeout
	p.enqueue(now, r)
}
