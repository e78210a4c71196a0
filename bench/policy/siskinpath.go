package policy

import (
	"fmt"

	"siskinpath/bench/sim"
	"siskinpath/core/route"
)

// OwnersPerZone is the number of hosts in each availability zone that own
// upstreams of a service.
const OwnersPerZone = 1

// Siskinpath returns the project's own policy with its default settings.
func Siskinpath() sim.Policy { return sim.Policy{Name: "siskinpath", OwnersPerZone: OwnersPerZone} }

// Variants returns the project's own policy with parts disabled, with other
// numbers of owners, and with a single owner and no network latency.
func Variants() []sim.Policy {
	list := []sim.Policy{
		ablated("no_hedge", route.Ablation{NoHedge: true}),
		ablated("no_pass_over", route.Ablation{NoStragglerAvoidance: true}),
		ablated("no_spill", route.Ablation{NoSpill: true}),
		ablated("no_pull", route.Ablation{NoPull: true}),
		ablated("no_spill_no_pull", route.Ablation{NoSpill: true, NoPull: true}),
		ablated("no_admission", route.Ablation{NoAdmissionControl: true}),
		ablated("no_near_zone", route.Ablation{NoZonePreference: true}),
		ablated("arrival_first", route.Ablation{FIFOQueue: true}),
	}
	for _, n := range []int{1, 2, 6, 8, 12, 22} {
		list = append(list, sim.Policy{Name: fmt.Sprintf("owners_%d", n), Owners: n})
	}
	return append(list,
		sim.Policy{Name: "per_zone_2", OwnersPerZone: 2},
		sim.Policy{Name: "one_pool_no_links", Owners: 1, NoLatency: true},
	)
}

// FailureAblations returns the project's own policy with individual parts of its
// failure handling disabled.
func FailureAblations() []sim.Policy {
	return []sim.Policy{
		ablated("no_eject", route.Ablation{NoEjection: true}),
		ablated("no_cold_start", route.Ablation{NoSlowStart: true}),
		ablated("no_admission", route.Ablation{NoAdmissionControl: true}),
		ablated("no_spill_no_pull", route.Ablation{NoSpill: true, NoPull: true}),
	}
}

func ablated(name string, ablation route.Ablation) sim.Policy {
	return sim.Policy{Name: name, OwnersPerZone: OwnersPerZone, Ablation: ablation}
}
