package route

import "siskinpath/core/clock"

const (
	ejectAfterFailures   = 5   // consecutive failures after which an upstream is ejected
	reejectAfterFailures = 2   // the same, for an upstream that returned from ejection recently
	ejectSuccessShare    = 0.5 // success share below which an upstream is ejected
	ejectMinSamples      = 10  // attempts required before the success share counts
	recoverSuccessShare  = 0.8 // success share from which an upstream of last resort is healthy again
	drainIgnoreAfter     = 3   // requests served while reporting draining, after which that report is ignored
	backoffResetSamples  = 10  // attempts since its return after which earlier ejections of an upstream no longer count
)

// recordOutcome updates the state of an attempt's upstream from the attempt's end.
func (s *Shard) recordOutcome(now clock.Millis, a *attempt, result Result) {
	u := a.upstream
	age := now - a.started
	s.recordDrainReport(now, a, result)
	switch result.Status {
	case Succeeded:
		s.latencies.add(age)
		s.recordSuccess(now, u, float64(age))
	case Cancelled:
		s.recordCancelled(a, age)
		if a.timedOut && s.exceedsStragglerAge(age) {
			s.recordFailure(now, u)
		}
	case NotSent:
		if result.BlockedLocally || a.request != nil && now >= a.request.Deadline {
			return
		}
		u.window = initialWindow
		s.recordFailure(now, u)
	default:
		s.recordFailure(now, u)
	}
}

// recordDrainReport makes an upstream that reports draining one of last resort,
// until it has served drainIgnoreAfter requests that started after its first
// report.
func (s *Shard) recordDrainReport(now clock.Millis, a *attempt, result Result) {
	u := a.upstream
	if result.Load == nil {
		return
	}
	if !result.Load.Draining {
		u.drainReportedAt = 0
		u.servedWhileDraining = 0
		return
	}
	if u.drainReportedAt == 0 {
		u.drainReportedAt = now
	}
	if result.Status == Succeeded && a.started > u.drainReportedAt {
		u.servedWhileDraining++
	}
	if u.servedWhileDraining < drainIgnoreAfter {
		s.demote(now, u, drainReportTTL)
	}
}

// recordCancelled records the latency of a cancelled attempt that was already slow:
// leaving it out would make the service look faster than it is. An attempt in
// flight at its deadline is left out, since its upstream may be one that answers
// nothing; recordOutcome counts it as a failure when it is a straggler.
func (s *Shard) recordCancelled(a *attempt, age clock.Millis) {
	if !a.timedOut && s.latencies.hasQuantiles() && float64(age) > s.latencies.p95 {
		s.latencies.add(age)
	}
}

// recordSuccess updates u after a success: its window grows by one request per
// window of successes.
func (s *Shard) recordSuccess(now clock.Millis, u *upstream, age float64) {
	if u.latency == 0 {
		u.latency = age
	}
	u.latency += latencyWeight * (age - u.latency)
	u.success += successWeight * (1 - u.success)
	u.samples++
	u.failures = 0
	u.lastOutcomeAt = now
	u.window = min(float64(max(1, u.Share)), u.window+1/u.window)
	if u.samples >= backoffResetSamples {
		u.ejections = 0
	}
	if u.health == lastResort && u.healthUntil == 0 && u.success >= recoverSuccessShare {
		u.health = healthy
	}
}

// recordFailure updates u after a failure: its window shrinks, and u is ejected
// when it has failed too often.
func (s *Shard) recordFailure(now clock.Millis, u *upstream) {
	u.success -= successWeight * u.success
	u.samples++
	u.failures++
	u.lastOutcomeAt = now
	u.window = max(initialWindow, u.window*windowDecrease)
	if s.Ablation.NoEjection || u.health == ejected {
		return
	}
	threshold := ejectAfterFailures
	if u.ejections > 0 {
		threshold = reejectAfterFailures
	}
	if u.failures >= threshold || (u.samples >= ejectMinSamples && u.success < ejectSuccessShare) {
		s.eject(now, u)
	}
}
