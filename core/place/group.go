package place

import (
	"cmp"
	"slices"
	"strconv"

	"siskinpath/core/fleetlimit"
	"siskinpath/core/membership"
)

// Group is a part of the hosts with a part of a service's upstreams. The hosts of a group
// send only to its upstreams, whose slots one of them allocates.
type Group struct {
	Upstreams []Upstream
	Hosts     []fleetlimit.Member
}

// GroupOf returns the group of a host. A service of up to maxUpstreams upstreams has a
// single one. All hosts with the same lists agree on the groups, and a change of a list
// moves few hosts and upstreams.
func GroupOf(service, host string, upstreams []Upstream, hosts []fleetlimit.Member) (g Group) {
	n := groupCount(len(upstreams))
	if n == 1 {
		return Group{Upstreams: upstreams, Hosts: hosts}
	}
	ofUpstreams := divide(service, n, upstreams, func(u Upstream) (id, zone string) { return u.ID, u.AvailabilityZone })
	ofHosts := divide(service, n, hosts, func(m fleetlimit.Member) (id, zone string) { return m.ID, m.AvailabilityZone })
	own := ofHosts[host]
	for _, u := range upstreams {
		if ofUpstreams[u.ID] == own {
			g.Upstreams = append(g.Upstreams, u)
		}
	}
	for _, m := range hosts {
		if ofHosts[m.ID] == own {
			g.Hosts = append(g.Hosts, m)
		}
	}
	return g
}

// groupCount returns the number of groups for a number of upstreams. It is a power of two,
// so that it seldom changes while upstreams come and go.
func groupCount(upstreams int) int {
	n := 1
	for upstreams > n*maxUpstreams {
		n *= 2
	}
	return n
}

// divide assigns the items of each availability zone to n groups of about the same size. An
// item goes to the group of highest rank for it that is not full.
func divide[T any](service string, n int, items []T, key func(T) (id, zone string)) (groups map[string]int) {
	type item struct {
		id, zone string
		rank     uint64
	}
	groups = make(map[string]int, len(items))
	perZone := map[string]int{}
	list := make([]item, 0, len(items))
	for _, x := range items {
		id, zone := key(x)
		perZone[zone]++
		list = append(list, item{id, zone, membership.RendezvousWeight(service, id)})
	}
	slices.SortFunc(list, func(a, b item) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id)) })
	sizes := map[string][]int{} // by zone
	for _, x := range list {
		if sizes[x.zone] == nil {
			sizes[x.zone] = make([]int, n)
		}
		full := (perZone[x.zone] + n - 1) / n
		best, highest := 0, uint64(0)
		for g := range n {
			if sizes[x.zone][g] >= full {
				continue
			}
			if w := membership.RendezvousWeight(strconv.Itoa(g), x.id); w >= highest {
				best, highest = g, w
			}
		}
		sizes[x.zone][best]++
		groups[x.id] = best
	}
	return groups
}
