package place

import (
	"cmp"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// noticeMemory is how long a notice is kept for an upstream that service discovery does
// not list, in case it is listed again.
const noticeMemory = 10 * clock.Minute

// rowLag is how long after a start of an upstream its row may still name the start before.
const rowLag = 3 * clock.Second

// notice is what one start of an upstream has told this host about itself in replies.
// It binds this host until that start ends, whatever service discovery says.
type notice struct {
	started     int64 // see Upstream.Started
	leaving     bool
	noneUntil   clock.Millis // it wants no request until then
	perSecond   float64      // requests that it takes from all hosts together; 0 for no limit
	inProbes    bool         // it names the limit in replies to probes too
	pace        pace         // of this host's requests while there is a limit
	lastHeardAt clock.Millis
}

// forbids reports whether nothing may be sent to the upstream. A nil notice forbids
// nothing.
func (n *notice) forbids(now clock.Millis) bool {
	return n != nil && (n.leaving || now < n.freeAt(now))
}

// freeAt returns from when on the upstream takes a request from this host. A nil notice
// returns the present.
func (n *notice) freeAt(now clock.Millis) clock.Millis {
	if n == nil {
		return now
	}
	if n.perSecond > 0 {
		return max(n.noneUntil, n.pace.next(now))
	}
	return n.noneUntil
}

// noticeOf returns the notice of a start of an upstream, nil for none. A pause that the
// start before has asked for within rowLag may have been this one's.
func (p *Placer) noticeOf(now clock.Millis, u Upstream) *notice {
	n := p.notices[u.ID]
	switch {
	case n == nil:
		return nil
	case n.started == u.Started:
		return n
	case now-n.lastHeardAt >= rowLag || now >= n.noneUntil:
		return nil
	}
	next := &notice{started: u.Started, noneUntil: n.noneUntil, lastHeardAt: n.lastHeardAt}
	p.notices[u.ID] = next
	return next
}

// recordNotice records what u has said in a reply to the request with this caller's id,
// or to a probe.
func (p *Placer) recordNotice(now clock.Millis, u *upstream, said route.Notice, callerID string) {
	if !said.Leaving && said.RetryAfter == 0 && said.PerSecond == 0 && (u.notice == nil || u.notice.perSecond == 0) {
		return
	}
	if u.notice == nil {
		p.dropOldNotices(now)
		u.notice = &notice{started: u.Started}
		p.notices[u.ID] = u.notice
	}
	n := u.notice
	n.lastHeardAt = now
	if said.Leaving && !n.leaving {
		n.leaving = true
		p.stateChanges = append(p.stateChanges, StateChange{Upstream: u.ID, State: "leaving", CallerID: callerID})
	}
	if said.PerSecond > 0 {
		n.pace.set(now, said.PerSecond*cmp.Or(p.cfg.LimitShare, 1)*limitUse, p.Rand)
	}
	if said.PerSecond != n.perSecond {
		n.perSecond = said.PerSecond
		p.stateChanges = append(p.stateChanges, StateChange{Upstream: u.ID, State: StateLimited, PerSecond: said.PerSecond, Share: p.cfg.LimitShare, CallerID: callerID})
	}
	if until := now + said.RetryAfter; said.RetryAfter > 0 && until > n.noneUntil {
		if now >= n.noneUntil {
			p.stateChanges = append(p.stateChanges, StateChange{Upstream: u.ID, State: "back_pressure", For: said.RetryAfter, CallerID: callerID})
		}
		n.noneUntil = until
	}
}

// recordProbeNotice records what u has said in a reply to a probe. That the reply names
// no limit counts only if an earlier one did.
func (p *Placer) recordProbeNotice(now clock.Millis, u *upstream, said route.Notice) {
	named := said.PerSecond > 0
	if n := u.notice; n != nil && !named && !n.inProbes {
		said.PerSecond = n.perSecond
	}
	p.recordNotice(now, u, said, "")
	if named {
		u.notice.inProbes = true
	}
}

// recordSlotNotice records what u has said in its reply to another host. Limits are not
// passed on, as each host has a share of its own.
func (p *Placer) recordSlotNotice(now clock.Millis, u *upstream, m SlotMessage) {
	if u.gone || !m.Leaving && m.RetryAfter == 0 {
		return
	}
	said := route.Notice{Leaving: m.Leaving, RetryAfter: m.RetryAfter}
	if u.notice != nil {
		said.PerSecond = u.notice.perSecond
	}
	p.recordNotice(now, u, said, "")
}

// dropOldNotices forgets upstreams that are not listed and were last heard from long
// ago.
func (p *Placer) dropOldNotices(now clock.Millis) {
	for id, n := range p.notices {
		if p.byID[id] == nil && now-n.lastHeardAt > noticeMemory && now >= n.noneUntil {
			delete(p.notices, id)
		}
	}
}

// backPressureLeft returns how long no upstream takes r from this host although at least
// one would be usable otherwise, 0 if that is not so. Until then a caller need not come
// back.
func (p *Placer) backPressureLeft(now clock.Millis, r *request) (left clock.Millis) {
	for _, u := range p.upstreams {
		if p.usable(now, r, u) {
			return 0
		}
		if u.Leaving || u.gone || u.notice != nil && u.notice.leaving {
			continue
		}
		if l := max(u.notice.freeAt(now), u.admitsAt(now)) - now; l > 0 && (left == 0 || l < left) {
			left = l
		}
	}
	return left
}
