package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/loadsim"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

const (
	overloadSeeds = 4
	usualSeeds    = 8
	// shedSeeds is larger, as the rules for upstreams that shed gain less in total.
	shedSeeds = 8
	// priorityTolerance is two to three standard errors of the difference of the shares of
	// one priority between two runs of a scenario.
	priorityTolerance = 0.03
	// minOfferedToJudge is the fewest requests of an organisation from which a share of
	// zero is not a chance event.
	minOfferedToJudge = 40
)

// played is the sum over the runs of a scenario.
type played struct {
	organisations loadsim.Tally
	outcomes      loadsim.Outcomes
	refusals      int
	refusalWait   clock.Millis
}

func playScenario(s loadsim.Scenario, tuning place.Tuning, seeds int) (sum played) {
	sum.organisations = loadsim.Tally{}
	for seed := range uint64(seeds) {
		sim := s.Play(seed+1, func(rnd *rand.Rand) loadsim.Policy { return &place.Placer{Service: "s", Tuning: tuning, Rand: rnd} })
		sum.outcomes.Add(&sim.Outcomes)
		sum.organisations.Add(sim.Organisations)
		sum.refusalWait += sim.RefusalWait
		for _, n := range sim.Refusals {
			sum.refusals += n
		}
	}
	return sum
}

func scenario(name string) loadsim.Scenario {
	for _, s := range append(loadsim.OverloadScenarios(), loadsim.UsualScenarios()...) {
		if s.Name == name {
			return s
		}
	}
	panic("no scenario " + name)
}

// without returns the default tuning without the decisions for overload.
func without() place.Tuning {
	t := place.DefaultTuning()
	t.NoEarlyRefusal, t.NoShedRules, t.NoFairUse = true, true, true
	return t
}

// assertMoreInTime guards against a change that takes away what a decision gains.
func assertMoreInTime(name string, old place.Tuning, seeds int, by float64) {
	s := scenario(name)
	with, before := playScenario(s, place.DefaultTuning(), seeds), playScenario(s, old, seeds)
	Printf("\n  %s\n  with    %v\n  without %v\n", name, &with.outcomes, &before.outcomes)
	So(with.outcomes.InTimeShare(), ShouldBeGreaterThan, before.outcomes.InTimeShare()+by)
	So(with.outcomes.RefusedShare(), ShouldBeLessThan, before.outcomes.RefusedShare()+0.01)
	for priority := range loadsim.Priorities {
		So(with.outcomes.InTimeShareOf(priority), ShouldBeGreaterThan, before.outcomes.InTimeShareOf(priority)-priorityTolerance)
	}
}

func TestEarlyRefusal(t *testing.T) {
	old := place.DefaultTuning()
	old.NoEarlyRefusal = true
	for name, by := range map[string]float64{"above": 0.01, "waves": 0.005, "four_slots_above": 0.03} {
		Convey("in "+name+", refusing at once what waits too far back answers more in time", t, func() {
			assertMoreInTime(name, old, overloadSeeds, by)
		})
	}
	Convey("above the capacity, refusals come well before the end of the wait", t, func() {
		with, before := playScenario(scenario("above"), place.DefaultTuning(), 2), playScenario(scenario("above"), old, 2)
		So(float64(with.refusalWait)/float64(with.refusals), ShouldBeLessThan, 0.8*float64(before.refusalWait)/float64(before.refusals))
	})
}

func TestShedAlike(t *testing.T) {
	old := place.DefaultTuning()
	old.NoShedRules = true
	for name, by := range map[string]float64{"all_shed_busy": 0.01, "some_shed_all": 0.05, "all_shed_few_hosts": 0.005} {
		Convey("in "+name+", the rules for upstreams that shed answer more in time", t, func() { assertMoreInTime(name, old, shedSeeds, by) })
	}
	for _, c := range []struct{ shedding, least, most int }{{1, 0, 1}, {20, 1, 2}} {
		Convey(fmt.Sprintf("of 20 upstreams of which %d shed all requests, at most %d are ejected", c.shedding, c.most), t, func() {
			f := newShedFleet(20, c.shedding)
			f.run(600)
			So(f.ejected, ShouldBeGreaterThanOrEqualTo, c.least)
			So(f.ejected, ShouldBeLessThanOrEqualTo, c.most)
		})
	}
}

