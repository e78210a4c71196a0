package route

import "siskinpath/core/clock"

// hedgeSpare is the part of the slots that must be free for a hedge.
const hedgeSpare = 0.1

// armHedge sets the time at which a second attempt is weighed.
func (s *Shard) armHedge(now clock.Millis, r *request, a *attempt) {
	if s.Ablation.NoHedge || !r.Idempotent || r.hedged || s.hedges.Ratio <= 0 || !s.latencies.trusted() {
		return
	}
	s.arm(&a.hedge, now+1+clock.Millis(s.latencies.p95))
}

// hedge starts a second attempt of r, whose attempt a is still in flight, when
// slots are spare and the budget has one.
func (s *Shard) hedge(now clock.Millis, r *request, a *attempt) {
	if r.hedged || r.attempts >= maxAttempts || len(r.running) != 1 {
		return
	}
	u := s.hedgeAt(now, r)
	if u == nil {
		s.arm(&a.hedge, now+1+clock.Millis(s.latencies.p50))
		return
	}
	if !s.hedges.Withdraw() {
		return
	}
	r.hedged = true
	s.counters.Hedged++
	s.send(now, r, u)
}

func (s *Shard) hedgeAt(now clock.Millis, r *request) *upstream {
	if s.queue.len() > 0 {
		return nil
	}
	if float64(s.spare(now)) < max(1, hedgeSpare*float64(s.slots())) {
		return nil
	}
	return s.choose(now, r).good
}
