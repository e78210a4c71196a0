package fleetsim

import (
	"fmt"
	"slices"

	"siskinpath/core/clock"
)

// Fault is a fault to inject at a point in time, for a span.
type Fault struct {
	At    clock.Millis
	For   clock.Millis
	Kind  FaultKind
	Host  int // index; for Partition the first host of the second group
	Other int // second host of CutLink, receiver of CutOneWay; for EditTable, modulo 4, the upstreams to add
}

// FaultKind is the kind of a Fault.
type FaultKind int

// Kinds of Fault.
const (
	Kill         FaultKind = iota // the process ends; a new one starts when the fault ends
	LosePower                     // the machine loses power; it boots when the fault ends
	Freeze                        // the process is stopped and resumes when the fault ends
	CutPeers                      // a host's links to all peers are cut
	CutPlatform                   // a host's link to the platform is cut
	CutBoth                       // both of the above
	CutLink                       // the link between two hosts is cut
	CutOneWay                     // messages from one host to another are lost, but not those in the other direction
	Partition                     // the hosts before Host and those from Host on are separated
	Outage                        // the platform is down
	SlowPlatform                  // calls to the platform take up to three seconds
	LostReplies                   // writes are applied and their replies lost, or applied late
	EditTable                     // operators add upstreams and remove them when the fault ends
	Leaving                       // a host hands over its rights; its process restarts when the fault ends
	numFaults
)

func (k FaultKind) String() string {
	return [...]string{
		"kill", "lose_power", "freeze", "cut_peers", "cut_platform", "cut_both", "cut_link", "cut_one_way", "partition",
		"outage", "slow_platform", "lost_replies", "edit_table", "leaving",
	}[k]
}

func (x Fault) String() string {
	return fmt.Sprintf("%s at %d ms for %d ms, host %d, other %d", x.Kind, x.At, x.For, x.Host+1, x.Other+1)
}

// RandomFaults draws n faults that begin between from and to and last up to
// longest, sorted by their beginning.
func (f *Fleet) RandomFaults(n int, from, to, longest clock.Millis) []Fault {
	var faults []Fault
	for range n {
		faults = append(faults, Fault{
			At:    f.randomSpan(from, to),
			For:   f.randomSpan(100, longest),
			Kind:  FaultKind(f.rand.IntN(int(numFaults))),
			Host:  f.rand.IntN(f.Config.Hosts),
			Other: f.rand.IntN(f.Config.Hosts),
		})
	}
	slices.SortFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// Schedule schedules the beginning and the end of each fault.
func (f *Fleet) Schedule(faults []Fault) {
	for _, x := range faults {
		f.at(x.At, func() {
			f.tracef("fault: %s", x)
			f.beginFault(x)
		})
		f.at(x.At+x.For, func() { f.endFault(x) })
	}
}

func (f *Fleet) beginFault(x Fault) {
	h := f.Hosts[x.Host]
	switch x.Kind {
	case Kill:
		if h.Mode != PowerOff {
			h.Stop(Killed)
		}
	case LosePower:
		h.Stop(PowerOff)
	case Freeze:
		if h.Mode == Running {
			h.Stop(Frozen)
		}
	case CutPeers, CutPlatform, CutBoth:
		h.PeersCut = h.PeersCut || x.Kind != CutPlatform
		h.PlatformCut = h.PlatformCut || x.Kind != CutPeers
	case CutLink:
		f.Links.CutPair(x.Host, x.Other, true)
	case CutOneWay:
		f.Links.oneWay[[2]int{x.Host, x.Other}] = true
	case Partition:
		f.partition(x, true)
	case Outage:
		f.Platform.Up = false
	case SlowPlatform:
		f.Platform.Slow = true
	case LostReplies:
		f.Platform.LoseReply, f.Platform.LateApply = 0.5, 0.3
	case EditTable:
		f.editTable(x.Other % 4)
	case Leaving:
		h.Leave()
	}
}

func (f *Fleet) endFault(x Fault) {
	h := f.Hosts[x.Host]
	switch x.Kind {
	case Kill, LosePower, Leaving:
		h.Restart()
	case Freeze:
		h.Wake()
	case CutPeers, CutPlatform, CutBoth:
		h.PeersCut, h.PlatformCut = false, false
	case CutLink:
		f.Links.CutPair(x.Host, x.Other, false)
	case CutOneWay:
		delete(f.Links.oneWay, [2]int{x.Host, x.Other})
	case Partition:
		f.partition(x, false)
	case Outage:
		f.Platform.Up = true
	case SlowPlatform:
		f.Platform.Slow = false
	case LostReplies:
		f.Platform.LoseReply, f.Platform.LateApply = 0, 0
	case EditTable:
		f.editTable(0)
	}
}

// editTable publishes a table with more upstreams than the original one has. Each
// host applies it within 3 s.
func (f *Fleet) editTable(more int) {
	next := *f.Table
	next.Version++
	next.Services = slices.Clone(f.original.Services)
	last := &next.Services[len(next.Services)-1]
	*last = service(last.Name, len(last.Upstreams)+more, last.ProbesPerSecond, f.Zones)
	f.Table = &next
	f.tracef("table version %d, %d upstreams more", next.Version, more)
	for _, h := range f.Hosts {
		if h.View != nil {
			h.later(f.randomSpan(10, 3*clock.Second), h.applyTable)
		}
	}
}

func (f *Fleet) partition(x Fault, cut bool) {
	for a := range x.Host {
		for b := x.Host; b < len(f.Hosts); b++ {
			f.Links.CutPair(a, b, cut)
		}
	}
}

// Heal ends all faults and restarts the hosts that are down.
func (f *Fleet) Heal() {
	f.tracef("all faults end")
	f.Links.Heal()
	f.Platform.Up, f.Platform.Slow, f.Platform.LoseReply, f.Platform.LateApply = true, false, 0, 0
	for _, h := range f.Hosts {
		h.PeersCut, h.PlatformCut = false, false
		switch h.Mode {
		case Frozen:
			h.Wake()
		case Killed, PowerOff:
			h.Restart()
		}
	}
}
