package place

import (
	"cmp"
	"slices"

	"siskinpath/core/member"
)

const (
	// maxUpstreams is how many upstreams of a service a host uses: enough that some
	// are fast at any moment, and few enough that its connections are used.
	maxUpstreams = 40
	// sameZoneShare is the part of them in the host's availability zone, if there are
	// so many.
	sameZoneShare = 0.7
)

// Subset returns the upstreams that a host uses. Each host has its own choice, so
// that all upstreams are used by about as many hosts, and a change of the list
// changes few choices.
func Subset(host, availabilityZone string, all []Upstream) []Upstream {
	if len(all) <= maxUpstreams {
		return all
	}
	rank := func(u Upstream) uint64 { return member.Rendezvous(host, u.ID) }
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b Upstream) int { return cmp.Compare(rank(a), rank(b)) })
	picked := make([]Upstream, 0, maxUpstreams)
	near := int(sameZoneShare * maxUpstreams)
	var rest []Upstream
	for _, u := range sorted {
		if near > 0 && u.AvailabilityZone == availabilityZone && !u.Leaving {
			near--
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
