package sim

// resolve returns the host that an address answer names first to caller n:
// any host for a baseline, an owner in proportion to its slots otherwise.
func (w *simulation) resolve(n int) int {
	if w.sc.Policy.Baseline != nil {
		return w.resolveInZone(n)
	}
	var total int
	owners := w.owners()
	for _, o := range owners {
		total += len(o.ownedUpstreams)
	}
	left := w.rand.IntN(total)
	for _, o := range owners {
		left -= len(o.ownedUpstreams)
		if left < 0 {
			return o.index
		}
	}
	return owners[0].index
}

// resolveInZone returns a host in the caller's availability zone that is there.
func (w *simulation) resolveInZone(n int) int {
	d := w.sc.Deployment
	zone := n % d.Zones
	i := zone + d.Zones*w.rand.IntN((d.Hosts-zone+d.Zones-1)/d.Zones)
	if w.hostLost[i] {
		return w.rand.IntN(d.Hosts)
	}
	return i
}
