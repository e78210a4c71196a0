package route

import "siskinpath/core/clock"

// settle decides what the end of attempt a means for its request.
func (s *Shard) settle(now clock.Millis, r *request, a *attempt, status Status) {
	if status == Succeeded {
		s.finish(r, a)
		return
	}
	if status == Errored || status == Lost || status == Cancelled {
		r.mayHaveRun = true
	}
	r.tried = append(r.tried, a.upstream)
	if len(r.running) > 0 {
		return
	}
	if s.mayRetry(now, r, status) && s.retries.Spend() {
		s.counters.Retried++
		s.place(now, r)
		return
	}
	switch {
	case status == Errored:
		s.finish(r, a)
	case status == NotSent && now >= r.Deadline:
		s.giveUp(now, r, ReasonDeadline)
	case status == Lost, status == Cancelled:
		s.giveUp(now, r, ReasonConnectionLost)
	default:
		s.giveUp(now, r, ReasonUpstreamRefused)
	}
}

// mayRetry tells whether r may be sent once more after an attempt that ended
// with status.
func (s *Shard) mayRetry(now clock.Millis, r *request, status Status) bool {
	if r.attempts >= maxAttempts || r.Deadline-now <= s.leastService() {
		return false
	}
	if r.mayHaveRun && !r.Idempotent {
		return false
	}
	switch status {
	case Refused, NotSent:
		return true
	case Errored:
		c := s.choose(now, r)
		return r.Depth == 0 && c.good != nil && !r.hasTried(c.good)
	case Lost:
		return r.Depth == 0
	default:
		return false
	}
}

func (s *Shard) finish(r *request, a *attempt) {
	s.counters.Finished++
	id := r.ID
	s.forget(r)
	s.emit(Action{Kind: Finish, Request: id, Attempt: a.id, Upstream: a.upstream.Name})
}
