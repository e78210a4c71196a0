package policy

import (
	"fmt"

	"siskinpath/bench/sim"
	"siskinpath/core/route"
)

// OwnersPerZone is the number of hosts in each availability zone that own
// upstreams of a service.
const OwnersPerZone = 1

// Ours is the project's own policy as it ships.
func Ours() sim.Policy { return sim.Policy{Name: "siskinpath", PerZone: OwnersPerZone} }

// Variants returns the project's own policy with one part changed in each.
func Variants() []sim.Policy {
	list := []sim.Policy{
		without("no_hedge", route.Tuning{NoHedge: true}),
		without("no_pass_over", route.Tuning{NoPassOver: true}),
		without("no_spill", route.Tuning{NoSpill: true}),
		without("no_pull", route.Tuning{NoPull: true}),
		without("no_spill_no_pull", route.Tuning{NoSpill: true, NoPull: true}),
		without("no_admission", route.Tuning{NoAdmission: true}),
		without("no_near_zone", route.Tuning{NoNearZone: true}),
		without("arrival_first", route.Tuning{ArrivalFirst: true}),
	}
	for _, n := range []int{1, 2, 6, 8, 12, 22} {
		list = append(list, sim.Policy{Name: fmt.Sprintf("owners_%d", n), Owners: n})
	}
	return append(list,
		sim.Policy{Name: "per_zone_2", PerZone: 2},
		sim.Policy{Name: "one_pool_no_links", Owners: 1, NoLinks: true},
	)
}

// Unprotected returns the project's own policy without one of the parts that
// failures are met with.
func Unprotected() []sim.Policy {
	return []sim.Policy{
		without("no_eject", route.Tuning{NoEject: true}),
		without("no_cold_start", route.Tuning{NoColdStart: true}),
		without("no_admission", route.Tuning{NoAdmission: true}),
		without("no_spill_no_pull", route.Tuning{NoSpill: true, NoPull: true}),
	}
}

func without(name string, tuning route.Tuning) sim.Policy {
	return sim.Policy{Name: name, PerZone: OwnersPerZone, Tuning: tuning}
}
