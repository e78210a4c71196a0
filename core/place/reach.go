package place

import "siskinpath/core/clock"

const (
	// unreachedToCutOff is the number of upstreams that must have failed to answer, with no
	// answer of another one, for a host to count as cut off from a service.
	unreachedToCutOff = 3
	// cutOffAfter is how long that must have gone on.
	cutOffAfter = 200 * clock.Millisecond
)

// reach records which upstreams this host has failed to reach since one of them last
// answered.
type reach struct {
	failed map[string]bool
	since  clock.Millis // of the first failure
	cutOff bool         // as last reported
}

// recordAnswer records that an upstream has answered, whatever it said.
func (p *Placer) recordAnswer(now clock.Millis) {
	clear(p.reach.failed)
	p.reportReach(now)
}

// recordNoAnswer records that an upstream has not answered an attempt or a probe.
func (p *Placer) recordNoAnswer(now clock.Millis, u *upstream) {
	if u.gone {
		return
	}
	if p.reach.failed == nil {
		p.reach.failed = map[string]bool{}
	}
	if len(p.reach.failed) == 0 {
		p.reach.since = now
	}
	p.reach.failed[u.ID] = true
	p.reportReach(now)
}

// outOfReach reports whether none of several upstreams has answered.
func (p *Placer) outOfReach() bool {
	return len(p.upstreams) > 0 && len(p.reach.failed) >= min(unreachedToCutOff, len(p.upstreams))
}

// cutOff reports whether this host reaches no upstream of the service.
func (p *Placer) cutOff(now clock.Millis) bool {
	return p.outOfReach() && now-p.reach.since >= cutOffAfter
}

// reportReach records a state change when this host becomes cut off, or no longer is.
func (p *Placer) reportReach(now clock.Millis) {
	if off := p.cutOff(now); off != p.reach.cutOff {
		p.reach.cutOff = off
		p.stateChanges = append(p.stateChanges, StateChange{State: StateCutOff, CutOff: off, Failures: len(p.reach.failed)})
	}
}
