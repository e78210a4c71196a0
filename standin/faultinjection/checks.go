package faultinjection

import (
	"fmt"
	"slices"
	"time"

	"siskinpath/standin/caller"
	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
)

// probeSlackSeconds is the number of seconds by which the probes may be ahead of
// the budget.
const probeSlackSeconds = 1.0

// maxUnknownLogged is how many requests of unknown outcome are logged per reason.
const maxUnknownLogged = 5

// checkInvariants waits for the end of the load and checks the invariants of all
// scenarios.
func (t *Trial) checkInvariants() error {
	t.waitLoad()
	runs, err := t.d.Runs()
	if err != nil {
		return err
	}
	violations := consistency.Compare(t.load.RequestLog.Records(), runs, t.marks)
	t.expect(violations.None(), "callers' results contradict the upstreams' runs: %v", violations.Examples)
	for _, line := range slices.Concat(t.load.OutcomesPerSecond(), t.load.FailureReasons(), t.load.UnknownOutcomes(maxUnknownLogged)) {
		_, _ = fmt.Fprintf(t.Log, "  %s\n", line)
	}
	t.metrics = append(t.metrics, t.load.Metrics()...)
	t.metrics = append(t.metrics, violations.Metrics()...)
	decreases := t.versions.stop()
	t.record("table_went_back", float64(decreases))
	t.expect(decreases == 0, "a host's table version decreased %d times", decreases)
	return t.checkUpstreams()
}

// checkUpstreams checks the probes that each service's upstreams received against
// the probe budget, and records how far the limits were exceeded.
func (t *Trial) checkUpstreams() error {
	seconds := time.Since(t.startedAt).Seconds()
	overshoot := 0
	for _, s := range t.d.Services {
		counts, err := t.d.Counts(s.Name)
		if err != nil {
			return err
		}
		probes := 0.0
		for _, u := range counts.Upstreams {
			overshoot = max(overshoot, u.MaxOvershoot)
			probes += float64(u.Probes + u.LoadReads)
		}
		t.record(s.Name+"_probes_per_second", float64(int(probes/seconds*100))/100)
		t.expect(probes <= s.ProbesPerSecond*(seconds+probeSlackSeconds), "%s: %.0f probes in %.1f s, above the budget of %g per second", s.Name, probes, seconds, s.ProbesPerSecond)
	}
	t.record("limit_overshoot_max", float64(overshoot))
	return nil
}

// answeredShare returns the share of the requests first sent between from and to
// that were answered; 1 when there were none. With prefixedOnly, requests without
// a host's prefix in their key are left out.
func (t *Trial) answeredShare(from, to time.Time, prefixedOnly bool) float64 {
	sent, answered := 0, 0
	for _, e := range t.load.RequestLog.Records() {
		if len(e.Attempts) == 0 || prefixedOnly && e.Unprefixed {
			continue
		}
		at := e.Attempts[0].SentMs
		if at < from.UnixMilli() || at >= to.UnixMilli() {
			continue
		}
		sent++
		if e.Final == caller.Answered {
			answered++
		}
	}
	if sent == 0 {
		return 1
	}
	return float64(answered) / float64(sent)
}

// expectAnswered checks that at least the share minShare of the requests sent
// between from and to were answered. Requests without a host's prefix in their key
// are left out.
func (t *Trial) expectAnswered(name string, from, to time.Time, minShare float64) {
	share := t.answeredShare(from, to, true)
	t.record(name+"_answered_share", float64(int(share*10000))/10000)
	t.expect(share >= minShare, "%s: %.4f of the requests answered, at least %.2f expected", name, share, minShare)
}

// cutRequests counts the attempts that ended without a reply from h since from,
// except for those that the caller gave up before their deadline.
func (t *Trial) cutRequests(h *launch.EntryHost, from time.Time) int {
	n := 0
	for _, e := range t.load.RequestLog.Records() {
		for _, a := range e.Attempts {
			if a.Address == h.CallerAddress && a.Outcome == caller.NoReply && !a.FailedOver && a.EndedMs >= from.UnixMilli() {
				n++
				t.logf("no reply from %s: %s %s", h.ID, e.Key, e.History())
			}
		}
	}
	return n
}
