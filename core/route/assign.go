package route

import "siskinpath/core/clock"

// Limits of a standing queue: one that has not been empty for so long that it is
// no burst. The first three are multiples of the 90th percentile of the
// service's latencies.
const (
	standingQueueAfter   = 4.0       // time without an empty queue after which the queue is standing
	standingQueueMinWait = 3.0       // wait that a standing queue may always reach
	standingQueueMaxWait = 6.0       // wait that a standing queue may never exceed
	standingQueueShare   = 1.0 / 8.0 // share of its remaining time that a request may wait in a standing queue
)

// assign sends r to an upstream, forwards it to another host, queues it or refuses
// it.
func (s *Shard) assign(now clock.Millis, r *request) {
	c := s.choose(now, r)
	if u := s.selectUpstream(now, c, s.queue.len()); u != nil {
		s.send(now, r, u)
		return
	}
	if s.spill(now, r) {
		return
	}
	switch {
	case !s.hasHealthy():
		s.assignLastResort(now, r, c.lastResort)
	case !s.canMeetDeadline(now, r):
		s.failRequest(now, r, ReasonOverloaded)
	default:
		s.enqueue(now, r)
	}
}

// assignLastResort handles a request when no upstream here is healthy: it goes to
// another owner, or else to an upstream of last resort.
func (s *Shard) assignLastResort(now clock.Millis, r *request, last *upstream) {
	switch {
	case s.bestOwner(now, r, false) != nil || !s.hasUsable():
		s.forwardOrRefuse(now, r)
	case last != nil:
		s.send(now, r, last)
	case !s.canMeetDeadline(now, r):
		s.failRequest(now, r, ReasonOverloaded)
	default:
		s.enqueue(now, r)
	}
}

// hasHealthy reports whether any upstream here is healthy and accepts work.
func (s *Shard) hasHealthy() bool {
	for _, u := range s.upstreams {
		if u.acceptsWork() && u.health == healthy {
			return true
		}
	}
	return false
}

// hasUsable reports whether any upstream here accepts work and is not ejected.
func (s *Shard) hasUsable() bool {
	for _, u := range s.upstreams {
		if u.acceptsWork() && u.health != ejected {
			return true
		}
	}
	return false
}

// canMeetDeadline reports whether a request that joins the queue can be answered
// before its deadline.
func (s *Shard) canMeetDeadline(now clock.Millis, r *request) bool {
	if s.Ablation.NoAdmissionControl || !s.latencies.hasQuantiles() {
		return true
	}
	wait := s.estimateWait(s.queue.len())
	if s.hasStandingQueue(now) && float64(wait) > s.maxStandingWait(r.Deadline-now) {
		return false
	}
	return now+wait+s.minServiceTime() < r.Deadline
}

// hasStandingQueue reports whether the queue has not been empty for so long that it
// is no burst: more work arrives than the slots can do, and a longer queue would
// only delay every answer.
func (s *Shard) hasStandingQueue(now clock.Millis) bool {
	return s.queue.len() > 0 && float64(now-s.queueEmptyAt) > standingQueueAfter*s.latencies.p90
}

// maxStandingWait returns how long a request with the given time left until its
// deadline may wait in a standing queue.
func (s *Shard) maxStandingWait(left clock.Millis) float64 {
	p90 := s.latencies.p90
	return min(standingQueueMaxWait*p90, max(standingQueueMinWait*p90, standingQueueShare*float64(left)))
}

func (s *Shard) enqueue(now clock.Millis, r *request) {
	s.counters.Queued++
	if s.queue.len() == 0 {
		s.queueEmptyAt = now
	}
	s.queue.push(r)
	s.setTimer(&r.deadline, max(now+1, r.Deadline-s.minServiceTime()))
}

// minServiceTime is the remaining time below which a request is not worth sending.
// It is the 10th percentile of latencies, a low one, because one service may have
// calls of very different lengths.
func (s *Shard) minServiceTime() clock.Millis {
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
	s.setTimer(&r.deadline, r.Deadline)
	s.scheduleHedge(now, r, a)
	s.emit(Action{Kind: Send, Request: r.ID, Attempt: a.id, Upstream: u.Name})
}

// dispatch sends queued requests to free slots. When no upstream here is usable, it
// forwards the whole queue.
func (s *Shard) dispatch(now clock.Millis) {
	for s.queue.len() > 0 {
		if !s.hasUsable() {
			s.forwardQueue(now)
			return
		}
		if !s.dispatchOne(now) {
			return
		}
	}
}

// dispatchOne sends one of the first requests in the queue and reports whether it
// did. It looks past the first request only while the requests it passes have
// failed at an upstream, since others are held up by the same lack of slots.
func (s *Shard) dispatchOne(now clock.Millis) bool {
	for i := 0; i < min(dispatchScanLimit, s.queue.len()); i++ {
		r := s.queue.items[i]
		c := s.choose(now, r)
		u := s.selectUpstream(now, c, s.queue.len())
		if u == nil && !s.hasHealthy() {
			u = c.lastResort
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

// fireTimer handles a timer that is due: a hedge, or a deadline that passed. The
// driver ends a forwarded request, so its deadline does nothing here.
func (s *Shard) fireTimer(now clock.Millis, t *timer) {
	r := t.request
	if t.attempt != nil {
		s.hedge(now, r, t.attempt)
		return
	}
	if r.forwarded {
		return
	}
	s.failRequest(now, r, ReasonDeadline)
}

// failRequest ends a request without an answer: as Unknown when it may have run,
// as Refuse otherwise.
func (s *Shard) failRequest(now clock.Millis, r *request, reason Reason) {
	for _, a := range r.running {
		a.timedOut = true
		r.mayHaveRun = true
	}
	after := max(s.spread.RecordRefusal(now, s.estimateWait(s.queue.len()), s.Rand), r.retryAfter)
	kind := Refuse
	if r.mayHaveRun {
		kind = Unknown
		s.counters.Unknown++
	} else {
		s.counters.countRefusal(reason)
	}
	id := r.ID
	s.removeRequest(r)
	s.emit(Action{Kind: kind, Request: id, Reason: reason, RetryAfter: after})
}
