package route

import "siskinpath/core/clock"

const (
	ejectAfterFailures   = 5   // after which an upstream is ejected
	reejectAfterFailures = 2   // the same, for one that has just returned
	ejectSuccessShare    = 0.5 // success share below which an upstream is ejected
	ejectMinSamples      = 10  // attempts before the success share means anything
	recoverSuccessShare  = 0.8 // success share from which an upstream is good again
	drainIgnoreAfter     = 3   // new answers after which such a report no longer counts
	backoffResetSamples  = 10
)

// recordOutcome takes in what the end of an attempt tells of its upstream.
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

// recordDrainReport takes a report of draining at its word until the upstream has
// served new work several times in spite of it.
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

// recordCancelled counts a cancelled attempt that was slow already: leaving it
// out would make the service look faster than it is. One that was in flight at
// its deadline may be at an upstream that answers nothing, and counts as a failure
// instead.
func (s *Shard) recordCancelled(a *attempt, age clock.Millis) {
	if !a.timedOut && s.latencies.hasQuantiles() && float64(age) > s.latencies.p95 {
		s.latencies.add(age)
	}
}

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

func (s *Shard) recordFailure(now clock.Millis, u *upstream) {
	u.success -= successWeight * u.success
	u.samples++
	u.failures++
	u.lastOutcomeAt = now
	u.window = max(initialWindow, u.window*windowDecrease)
	if s.Ablation.NoEjection || u.health == ejected {
		return
	}
	row := ejectAfterFailures
	if u.ejections > 0 {
		row = reejectAfterFailures
	}
	if u.failures >= row || (u.samples >= ejectMinSamples && u.success < ejectSuccessShare) {
		s.eject(now, u)
	}
}
