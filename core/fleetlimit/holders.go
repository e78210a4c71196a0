// Package fleetlimit enforces limits on the sum over all hosts without a coordination
// service. Each limit is divided into fixed parts, and each part is dealt out by one
// host, its holder. Holders are chosen by rendezvous hashing among the registered hosts,
// so that hosts with the same list agree on them without messages. The sum of the parts
// does not exceed the limit, whichever hosts are down or cut off.
//
// The package starts no goroutines, opens no sockets and reads no wall clock.
package fleetlimit

import (
	"cmp"
	"math"
	"slices"

	"siskinpath/core/membership"
)

// Member is a registered host.
type Member struct {
	ID               string
	AvailabilityZone string
	Capacity         int // what it can spend on other hosts, in thousandths of a core
}

// Spread returns up to n holders of the limit with a key, the first in rank first. Hosts
// of more capacity usually rank higher, since other hosts send messages to them.
// Availability zones take turns, so that the loss of one takes its parts only.
func Spread(key string, members []Member, n int) []Member {
	ranked := rankedBy(members, func(m Member) float64 {
		c := float64(max(1, m.Capacity))
		return exponential(key, m.ID) / (c * c)
	})
	position := map[string]int{} // by id: position within the availability zone
	seen := map[string]int{}
	for _, m := range ranked {
		position[m.ID] = seen[m.AvailabilityZone]
		seen[m.AvailabilityZone]++
	}
	slices.SortStableFunc(ranked, func(a, b Member) int { return cmp.Compare(position[a.ID], position[b.ID]) })
	return ranked[:min(n, len(ranked))]
}

// Nearby returns up to n holders of the limit with a key, the first in rank first. Hosts
// of an availability zone come before all others. Capacity does not count, since the
// holders use their parts for requests of their own.
func Nearby(key, zone string, members []Member, n int) []Member {
	ranked := rankedBy(members, func(m Member) float64 { return exponential(key, m.ID) })
	slices.SortStableFunc(ranked, func(a, b Member) int {
		return cmp.Compare(distance(a, zone), distance(b, zone))
	})
	return ranked[:min(n, len(ranked))]
}

func distance(m Member, zone string) int {
	if m.AvailabilityZone == zone {
		return 0
	}
	return 1
}

// rankedBy returns the members in ascending order of rank.
func rankedBy(members []Member, rank func(Member) float64) []Member {
	type ranking struct {
		Member
		rank float64
	}
	list := make([]ranking, len(members))
	for i, m := range members {
		list[i] = ranking{m, rank(m)}
	}
	slices.SortFunc(list, func(a, b ranking) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.ID, b.ID))
	})
	ranked := make([]Member, len(list))
	for i, r := range list {
		ranked[i] = r.Member
	}
	return ranked
}

// exponential returns a number that depends only on the key and the id, with an
// exponential distribution of mean 1: dividing it by a weight makes the chance of the
// lowest rank proportional to the weight.
func exponential(key, id string) float64 {
	uniform := (float64(membership.RendezvousWeight(key, id)>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform)
}

// IndexOf returns the position of a host among the holders, -1 if it is none of them.
func IndexOf(holders []Member, id string) int {
	return slices.IndexFunc(holders, func(m Member) bool { return m.ID == id })
}
