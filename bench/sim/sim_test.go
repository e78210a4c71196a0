package sim_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/bench/policy"
	"siskinpath/bench/sim"
)

func scenario(p sim.Policy, load float64, faults ...sim.Fault) sim.Scenario {
	return sim.Scenario{
		Deployment: sim.Deployments()[0], Load: load, Stragglers: true, Seed: 1,
		Duration: 2 * sim.Second, Policy: p, Faults: faults,
	}
}

func baseline(name string) sim.Policy {
	for _, p := range policy.Baselines() {
		if p.Name == name {
			return p
		}
	}
	panic("no policy " + name)
}

// shouldCountEachRequestOnce asserts that every request has exactly one outcome.
func shouldCountEachRequestOnce(r *sim.Result) {
	convey.So(r.Arrived, convey.ShouldBeGreaterThan, 500)
	convey.So(r.Answered+r.Refused+r.Late+r.Errors, convey.ShouldEqual, r.Arrived)
}

func TestRun(t *testing.T) {
	convey.Convey("the same seed gives the same result", t, func() {
		for _, p := range []sim.Policy{policy.Siskinpath(), baseline("probing_pool")} {
			a, b := sim.Run(scenario(p, 0.85)), sim.Run(scenario(p, 0.85))
			convey.So(a.Latency.Equals(b.Latency), convey.ShouldBeTrue)
			convey.So(a.Hops, convey.ShouldEqual, b.Hops)
			convey.So(a.Probes, convey.ShouldEqual, b.Probes)
		}
	})
	convey.Convey("every request ends exactly once with every policy, below and above capacity", t, func() {
		for _, load := range []float64{0.5, 2} {
			for _, p := range append(policy.Baselines(), policy.Siskinpath()) {
				sc := scenario(p, load)
				sc.Deployment = sim.Deployments()[1]
				shouldCountEachRequestOnce(sim.Run(sc))
			}
		}
	})
}

func TestSiskinpath(t *testing.T) {
	convey.Convey("p99 is below 0.6 of power of two's, without probes and without exceeding slots", t, func() {
		ours := sim.Run(scenario(policy.Siskinpath(), 0.7))
		theirs := sim.Run(scenario(baseline("power_of_two"), 0.7))
		convey.So(ours.Quantile(0.99), convey.ShouldBeLessThan, 0.6*theirs.Quantile(0.99))
		convey.So(ours.Overshoot, convey.ShouldEqual, 0)
		convey.So(ours.Probes, convey.ShouldEqual, 0)
	})
	convey.Convey("at twice the capacity goodput stays within 10% of its peak", t, func() {
		peak := sim.Run(scenario(policy.Siskinpath(), 0.95))
		over := sim.Run(scenario(policy.Siskinpath(), 2))
		convey.So(over.PerSecond(over.Answered), convey.ShouldBeGreaterThan, 0.9*peak.PerSecond(peak.Answered))
		convey.So(over.Share(over.Late), convey.ShouldBeLessThan, 0.001)
	})
}

func TestFaults(t *testing.T) {
	fault := func(kind sim.FaultKind, count int) sim.Fault {
		return sim.Fault{Kind: kind, From: sim.Second / 2, Until: 3 * sim.Second / 2, Count: count}
	}
	cases := []struct {
		name          string
		fault         sim.Fault
		maxUnanswered float64 // share of requests not answered in time
	}{
		{"upstreams that fail fast", fault(sim.FailFast, 3), 0.002},
		{"draining upstreams", fault(sim.Drain, 5), 0.001},
		{"upstreams that never answer", fault(sim.Silent, 3), 0.002},
		{"cold starts", fault(sim.ColdStart, 8), 0.001},
		{"false reports of draining", fault(sim.FalseDrain, 25), 0.001},
		{"loss of an availability zone", sim.Fault{Kind: sim.ZoneLost, From: sim.Second / 2, Count: 1}, 0.01},
	}
	for _, c := range cases {
		convey.Convey(c.name, t, func() {
			r := sim.Run(scenario(policy.Siskinpath(), 0.55, c.fault))
			shouldCountEachRequestOnce(r)
			convey.So(1-r.Share(r.Answered), convey.ShouldBeLessThan, c.maxUnanswered)
			random := sim.Run(scenario(baseline("random"), 0.55, c.fault))
			convey.So(r.Share(r.Answered), convey.ShouldBeGreaterThanOrEqualTo, random.Share(random.Answered))
		})
	}
}
