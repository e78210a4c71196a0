package place

import (
	"maps"

	"siskinpath/core/clock"
)

const (
	// unreachedToCutOff is the number of upstreams that must have failed to answer, with no
	// answer of another one, for a host to count as cut off from a service.
	unreachedToCutOff = 3
	// cutOffAfter is how long that must have gone on.
	cutOffAfter = 200 * clock.Millisecond
	// unansweredMemory is how long an upstream that has not answered counts for
	// farFromMost.
	unansweredMemory = 2 * clock.Second
)

// reach records which upstreams this host has failed to reach since one of them last
// answered.
type reach struct {
	failed  map[string]bool
	since   clock.Millis // of the first failure
	cutOff  bool         // see reportReach
	probeAt clock.Millis // when to probe next while cut off
}

// recordAnswer records that an upstream has answered, whatever it said.
func (p *Placer) recordAnswer(now clock.Millis, u *upstream) {
	u.unansweredAt = 0
	clear(p.reach.failed)
	p.reportReach(now)
}

// recordNoAnswer records that an upstream has not answered an attempt or a probe.
func (p *Placer) recordNoAnswer(now clock.Millis, u *upstream) {
	if u.gone || u.Leaving {
		return
	}
	u.unansweredAt = now
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
	staying := p.staying()
	return staying > 0 && len(p.reach.failed) >= min(unreachedToCutOff, staying)
}

// farFromMost reports whether at least half of the upstreams have not answered this host
// the last time. Another one may reach them.
func (p *Placer) farFromMost(now clock.Millis) bool {
	n := 0
	for _, u := range p.upstreams {
		if !u.Leaving && u.unansweredAt > 0 && now-u.unansweredAt < unansweredMemory {
			n++
		}
	}
	return n > 0 && 2*n >= p.staying()
}

// reportReach updates whether this host counts as cut off from the service, and records a
// state change if that has changed.
func (p *Placer) reportReach(now clock.Millis) {
	off := p.outOfReach() && now-p.reach.since >= cutOffAfter
	if off == p.reach.cutOff {
		return
	}
	p.reach.cutOff = off
	p.reach.probeAt = now
	p.stateChanges = append(p.stateChanges, StateChange{State: StateCutOff, CutOff: off, Failures: len(p.reach.failed)})
}

// pruneReach forgets upstreams that are no longer listed.
func (p *Placer) pruneReach(now clock.Millis) {
	maps.DeleteFunc(p.reach.failed, func(id string, _ bool) bool { return p.byID[id] == nil || p.byID[id].Leaving })
	p.reportReach(now)
}
