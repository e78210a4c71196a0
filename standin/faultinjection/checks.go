package faultinjection

import (
	"fmt"
	"slices"
	"time"

	"siskinpath/standin/caller"
	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
)

// probeSlackSeconds is how far probes may be ahead of the budget.
const probeSlackSeconds = 1.0

// unknownShown is how many requests of unknown outcome are shown per reason.
const unknownShown = 5

// judge checks what must hold in every scenario, once the load has ended.
func (t *Trial) judge() error {
	t.waitLoad()
	runs, err := t.d.Runs()
	if err != nil {
		return err
	}
	findings := consistency.Compare(t.load.Ledger.Entries(), runs, t.marks)
	t.expect(findings.None(), "answers against runs: %v", findings.Examples)
	for _, line := range slices.Concat(t.load.Seconds(), t.load.Reasons(), t.load.Unknown(unknownShown)) {
		_, _ = fmt.Fprintf(t.Log, "  %s\n", line)
	}
	t.figures = append(t.figures, t.load.Figures()...)
	t.figures = append(t.figures, findings.Metrics()...)
	back := t.watch.stop()
	t.figure("table_went_back", float64(back))
	t.expect(back == 0, "a host's table version fell %d times", back)
	return t.judgeUpstreams()
}

func (t *Trial) judgeUpstreams() error {
	seconds := time.Since(t.begun).Seconds()
	overshoot := 0
	for _, s := range t.d.Services {
		counts, err := t.d.Counts(s.Name)
		if err != nil {
			return err
		}
		probes := 0.0
		for _, u := range counts.Upstreams {
			overshoot = max(overshoot, u.OvershootMax)
			probes += float64(u.Probes + u.LoadReads)
		}
		t.figure(s.Name+"_probes_per_second", float64(int(probes/seconds*100))/100)
		t.expect(probes <= s.ProbesPerSecond*(seconds+probeSlackSeconds), "%s: %.0f probes in %.1f s", s.Name, probes, seconds)
	}
	t.figure("limit_overshoot_max", float64(overshoot))
	return nil
}

// shareAnswered returns the part of the requests first sent between from and to
// that were answered; 1 when there were none. Requests without a host's prefix
// in their key are left out when prefixed is true.
func (t *Trial) shareAnswered(from, to time.Time, prefixed bool) float64 {
	sent, answered := 0, 0
	for _, e := range t.load.Ledger.Entries() {
		if len(e.Attempts) == 0 || prefixed && e.Unprefixed {
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

// expectServed checks that at least least of the requests sent between from and
// to were answered.
func (t *Trial) expectServed(name string, from, to time.Time, least float64) {
	share := t.shareAnswered(from, to, true)
	t.figure(name+"_answered_share", float64(int(share*10000))/10000)
	t.expect(share >= least, "%s: %.4f of the requests answered, at least %.2f expected", name, share, least)
}

// cut counts requests that h left without a reply since from, other than those
// that the caller itself gave up before their deadline.
func (t *Trial) cut(h *launch.EntryHost, from time.Time) int {
	n := 0
	for _, e := range t.load.Ledger.Entries() {
		for _, a := range e.Attempts {
			if a.Address == h.CallerAddress && a.Outcome == caller.NoReply && !a.GaveUp && a.EndedMs >= from.UnixMilli() {
				n++
				t.say("cut off by %s: %s %s", h.ID, e.Key, e.History())
			}
		}
	}
	return n
}
