package sim

// resolve returns the host that an address lookup lists first for caller n. For
// a baseline it is a random host in the caller's availability zone. Otherwise it
// is an owner, drawn in proportion to its slots: all upstreams have equally many.
func (sim *simulation) resolve(n int) int {
	if sim.sc.Policy.Baseline != nil {
		return sim.resolveInZone(n)
	}
	var total int // upstreams owned
	owners := sim.owners()
	for _, o := range owners {
		total += len(o.ownedUpstreams)
	}
	pick := sim.rand.IntN(total)
	for _, o := range owners {
		pick -= len(o.ownedUpstreams)
		if pick < 0 {
			return o.index
		}
	}
	return owners[0].index
}

// resolveInZone returns a random host in caller n's availability zone. If that
// host is lost, it returns a random one of all hosts, which may be lost as well.
func (sim *simulation) resolveInZone(n int) int {
	d := sim.sc.Deployment
	zone := n % d.Zones
	i := zone + d.Zones*sim.rand.IntN((d.Hosts-zone+d.Zones-1)/d.Zones)
	if sim.hostLost[i] {
		return sim.rand.IntN(d.Hosts)
	}
	return i
}
