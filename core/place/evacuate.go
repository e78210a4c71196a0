package place

import (
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// evacuatedRetryAfter is the retry delay sent to callers of a service all of whose upstreams
// are in evacuated availability zones.
const evacuatedRetryAfter = clock.Second

// staying returns the number of upstreams that are not leaving. An evacuation makes many
// leave at once.
func (p *Placer) staying() (n int) {
	for _, u := range p.upstreams {
		if !u.Leaving {
			n++
		}
	}
	return n
}

// refuseEvacuated refuses the requests that no upstream runs if all upstreams are in
// evacuated availability zones.
func (p *Placer) refuseEvacuated(now clock.Millis) {
	if !p.cfg.Evacuated {
		return
	}
	var waiting []*request
	for _, r := range p.requests {
		if len(r.running) == 0 {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, byPriority)
	for _, r := range waiting {
		p.refuse(now, r, route.ReasonEvacuated)
	}
}
