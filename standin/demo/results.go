package demo

import (
	"time"

	"siskinpath/standin/caller"
	"siskinpath/standin/consistency"
	"siskinpath/standin/metric"
)

// violations compares what callers were told with what upstreams ran.
func (m *Demo) violations() (consistency.Violations, error) {
	runs, err := m.d.Runs()
	if err != nil {
		return consistency.Violations{}, err
	}
	return consistency.Compare(m.load.RequestLog.Records(), runs, m.marks), nil
}

// upstreamCounters holds sums over the upstreams' counters.
type upstreamCounters struct {
	overshoot  int // largest number of concurrent requests above the limit in force at an upstream
	probes     float64
	refused    float64
	cancelled  float64
	seconds    float64
	overBudget bool // a service's probes exceeded its budget
}

// budgetSlackSeconds is the number of seconds by which the probes may be ahead of
// the budget, because unused tokens accumulate.
const budgetSlackSeconds = 1.0

func (m *Demo) upstreamCounters() (t upstreamCounters, err error) {
	t.seconds = time.Since(m.startedAt).Seconds()
	for _, s := range m.d.Services {
		counts, err := m.d.Counts(s.Name)
		if err != nil {
			return t, err
		}
		probes := 0.0
		for _, u := range counts.Upstreams {
			t.overshoot = max(t.overshoot, u.MaxOvershoot)
			t.refused += float64(u.Refused)
			t.cancelled += float64(u.Cancelled)
			probes += float64(u.Probes + u.LoadReads)
		}
		t.probes += probes
		if probes > s.ProbesPerSecond*(t.seconds+budgetSlackSeconds) {
			t.overBudget = true
		}
	}
	return t, nil
}

func (t upstreamCounters) metrics() []metric.Metric {
	return []metric.Metric{
		{Name: "limit_overshoot_max", Value: float64(t.overshoot)},
		{Name: "probes_per_second", Value: round(t.probes / t.seconds)},
		{Name: "upstream_refused", Value: t.refused},
		{Name: "upstream_cancelled", Value: t.cancelled},
	}
}

func round(x float64) float64 { return float64(int(x*1000+0.5)) / 1000 }

// cutRequests counts the attempts that ended without a reply from the stopping host
// after its SIGTERM, except for those that the caller gave up before their deadline.
func (m *Demo) cutRequests() int {
	n := 0
	for _, e := range m.load.RequestLog.Records() {
		for _, a := range e.Attempts {
			if a.Address == m.stopped.CallerAddress && a.Outcome == caller.NoReply && !a.FailedOver && a.EndedMs >= m.stoppedAtMs {
				n++
			}
		}
	}
	return n
}
