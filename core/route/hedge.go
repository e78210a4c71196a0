package route

import "siskinpath/core/clock"

// hedgeMinSpareShare is the share of the slots that must be free for a hedge.
const hedgeMinSpareShare = 0.1

// scheduleHedge sets the timer at which a second attempt of r is considered, after
// the 95th percentile of latencies.
func (s *Shard) scheduleHedge(now clock.Millis, r *request, a *attempt) {
	if s.Ablation.NoHedge || !r.Idempotent || r.hedged || s.hedges.Ratio <= 0 || !s.latencies.hasQuantiles() {
		return
	}
	s.setTimer(&a.hedge, now+1+clock.Millis(s.latencies.p95))
}

// hedge starts a second attempt of r, whose attempt a is still in flight, when
// spare slots and the hedging budget allow it.
func (s *Shard) hedge(now clock.Millis, r *request, a *attempt) {
	if r.hedged || r.attempts >= maxAttempts || len(r.running) != 1 {
		return
	}
	u := s.hedgeTarget(now, r)
	if u == nil {
		s.setTimer(&a.hedge, now+1+clock.Millis(s.latencies.p50))
		return
	}
	if !s.hedges.Withdraw() {
		return
	}
	r.hedged = true
	s.counters.Hedged++
	s.send(now, r, u)
}

// hedgeTarget returns the upstream for a second attempt of r, nil while requests
// are queued or too few slots are spare.
func (s *Shard) hedgeTarget(now clock.Millis, r *request) *upstream {
	if s.queue.len() > 0 {
		return nil
	}
	if float64(s.spareSlots(now)) < max(1, hedgeMinSpareShare*float64(s.healthySlots())) {
		return nil
	}
	return s.choose(now, r).healthy
}
