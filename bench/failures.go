package main

import "siskinpath/bench/sim"

const (
	runDuration  = 15 * sim.Second
	failureStart = 5 * sim.Second
	failureEnd   = 10 * sim.Second
)

// failure is a named set of faults.
type failure struct {
	name       string
	faults     []sim.Fault
	stragglers bool
}

// temporary returns a fault that lasts from failureStart to failureEnd.
func temporary(kind sim.FaultKind, count int, slow float64) sim.Fault {
	return sim.Fault{Kind: kind, From: failureStart, Until: failureEnd, Count: count, Slowdown: slow}
}

// failures returns the failures that the failures command simulates. Each lasts for
// the middle five of fifteen seconds, except the loss of an availability zone,
// which lasts to the end of the run.
func failures() []failure {
	lost := sim.Fault{Kind: sim.ZoneLost, From: failureStart, Count: 1}
	failFast := temporary(sim.FailFast, 3, 0)
	cold := temporary(sim.ColdStart, 8, 0)
	slow := temporary(sim.SlowDown, 8, 5)
	drain := temporary(sim.Drain, 5, 0)
	doubled := temporary(sim.LoadDoubled, 0, 0)
	return []failure{
		{name: "none"},
		{name: "fail_fast_3", faults: []sim.Fault{failFast}},
		{name: "silent_3", faults: []sim.Fault{temporary(sim.Silent, 3, 0)}},
		{name: "slow_8_by_5", faults: []sim.Fault{slow}},
		{name: "cold_start_8", faults: []sim.Fault{cold}},
		{name: "drain_5", faults: []sim.Fault{drain}},
		{name: "reports_lie_5", faults: []sim.Fault{temporary(sim.FalseDrain, 5, 0)}},
		{name: "reports_lie_all", faults: []sim.Fault{temporary(sim.FalseDrain, 25, 0)}},
		{name: "zone_lost", faults: []sim.Fault{lost}},
		{name: "load_doubled", faults: []sim.Fault{doubled}},
		{name: "zone_lost_and_stragglers", faults: []sim.Fault{lost}, stragglers: true},
		{name: "fail_fast_and_load_doubled", faults: []sim.Fault{failFast, doubled}},
		{name: "drain_and_stragglers", faults: []sim.Fault{drain}, stragglers: true},
	}
}
