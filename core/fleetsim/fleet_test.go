package fleetsim

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/seeds"
)

// seedCount returns the number of seeds to run: SISKINPATH_SEEDS divided by
// divisor and at least 1, or defaultCount if that is not set.
func seedCount(t *testing.T, defaultCount, divisor int) uint64 {
	t.Helper()
	n, err := seeds.Count(0)
	if err != nil {
		t.Fatal(err)
	}
	if n == 0 {
		return uint64(defaultCount)
	}
	return uint64(max(n/divisor, 1))
}

// scenario is a simulation with faults drawn from its seed.
type scenario struct {
	hosts         int
	faults        int
	span          clock.Millis // faults begin within this time after settleTime, and none lasts longer than it
	configureView func(*membership.View)
	ablation      Ablation
}

// outcome is the result of one run of a scenario.
type outcome struct {
	seed              uint64
	faults            []Fault
	violation         string
	events            int
	probes            int
	healed            clock.Millis // time from the end of all faults until every upstream is served; -1 if never
	maxReducedHolders int
}

const (
	settleTime  = 12 * clock.Second
	healTimeout = 60 * clock.Second
)

// run simulates one seed. The given faults, if not nil, replace those drawn from
// the seed.
func (s scenario) run(seed uint64, faults []Fault, trace func(string)) outcome {
	f := New(Config{
		Seed: seed, Hosts: s.hosts, ConfigureView: s.configureView, Ablation: s.ablation, Trace: trace,
		Links: LinkFaults{Loss: 0.05, Duplicate: 0.05, Delay: 0.02},
	})
	drawn := f.RandomFaults(s.faults, settleTime, settleTime+s.span, s.span)
	if faults == nil {
		faults = drawn
	}
	f.Schedule(faults)
	for f.Now < settleTime+s.span && f.Checker.Violation == "" {
		f.Run(f.Now + 500)
		f.Checker.countReducedShares()
	}
	f.Heal()
	start := f.Now
	healed := clock.Millis(-1)
	if f.RunUntil(start+healTimeout, f.Served) {
		healed = f.Now - start
	}
	return outcome{
		seed: seed, faults: faults, violation: f.Checker.Violation, events: f.Events, probes: f.Checker.Probes,
		healed: healed, maxReducedHolders: f.Checker.MaxReducedHolders,
	}
}

func (o outcome) failed() bool { return o.violation != "" || o.healed < 0 }

// shorten removes faults one by one as long as the run still fails.
func (s scenario) shorten(o outcome) outcome {
	for i := 0; i < len(o.faults); {
		fewer := slices.Delete(slices.Clone(o.faults), i, i+1)
		if next := s.run(o.seed, append([]Fault{}, fewer...), nil); next.failed() {
			o = next
			i = 0
		} else {
			i++
		}
	}
	return o
}

// prove runs seeds and fails the test on the first failed run, with the trace of a
// run of the same seed that fails with fewer faults if there is one.
func (s scenario) prove(t *testing.T, n uint64) {
	t.Helper()
	var healed []clock.Millis
	events, probes, violations, maxReducedHolders := 0, 0, 0, 0
	for seed := range n {
		o := s.run(seed, nil, nil)
		events += o.events
		probes += o.probes
		maxReducedHolders = max(maxReducedHolders, o.maxReducedHolders)
		healed = append(healed, o.healed)
		if o.failed() {
			violations++
			s.report(t, o)
			break
		}
	}
	slices.Sort(healed)
	t.Logf("hosts %d seeds_run %d events %d probes %d violations %d cut_share_holders_max %d healed_ms_p50 %d healed_ms_max %d",
		s.hosts, len(healed), events, probes, violations, maxReducedHolders, healed[len(healed)/2], healed[len(healed)-1])
}

func (s scenario) report(t *testing.T, o outcome) {
	t.Helper()
	short := s.shorten(o)
	var lines []string
	s.run(short.seed, append([]Fault{}, short.faults...), func(line string) { lines = append(lines, line) })
	const shown = 60
	t.Errorf("seed %d hosts %d: %s (healed after %d ms)\nshortest found: %s\nfaults:%v\ntrace:\n%s", o.seed, s.hosts, o.violation, o.healed,
		short.violation, faultLines(short.faults), strings.Join(lines[max(0, len(lines)-shown):], "\n"))
}

func faultLines(faults []Fault) string {
	var b strings.Builder
	for _, x := range faults {
		fmt.Fprintf(&b, "\n  %s", x)
	}
	return b.String()
}

// TestProveOwnership checks fleets of 1 to 100 hosts under random faults: the
// invariants hold, and every upstream is served again once the faults have ended.
func TestProveOwnership(t *testing.T) {
	for _, c := range []struct {
		scenario
		defaultSeeds, seedDivisor int
	}{
		{scenario{hosts: 1, faults: 6, span: 40 * clock.Second}, 10, 1},
		{scenario{hosts: 2, faults: 8, span: 40 * clock.Second}, 10, 1},
		{scenario{hosts: 3, faults: 10, span: 40 * clock.Second}, 10, 1},
		{scenario{hosts: 4, faults: 40, span: 40 * clock.Second}, 10, 1},
		{scenario{hosts: 5, faults: 12, span: 40 * clock.Second}, 10, 1},
		{scenario{hosts: 20, faults: 20, span: 30 * clock.Second}, 2, 10},
		{scenario{hosts: 100, faults: 30, span: 8 * clock.Second}, 1, 50},
	} {
		t.Run(fmt.Sprintf("%d_hosts", c.hosts), func(t *testing.T) {
			t.Parallel()
			c.prove(t, seedCount(t, c.defaultSeeds, c.seedDivisor))
		})
	}
}
