package sim

// resolve returns the host that an address lookup lists first for caller n. For
// a baseline it is a random host in the caller's availability zone. Otherwise it
// is an owner, drawn in proportion to its slots: all upstreams have equally many.
func (w *simulation) resolve(n int) int {
	if w.sc.Policy.Baseline != nil {
		return w.resolveInZone(n)
	}
	var total int // upstreams owned
	owners := w.owners()
	for _, o := range owners {
		total += len(o.ownedUpstreams)
	}
	pick := w.rand.IntN(total)
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
func (w *simulation) resolveInZone(n int) int {
	d := w.sc.Deployment
	zone := n % d.Zones
	i := zone + d.Zones*w.rand.IntN((d.Hosts-zone+d.Zones-1)/d.Zones)
	if w.hostLost[i] {
		return w.rand.IntN(d.Hosts)
	}
	return i
}