func TestUsualLoad(t *testing.T) {
	for _, s := range loadsim.UsualScenarios() {
		Convey("the decisions for overload cost nothing in "+s.Name, t, func() {
			with, before := playScenario(s, place.DefaultTuning(), usualSeeds), playScenario(s, without(), usualSeeds)
			Printf("\n  %s\n  with    %v\n  without %v\n", s.Name, &with.outcomes, &before.outcomes)
			So(with.outcomes.InTimeShare(), ShouldBeGreaterThan, before.outcomes.InTimeShare()-0.005)
			So(with.outcomes.RefusedShare(), ShouldBeLessThan, before.outcomes.RefusedShare()+0.005)
		})
	}
}

// answeredOfOthers returns the share of requests answered of all organisations but one.
func (p *played) answeredOfOthers(loud string) float64 {
	others := loadsim.Tally{}
	others.Add(p.organisations)
	delete(others, loud)
	all := others.Total()
	return all.AnsweredShare()
}

func TestFairUse(t *testing.T) {
	unfair := place.DefaultTuning()
	unfair.NoFairUse = true
	for _, c := range []struct {
		scenario, loud string
		by             float64
	}{{"organisations", "o00", 0.04}, {"organisations_small", "o04", -0.02}} {
		with := playScenario(scenario(c.scenario), place.DefaultTuning(), overloadSeeds)
		before := playScenario(scenario(c.scenario), unfair, overloadSeeds)
		Convey("in "+c.scenario+", where one organisation sends 5 times its usual demand", t, func() {
			Printf("\n  with    %v others %.3f\n  without %v others %.3f\n", &with.outcomes, with.answeredOfOthers(c.loud), &before.outcomes, before.answeredOfOthers(c.loud))
			Convey("the others are answered no less often, within the bound, and no fewer are in time in all", func() {
				So(with.answeredOfOthers(c.loud), ShouldBeGreaterThan, before.answeredOfOthers(c.loud)+c.by)
				So(with.outcomes.InTimeShare(), ShouldBeGreaterThan, before.outcomes.InTimeShare()-0.01)
			})
			Convey("none is answered less than a quarter as often as all together", func() {
				all := with.organisations.Total()
				for _, o := range with.organisations {
					if o.Offered >= minOfferedToJudge {
						So(o.AnsweredShare(), ShouldBeGreaterThan, all.AnsweredShare()/4)
					}
				}
			})
		})
	}
}

// shedFleet is a host whose upstreams answer at once. The first ones refuse all requests
// although they report room.
type shedFleet struct {
	placer   *place.Placer
	now      clock.Millis
	last     route.RequestID
	shedding map[string]bool
	until    map[string]clock.Millis // end of the last ejection
	ejected  int                     // most that were ejected at the same time
}

func newShedFleet(upstreams, shedding int) *shedFleet {
	f := &shedFleet{now: 1000, shedding: map[string]bool{}, until: map[string]clock.Millis{}}
	f.placer = &place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: rand.New(rand.NewPCG(1, 1))}
	var list []place.Upstream
	for i := range upstreams {
		id := fmt.Sprintf("u%02d", i)
		list = append(list, place.Upstream{ID: id, Started: 1, Slots: 4})
		f.shedding[id] = i < shedding
	}
	f.perform(f.placer.Configure(f.now, place.Config{Overload: true, Upstreams: list, ProbesPerSecond: 60, RepeatRatio: 0.2, RepeatBurst: 20}))
	return f
}

func (f *shedFleet) perform(actions []place.Action) {
	for _, a := range actions {
		load := &route.LoadReport{Slots: 4, Slowdown: 1}
		switch a.Kind {
		case route.Probe:
			f.perform(f.placer.ProbeDone(f.now, route.ProbeResult{Upstream: a.Upstream, OK: true, Load: load}))
		case route.Send:
			res := route.Result{Attempt: a.Attempt, Status: route.Succeeded, Load: load}
			if f.shedding[a.Upstream] {
				res.Status = route.Refused
			}
			f.perform(f.placer.AttemptDone(f.now, res))
		}
	}
}

// run sends requests, 5 ms apart.
func (f *shedFleet) run(requests int) {
	for range requests {
		f.last++
		f.now += 5
		f.perform(f.placer.Offer(f.now, place.Request{ID: f.last, Route: "r", Priority: 2, Arrived: f.now, Target: 400, GiveUp: f.now + 1200, MaxAttempts: 1}))
		f.perform(f.placer.Tick(f.now))
		for _, c := range f.placer.StateChanges() {
			if c.State == "ejected" {
				f.until[c.Upstream] = f.now + c.For
			}
		}
		f.ejected = max(f.ejected, f.out())
	}
}

// out returns how many upstreams are ejected now.
func (f *shedFleet) out() (n int) {
	for _, until := range f.until {
		if until > f.now {
			n++
		}
	}
	return n
}
