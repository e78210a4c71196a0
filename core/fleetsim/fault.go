package fleetsim

import (
	"fmt"
	"slices"

	"siskinpath/core/clock"
)

// Fault is something that goes wrong at a point in time, for a while.
type Fault struct {
	At    clock.Millis
	For   clock.Millis
	Kind  FaultKind
	Host  int // index; the first of the group for Partition
	Other int // second host of CutLink
}

// FaultKind says what goes wrong.
type FaultKind int

// Kinds of Fault.
const (
	Kill         FaultKind = iota // the process ends; a new one starts when the fault is over
	LosePower                     // the machine vanishes; it starts again when the fault is over
	Freeze                        // the process stops and wakes
	CutPeers                      // a host hears no peer
	CutPlatform                   // a host can't reach the platform
	CutBoth                       // neither
	CutLink                       // two hosts don't hear each other
	CutOneWay                     // what a host sends to another is lost, not the other way round
	Partition                     // the hosts from Host on hear only one another
	Outage                        // the platform is down
	SlowPlatform                  // calls to the platform take up to three seconds
	LostReplies                   // writes are applied and their replies lost, or applied late
	EditTable                     // operators add upstreams, and take them away again
	Leaving                       // a host hands over, ends, and starts again
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

// RandomFaults draws n faults that begin within a span and last up to longest.
func (f *Fleet) RandomFaults(n int, from, to, longest clock.Millis) []Fault {
	var faults []Fault
	for range n {
		faults = append(faults, Fault{
			At:    f.between(from, to),
			For:   f.between(100, longest),
			Kind:  FaultKind(f.rand.IntN(int(numFaults))),
			Host:  f.rand.IntN(f.Config.Hosts),
			Other: f.rand.IntN(f.Config.Hosts),
		})
	}
	slices.SortFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// Schedule arranges for faults to begin and end.
func (f *Fleet) Schedule(faults []Fault) {
	for _, x := range faults {
		f.at(x.At, func() {
			f.tracef("fault: %s", x)
			f.begin(x)
		})
		f.at(x.At+x.For, func() { f.end(x) })
	}
}

func (f *Fleet) begin(x Fault) {
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
		f.edit(x.Other % 4)
	case Leaving:
		h.Leave()
	}
}

func (f *Fleet) end(x Fault) {
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
		f.edit(0)
	}
}

// edit puts a version of the table in force that has some upstreams more than
// the first; it reaches each host within a few seconds.
func (f *Fleet) edit(more int) {
	next := *f.Table
	next.Version++
	next.Services = slices.Clone(f.original.Services)
	last := &next.Services[len(next.Services)-1]
	*last = service(last.Name, len(last.Upstreams)+more, last.ProbesPerSecond, f.Zones)
	f.Table = &next
	f.tracef("table version %d, %d upstreams more", next.Version, more)
	for _, h := range f.Hosts {
		if h.View != nil {
			h.later(f.between(10, 3*clock.Second), h.takeTable)
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

// Heal ends every fault at once and restarts what is down.
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
