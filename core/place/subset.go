package place

import (
	"cmp"
	"slices"

	"siskinpath/core/clock"
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

// HeldElsewhere reports whether u is cold and takes requests only from other hosts.
func HeldElsewhere(now clock.Millis, u Upstream) bool {
	return coldLimited(now, u) && u.ColdPerSecond <= 0
}

func coldLimited(now clock.Millis, u Upstream) bool { return u.ColdLimited && now < u.ColdUntil }

// Subset returns the upstreams that a host uses. Rendezvous hashing gives each host a
// subset of its own, so that each upstream is used by about as many hosts as any
// other, and a change of the list changes few subsets.
//
// Upstreams that are limited while they are cold give way to others until they have warmed
// up: if many are cold at once, a host would else be left with few that take its requests.
// Those that this host holds a share of come on top, as few hosts send anything to them.
func Subset(now clock.Millis, host, availabilityZone string, all []Upstream) []Upstream {
	if len(all) <= maxUpstreams {
		return all
	}
	rank := func(u Upstream) uint64 { return membership.RendezvousWeight(host, u.ID) }
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b Upstream) int { return cmp.Compare(rank(a), rank(b)) })
	picked := make([]Upstream, 0, maxUpstreams)
	sameZone := int(sameZoneShare * maxUpstreams)
	var rest, cold, held []Upstream
	for _, u := range sorted {
		switch {
		case u.Leaving:
		case HeldElsewhere(now, u):
			cold = append(cold, u)
		case coldLimited(now, u):
			held = append(held, u)
		case sameZone > 0 && u.AvailabilityZone == availabilityZone:
			sameZone--
			picked = append(picked, u)
		default:
			rest = append(rest, u)
		}
	}
	rest = append(rest, cold...)
	picked = append(picked, rest[:min(len(rest), maxUpstreams-len(picked))]...)
	return append(picked, held...)
}
