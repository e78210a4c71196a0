package route

import "siskinpath/core/clock"

// resolve decides what becomes of r after its attempt a ended: it is finished,
// retried or given up, or it waits for its other attempt.
func (s *Shard) resolve(now clock.Millis, r *request, a *attempt, status Status) {
	if status == Succeeded {
		s.finishRequest(r, a)
		return
	}
	if status == Errored || status == ConnectionLost || status == Cancelled {
		r.mayHaveRun = true
	}
	r.tried = append(r.tried, a.upstream)
	if len(r.running) > 0 {
		return
	}
	if s.mayRetry(now, r, status) && s.retries.Withdraw() {
		s.counters.Retried++
		s.assign(now, r)
		return
	}
	switch {
	case status == Errored:
		s.finishRequest(r, a)
	case status == NotSent && now >= r.Deadline:
		s.failRequest(now, r, ReasonDeadline)
	case status == ConnectionLost, status == Cancelled:
		s.failRequest(now, r, ReasonConnectionLost)
	default:
		s.failRequest(now, r, ReasonUpstreamRefused)
	}
}

// mayRetry reports whether r may be sent once more after an attempt that ended
// with status. A request that may have run is retried only when idempotent. Nested
// requests are not retried after errors and lost connections.
func (s *Shard) mayRetry(now clock.Millis, r *request, status Status) bool {
	if r.attempts >= maxAttempts || r.Deadline-now <= s.minServiceTime() {
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
		return r.Depth == 0 && c.healthy != nil && !r.hasTried(c.healthy)
	case ConnectionLost:
		return r.Depth == 0
	default:
		return false
	}
}

func (s *Shard) finishRequest(r *request, a *attempt) {
	s.counters.Finished++
	id := r.ID
	s.removeRequest(r)
	s.emit(Action{Kind: Finish, Request: id, Attempt: a.id, Upstream: a.upstream.Name})
}
