package main

import (
	"math/rand/v2"

	"siskinpath/bench/report"
	"siskinpath/core/clock"
	"siskinpath/core/loadsim"
	"siskinpath/core/place"
)

// Size of the users' booking service at peak load.
const (
	heavyHosts     = 20
	heavyUpstreams = 26
	heavySlots     = 4 // of each upstream
)

// heavyWorkloads returns the workloads of the booking service at a multiple of its
// normal load.
func heavyWorkloads(load float64) []loadsim.Workload {
	return []loadsim.Workload{
		{PerSecond: 34 * load, Priority: 0, Target: 300, Deadline: 800, WorkMs: 110},
		{PerSecond: 36 * load, Priority: 1, Target: 500, Deadline: 1500, WorkMs: 210},
		{PerSecond: 96 * load, Priority: 2, Target: 400, Deadline: 1200, WorkMs: 160, Idempotent: true},
	}
}

// heavyCondition is a disturbance. Under every condition, upstreams also turn slow
// at random and slow down when nearly full.
type heavyCondition struct {
	name  string
	start func(sim *loadsim.Simulation, load float64)
}

const (
	conditionStart = 3 * clock.Second // except grey failures, which last the whole run
	burstDuration  = 3 * clock.Second
	burstExtraLoad = 0.6 // additional load during a burst, as a share of the load of the run

	// Number of upstreams affected by each condition.
	coldCount, greyCount, lostCount = 8, 4, 4

	greyShedShare = 0.5 // share of requests that an upstream with a grey failure sheds
)

// heavyConditions returns all conditions; "spells" adds no disturbance.
func heavyConditions() []heavyCondition {
	return []heavyCondition{
		{"spells", func(*loadsim.Simulation, float64) {}},
		{"burst", func(sim *loadsim.Simulation, load float64) {
			sim.After(conditionStart, func() {
				for _, k := range heavyWorkloads(burstExtraLoad * load) {
					stop := sim.Generate(k)
					sim.After(burstDuration, stop)
				}
			})
		}},
		{"cold", func(sim *loadsim.Simulation, _ float64) {
			sim.After(conditionStart, func() {
				for _, u := range sim.Upstreams[:coldCount] {
					sim.Restart(u)
				}
			})
		}},
		{"grey", func(sim *loadsim.Simulation, _ float64) {
			for _, u := range sim.Upstreams[:greyCount] {
				u.ShedShare = greyShedShare
			}
		}},
		{"lost", func(sim *loadsim.Simulation, _ float64) {
			sim.After(conditionStart, func() {
				for _, u := range sim.Upstreams[:lostCount] {
					u.Down = true
				}
			})
		}},
	}
}

// heavyPolicy is a policy with its name in the output.
type heavyPolicy struct {
	name      string
	newPolicy func(rnd *rand.Rand) loadsim.Policy
}

// heavyPolicies returns baselines, the policy that the users tried ("trial"),
// variants of the project's own policy that correspond to earlier versions, and
// the current one ("ours").
func heavyPolicies() []heavyPolicy {
	baseline := func(choose func(*loadsim.Baseline) *loadsim.BaselineUpstream) func(*rand.Rand) loadsim.Policy {
		return func(rnd *rand.Rand) loadsim.Policy { return &loadsim.Baseline{Choose: choose, Rand: rnd} }
	}
	tuned := func(change func(*place.Tuning)) func(*rand.Rand) loadsim.Policy {
		t := place.DefaultTuning()
		change(&t)
		return func(rnd *rand.Rand) loadsim.Policy { return &place.Placer{Service: "booking", Tuning: t, Rand: rnd} }
	}
	return []heavyPolicy{
		{"random", baseline(loadsim.Random)},
		{"power_of_two", baseline(loadsim.PowerOfTwo)},
		{"least_load", baseline(loadsim.LeastLoad)},
		{"trial", tuned(func(t *place.Tuning) {
			t.ProbesPerRequest, t.UrgentFillLimit, t.FirstNormalPriority, t.QueueWaitShare, t.NoHedge, t.AcceptSlow = 2, t.FillLimit, 0, 0.125, true, true
		})},
		{"no_asking", tuned(func(t *place.Tuning) { t.NoProbe = true })},
		{"no_hedges", tuned(func(t *place.Tuning) { t.NoHedge = true })},
		{"takes_slow", tuned(func(t *place.Tuning) { t.AcceptSlow, t.QueueWaitShare, t.UrgentQueueWaitShare = true, 0.125, 0.2 })},
		{"ours", tuned(func(*place.Tuning) {})},
	}
}

// runHeavyLoad simulates one policy under one condition at one load, with seeds 1
// to seeds, and returns the sum of the outcomes.
func runHeavyLoad(p heavyPolicy, c heavyCondition, load float64, seeds int, span clock.Millis) report.HeavyLoadRow {
	row := report.HeavyLoadRow{Condition: c.name, Policy: p.name, Load: load}
	probes := 0
	for seed := range seeds {
		sim := loadsim.New(loadsim.Config{
			Seed: uint64(seed + 1), Hosts: heavyHosts, Upstreams: heavyUpstreams, Slots: heavySlots, Policy: p.newPolicy,
		})
		for _, k := range heavyWorkloads(load) {
			sim.Generate(k)
		}
		c.start(sim, load)
		sim.Run(span)
		row.Outcomes.Add(&sim.Outcomes)
		probes += sim.Probes
	}
	row.ProbesPerSecond = float64(probes) / float64(seeds*heavyUpstreams) / (float64(span) / float64(clock.Second))
	return row
}
