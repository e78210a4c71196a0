package place

import (
	"cmp"
	"slices"

	"siskinpath/core/membership"
)

const (
	// maxUpstreams is how many upstreams of a service a host uses: enough that some are
	// fast at any moment, and few enough that connections to them are reused.
	maxUpstreams = 40
	// sameZoneShare is the share of maxUpstreams taken from the host's own availability
	// zone, as far as the zone has that many.
	sameZoneShare = 0.7
)

// Subset returns the upstreams that a host uses. Rendezvous hashing gives each host a
// subset of its own, so that each upstream is used by about as many hosts as any
// other, and a change of the list changes few subsets.
func Subset(host, availabilityZone string, all []Upstream) []Upstream {
	if len(all) <= maxUpstreams {
		return all
	}
	rank := func(u Upstream) uint64 { return membership.RendezvousWeight(host, u.ID) }
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b Upstream) int { return cmp.Compare(rank(a), rank(b)) })
	picked := make([]Upstream, 0, maxUpstreams)
	sameZone := int(sameZoneShare * maxUpstreams)
	var rest []Upstream
	for _, u := range sorted {
		if sameZone > 0 && u.AvailabilityZone == availabilityZone && !u.Leaving {
			sameZone--
			picked = append(picked, u)
		} else {
			rest = append(rest, u)
		}
	}
	for _, u := range rest {
		if len(picked) == maxUpstreams {
			break
		}
		if !u.Leaving {
			picked = append(picked, u)
		}
	}
	return picked
}
