package sim

// addressFor returns the host that an address answer names first to caller n:
// any host for a baseline, an owner in proportion to its slots otherwise.
func (w *world) addressFor(n int) int {
	if w.sc.Policy.Baseline != nil {
		return w.plainAddress(n)
	}
	var total int
	owners := w.owners()
	for _, o := range owners {
		total += len(o.owned)
	}
	left := w.rand.IntN(total)
	for _, o := range owners {
		left -= len(o.owned)
		if left < 0 {
			return o.index
		}
	}
	return owners[0].index
}

// plainAddress returns a host in the caller's availability zone that is there.
func (w *world) plainAddress(n int) int {
	d := w.sc.Deployment
	zone := n % d.Zones
	i := zone + d.Zones*w.rand.IntN((d.Hosts-zone+d.Zones-1)/d.Zones)
	if w.lost[i] {
		return w.rand.IntN(d.Hosts)
	}
	return i
}
