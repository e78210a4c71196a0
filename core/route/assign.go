package route

import "siskinpath/core/clock"

// The first three are in multiples of the 90th percentile of the service's
// latencies.
const (
	standingAfter = 4.0       // time after which a queue that was never empty is standing
	standingLeast = 3.0       // wait that a standing queue may always grow to
	standingMost  = 6.0       // wait that it may never grow beyond
	standingPart  = 1.0 / 8.0 // part of a request's time left that it may wait in such a queue
)

// place finds a request its upstream, its host, its place in the queue or its
// refusal.
func (s *Shard) place(now clock.Millis, r *request) {
	c := s.choose(now, r)
	if u := s.pick(now, c, s.queue.len()); u != nil {
		s.send(now, r, u)
		return
	}
	if s.spill(now, r) {
		return
	}
	switch {
	case !s.hasGood():
		s.placeLast(now, r, c.last)
	case !s.inTime(now, r):
		s.giveUp(now, r, ReasonOverloaded)
	default:
		s.enqueue(now, r)
	}
}

// placeLast places a request where no upstream is in good standing: at another
// owner, or else at what there is.
func (s *Shard) placeLast(now clock.Millis, r *request, last *upstream) {
	switch {
	case s.freest(now, r, false) != nil || !s.hasUpstream():
		s.passOn(now, r)
	case last != nil:
		s.send(now, r, last)
	case !s.inTime(now, r):
		s.giveUp(now, r, ReasonOverloaded)
	default:
		s.enqueue(now, r)
	}
}

// hasGood tells whether any upstream here is in good standing.
func (s *Shard) hasGood() bool {
	for _, u := range s.upstreams {
		if u.inUse() && u.standing == good {
			return true
		}
	}
	return false
}

// hasUpstream tells whether any upstream here may take work.
func (s *Shard) hasUpstream() bool {
	for _, u := range s.upstreams {
		if u.inUse() && u.standing != ejected {
			return true
		}
	}
	return false
}

// inTime tells whether a request that joins the queue can be answered before
// its deadline.
func (s *Shard) inTime(now clock.Millis, r *request) bool {
	if s.Ablation.NoAdmissionControl || !s.latencies.trusted() {
		return true
	}
	wait := s.waitFor(s.queue.len())
	if s.overloaded(now) && float64(wait) > s.standingWait(r.Deadline-now) {
		return false
	}
	return now+wait+s.leastService() < r.Deadline
}

// overloaded tells whether the queue has not been empty for so long that it is no
// burst: more work comes than the slots can do, and a longer queue would only
// make every answer later.
func (s *Shard) overloaded(now clock.Millis) bool {
	return s.queue.len() > 0 && float64(now-s.queuedSince) > standingAfter*s.latencies.p90
}

// standingWait returns how long a request with so much time left may wait in a
// standing queue.
func (s *Shard) standingWait(left clock.Millis) float64 {
	p90 := s.latencies.p90
	return min(standingMost*p90, max(standingLeast*p90, standingPart*float64(left)))
}

func (s *Shard) enqueue(now clock.Millis, r *request) {
	s.counters.Queued++
	if s.queue.len() == 0 {
		s.queuedSince = now
	}
	s.queue.push(r)
	s.arm(&r.deadline, max(now+1, r.Deadline-s.leastService()))
}

// leastService is the time left below which a request is not worth sending. It
// is low, since one service may have calls of very different lengths.
func (s *Shard) leastService() clock.Millis {
	if s.Ablation.NoAdmissionControl {
		return 0
	}
	return clock.Millis(s.latencies.p10)
}

// send starts an attempt of r at u.
func (s *Shard) send(now clock.Millis, r *request, u *upstream) {
	s.queue.remove(r)
	u.rate.Take(now)
	a := s.newAttempt(now, r, u)
	u.add(a)
	r.attempts++
	r.running = append(r.running, a)
	s.counters.Sent++
	s.arm(&r.deadline, r.Deadline)
	s.armHedge(now, r, a)
	s.emit(Action{Kind: Send, Request: r.ID, Attempt: a.id, Upstream: u.Name})
}

// dispatch gives free slots to queued requests.
func (s *Shard) dispatch(now clock.Millis) {
	for s.queue.len() > 0 {
		if !s.hasUpstream() {
			s.passQueueOn(now)
			return
		}
		if !s.dispatchOne(now) {
			return
		}
	}
}

func (s *Shard) dispatchOne(now clock.Millis) bool {
	for i := 0; i < min(queueLook, s.queue.len()); i++ {
		r := s.queue.items[i]
		c := s.choose(now, r)
		u := s.pick(now, c, s.queue.len())
		if u == nil && !s.hasGood() {
			u = c.last
		}
		if u != nil {
			s.send(now, r, u)
			return true
		}
		if len(r.tried) == 0 {
			return false
		}
	}
	return false
}

// expire handles a timer that is due.
func (s *Shard) expire(now clock.Millis, t *timer) {
	r := t.request
	if t.attempt != nil {
		s.hedge(now, r, t.attempt)
		return
	}
	if r.forwarded {
		return
	}
	s.giveUp(now, r, ReasonDeadline)
}

// giveUp ends a request without an answer. Whether it may have run decides
// which end it is.
func (s *Shard) giveUp(now clock.Millis, r *request, reason Reason) {
	for _, a := range r.running {
		a.timedOut = true
		r.mayHaveRun = true
	}
	after := max(s.spread.Refuse(now, s.waitFor(s.queue.len()), s.Rand), r.retryAfter)
	kind := Refuse
	if r.mayHaveRun {
		kind = Unknown
		s.counters.Unknown++
	} else {
		s.counters.countRefusal(reason)
	}
	id := r.ID
	s.forget(r)
	s.emit(Action{Kind: kind, Request: id, Reason: reason, RetryAfter: after})
}
