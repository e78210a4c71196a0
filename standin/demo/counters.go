package demo

import (
	"time"

	"siskinpath/standin/caller"
	"siskinpath/standin/consistency"
	"siskinpath/standin/metric"
)

func (m *Demo) findings() (consistency.Violations, error) {
	runs, err := m.d.Runs()
	if err != nil {
		return consistency.Violations{}, err
	}
	return consistency.Compare(m.load.Ledger.Entries(), runs, m.marks), nil
}

// upstreamTotals is what the upstreams counted.
type upstreamTotals struct {
	overshoot  int // requests at a time above the limit in force, the most at any upstream
	probes     float64
	refused    float64
	cancelled  float64
	seconds    float64
	overBudget bool
}

// budgetSlack is the time by which the count of probes may be ahead of the
// budget, since tokens may have been saved.
const budgetSlack = 1.0

func (m *Demo) upstreamFigures() (t upstreamTotals, err error) {
	t.seconds = time.Since(m.begun).Seconds()
	for _, s := range m.d.Services {
		counts, err := m.d.Counts(s.Name)
		if err != nil {
			return t, err
		}
		probes := 0.0
		for _, u := range counts.Upstreams {
			t.overshoot = max(t.overshoot, u.OvershootMax)
			t.refused += float64(u.Refused)
			t.cancelled += float64(u.Cancelled)
			probes += float64(u.Probes + u.LoadReads)
		}
		t.probes += probes
		if probes > s.ProbesPerSecond*(t.seconds+budgetSlack) {
			t.overBudget = true
		}
	}
	return t, nil
}

func (t upstreamTotals) figures() []metric.Metric {
	return []metric.Metric{
		{Name: "limit_overshoot_max", Value: float64(t.overshoot)},
		{Name: "probes_per_second", Value: round(t.probes / t.seconds)},
		{Name: "upstream_refused", Value: t.refused},
		{Name: "upstream_cancelled", Value: t.cancelled},
	}
}

func round(x float64) float64 { return float64(int(x*1000+0.5)) / 1000 }

// cutInFlight counts requests that the host told to stop left without a reply,
// other than those that the caller itself gave up before their deadline.
func (m *Demo) cutInFlight() int {
	n := 0
	for _, e := range m.load.Ledger.Entries() {
		for _, a := range e.Attempts {
			if a.Address == m.stopped.CallerAddress && a.Outcome == caller.NoReply && !a.GaveUp && a.EndedMs >= m.stoppedAt {
				n++
			}
		}
	}
	return n
}
