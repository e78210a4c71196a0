package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/loadsim"
	"siskinpath/core/place"
)

const allocatorSeeds = 6

// scarceRun is the sum over the runs of a scenario near the capacity.
type scarceRun struct {
	outcomes   loadsim.Outcomes
	probes     int
	violations []string
}

// scarceRuns holds the runs that have been played, as both tests compare the same ones.
var scarceRuns = map[string]*scarceRun{}

// playScarce plays a scenario near the capacity, with or without an allocator.
func playScarce(name string, allocator bool) *scarceRun {
	key := fmt.Sprint(name, allocator)
	if run := scarceRuns[key]; run != nil {
		return run
	}
	run := &scarceRun{}
	for _, s := range loadsim.ScarceScenarios() {
		if s.Name != name {
			continue
		}
		s.Config.Allocator = allocator
		for seed := range uint64(allocatorSeeds) {
			sim := s.Play(seed+1, func(rnd *rand.Rand) loadsim.Policy {
				return &place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: rnd}
			})
			for _, r := range sim.Requests {
				if r.Violation != "" {
					run.violations = append(run.violations, r.Violation)
				}
			}
			run.outcomes.Add(&sim.Outcomes)
			run.probes += sim.Probes
		}
	}
	scarceRuns[key] = run
	return run
}

// TestAllocator guards against room that is free but not found: hosts that decide by
// themselves take the same slot, or leave one free while requests wait elsewhere.
func TestAllocator(t *testing.T) {
	for _, c := range []struct {
		scenario string
		gain     float64 // in the share of requests answered in time, of which the bound of an Oracle allows more
		least    float64 // share answered in time with an allocator
	}{{"records", -0.01, 0.97}, {"records_peak", 0.02, 0.965}, {"records_burst", 0.08, 0.945}, {"records_above", 0.2, 0.84}, {"records_power", 0.02, 0.895}} {
		Convey("in "+c.scenario, t, func() {
			allocated, alone := playScarce(c.scenario, true), playScarce(c.scenario, false)
			with, without := &allocated.outcomes, &alone.outcomes
			Printf("\n  %s\n  with    %v\n  without %v\n", c.scenario, with, without)
			So(allocated.violations, ShouldBeEmpty)
			So(alone.violations, ShouldBeEmpty)
			Convey("more requests are answered in time than without an allocator, and no priority pays for it", func() {
				So(with.InTimeShare(), ShouldBeGreaterThan, c.least)
				So(with.InTimeShare(), ShouldBeGreaterThan, without.InTimeShare()+c.gain)
				for priority := 1; priority < loadsim.Priorities; priority++ {
					So(with.InTimeShareOf(priority), ShouldBeGreaterThan, without.InTimeShareOf(priority)-0.02)
				}
			})
			Convey("fewer are refused, and fewer probes are sent", func() {
				So(with.RefusedShare(), ShouldBeLessThanOrEqualTo, without.RefusedShare()+0.005)
				So(allocated.probes, ShouldBeLessThan, alone.probes)
			})
		})
	}
}

// TestOracle guards against an upper bound that the decisions without knowledge pass at the
// loads that they are compared for.
func TestOracle(t *testing.T) {
	for _, name := range []string{"records", "records_peak", "records_burst", "records_power"} {
		Convey("in "+name+", perfect knowledge answers more in time than an allocator", t, func() {
			allocated := playScarce(name, true).outcomes
			var bound loadsim.Outcomes
			for _, s := range loadsim.ScarceScenarios() {
				if s.Name != name {
					continue
				}
				for seed := range uint64(allocatorSeeds) {
					bound.Add(&s.PlayOracle(seed+1, &loadsim.Oracle{Slots: 2}).Outcomes)
				}
			}
			Printf("\n  allocator %.3f of %.3f\n", allocated.InTimeShare(), bound.InTimeShare())
			So(bound.InTimeShare(), ShouldBeGreaterThan, allocated.InTimeShare())
		})
	}
}
