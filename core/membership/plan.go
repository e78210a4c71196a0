package membership

import (
	"cmp"
	"slices"

	"siskinpath/core/table"
)

// Constants of planning, in slots.
const (
	slotsPerOwner = 48 // slots of a service for each of its owners
	keepBonus     = 24 // a host may have this much more load than another and still keep what it owns
)

// planner distributes the upstreams of every service over hosts.
type planner struct {
	hosts  []Host
	holder map[string]string // key to the id of its current holder, if that is among hosts
	load   map[string]int    // host id to the slots assigned to it so far
	owners map[string]string
}

// plan returns the owner that each upstream should have. Owners are hosts in
// the upstream's availability zone, few for each service, and few upstreams
// change owner.
func plan(t *table.Table, hosts []Host, held map[string]HostRef) map[string]string {
	p := planner{hosts: hosts, holder: map[string]string{}, load: map[string]int{}, owners: map[string]string{}}
	if len(hosts) == 0 {
		return p.owners
	}
	for key, ref := range held {
		if ownerIn(hosts, ref.ID) == ref {
			p.holder[key] = ref.ID
		}
	}
	for i := range t.Services {
		p.planService(&t.Services[i])
	}
	return p.owners
}

// zoneGroup is the upstreams of a service that hosts of one availability zone
// share.
type zoneGroup struct {
	hosts     []Host
	upstreams []table.Upstream
	slots     int
}

func (p *planner) planService(s *table.Service) {
	groups := p.groups(s)
	total := 0
	for _, g := range groups {
		total += g.slots
	}
	wanted := max((total+slotsPerOwner-1)/slotsPerOwner, len(groups))
	for _, g := range groups {
		share := 1
		if total > 0 {
			share = (wanted*g.slots + total/2) / total
		}
		n := min(max(share, 1), len(g.hosts), len(g.upstreams))
		p.distribute(g, p.chooseOwners(s.Name, g, n))
	}
}

// groups splits the upstreams of a service by availability zone. Those in a
// zone without hosts go to the hosts of all zones.
func (p *planner) groups(s *table.Service) []*zoneGroup {
	var groups []*zoneGroup
	byZone := map[string]*zoneGroup{}
	for _, u := range s.Upstreams {
		hosts := p.hostsIn(u.AvailabilityZone)
		zone := u.AvailabilityZone
		if len(hosts) == 0 {
			hosts, zone = p.hosts, ""
		}
		g := byZone[zone]
		if g == nil {
			g = &zoneGroup{hosts: hosts}
			byZone[zone] = g
			groups = append(groups, g)
		}
		g.upstreams = append(g.upstreams, u)
		g.slots += u.Slots
	}
	return groups
}

func (p *planner) hostsIn(zone string) []Host {
	var hosts []Host
	for _, h := range p.hosts {
		if h.AvailabilityZone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// chooseOwners selects n owners for a group: the hosts with the least load,
// with keepBonus subtracted for those that hold upstreams of the group already.
func (p *planner) chooseOwners(service string, g *zoneGroup, n int) []string {
	score := map[string]int{}
	for _, h := range g.hosts {
		score[h.ID] = p.load[h.ID]
	}
	kept := map[string]bool{}
	for _, u := range g.upstreams {
		id, ok := p.holder[UpstreamKey(service, u.Name)]
		if _, here := score[id]; ok && here && !kept[id] {
			kept[id] = true
			score[id] -= keepBonus
		}
	}
	var ids []string
	for _, h := range g.hosts {
		ids = append(ids, h.ID)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(score[a], score[b]), cmp.Compare(RendezvousWeight(service, b), RendezvousWeight(service, a)))
	})
	return ids[:n]
}

// distribute assigns the upstreams of a group to its owners. Each owner keeps
// what it holds up to an even share; the rest goes to the owners with the
// fewest upstreams, and among these to the one with the least load.
func (p *planner) distribute(g *zoneGroup, owners []string) {
	limit := (len(g.upstreams) + len(owners) - 1) / len(owners)
	count := map[string]int{}
	var rest []table.Upstream
	for _, u := range g.upstreams {
		id, ok := p.holder[UpstreamKey(u.Service, u.Name)]
		if !ok || !slices.Contains(owners, id) || count[id] >= limit {
			rest = append(rest, u)
			continue
		}
		count[id]++
		p.assign(u, id)
	}
	for _, u := range rest {
		id := slices.MinFunc(owners, func(a, b string) int {
			return cmp.Or(cmp.Compare(count[a], count[b]), cmp.Compare(p.load[a], p.load[b]), cmp.Compare(a, b))
		})
		count[id]++
		p.assign(u, id)
	}
}

func (p *planner) assign(u table.Upstream, id string) {
	p.owners[UpstreamKey(u.Service, u.Name)] = id
	p.load[id] += u.Slots
}
