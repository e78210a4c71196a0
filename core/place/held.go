package place

import (
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// phaseNames are the names of phases in reports.
var phaseNames = map[phase]string{
	probing: "probing", queued: "queued", sent: "sent", hedgeProbing: "sent", asking: "asking",
}

// HeldRequest describes a request of this host that has no final answer yet.
type HeldRequest struct {
	ID        route.RequestID
	Phase     string       // "probing", "queued", "asking" an allocator, or "sent"
	Allocator string       // with "asking": the host that was asked
	Waited    clock.Millis // since the request arrived
	Left      clock.Millis // until its latest answer
	Arrivals  int          // ended attempts that an upstream received or may have received
}

// Held returns the requests of this host's callers, and those that other hosts have passed
// to it, that have no final answer, in the order of their arrival.
func (p *Placer) Held(now clock.Millis) (list []HeldRequest) {
	for _, r := range p.requests {
		if r.asker != nil {
			continue
		}
		h := HeldRequest{ID: r.ID, Phase: phaseNames[r.phase], Waited: now - r.Arrived, Left: r.GiveUp - now, Arrivals: r.arrivals}
		if r.ask != nil {
			h.Allocator = r.ask.allocator
		}
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b HeldRequest) int { return int(a.ID) - int(b.ID) })
	return list
}
